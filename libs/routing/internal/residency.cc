#include "libs/routing/internal/residency.h"

#include <algorithm>

namespace cornelplank::routing {
namespace {

constexpr std::string_view kHomeWord = "home";

}  // namespace

bool IsAllowed(const config::ResidencyRule& rule, std::string_view home, std::string_view region) {
  return std::any_of(rule.allow.begin(), rule.allow.end(), [&](const std::string& allowed) {
    return allowed == kHomeWord ? !home.empty() && region == home : region == allowed;
  });
}

ResidencyMask ToResidencyMask(const config::ResidencyRule& rule, const upstreams::Topology& names) {
  ResidencyMask mask;
  for (const std::string& allowed : rule.allow) {
    if (allowed == kHomeWord) {
      mask.home = true;
    } else {
      mask.named |= RegionBit(names.Region(allowed));
    }
  }
  return mask;
}

}  // namespace cornelplank::routing
