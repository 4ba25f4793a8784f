#include "tests/fuzz/fuzz_target.h"

#include <algorithm>

namespace cornelplank::fuzz {
namespace {

std::vector<FuzzTarget>& Registry() {
  static std::vector<FuzzTarget> targets;
  return targets;
}

}  // namespace

std::vector<FuzzTarget> FuzzTargets() {
  std::vector<FuzzTarget> targets = Registry();
  std::sort(targets.begin(), targets.end(),
            [](const FuzzTarget& a, const FuzzTarget& b) { return a.name < b.name; });
  return targets;
}

bool RegisterFuzzTarget(FuzzTarget target) {
  Registry().push_back(std::move(target));
  return true;
}

}  // namespace cornelplank::fuzz
