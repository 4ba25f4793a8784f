#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

namespace cornelplank::fuzz {

/// A fuzzer: runs random commands on a component and checks each result against a simple reference model.
struct FuzzTarget {
  std::string name;
  /// Runs about `steps` commands from `seed`. Returns the first violation with its shrunk counterexample, or
  /// nullopt.
  std::function<std::optional<std::string>(uint64_t seed, uint64_t steps)> run;
};

/// Returns all registered targets, ordered by name.
std::vector<FuzzTarget> FuzzTargets();

/// Registers a target. Returns true, so that a namespace-scope constant can be initialised with the call.
bool RegisterFuzzTarget(FuzzTarget target);

/// Checks a rapidcheck property from a fixed seed with `cases` cases of at most `max_size` commands each.
/// Returns the failure text with the shrunk counterexample, or nullopt if every case passed.
template <typename Property>
std::optional<std::string> CheckProperty(uint64_t seed, uint64_t cases, int max_size, Property&& property) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = static_cast<int>(cases);
  params.maxSize = max_size;
  const auto result =
      rc::detail::checkTestable(std::forward<Property>(property), rc::detail::TestMetadata{}, params);
  if (result.template is<rc::detail::SuccessResult>()) return std::nullopt;
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  return text.str();
}

}  // namespace cornelplank::fuzz
