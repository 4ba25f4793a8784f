#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank::upstreams {

/// Faults that a test injects around the table to show that the fuzzer detects them.
enum class TableFault {
  kNone,
  kForgetsLeavingResponse,
  kEjectsWithoutBound,
  kProbesTwice,
  kTakesOldReports,
  kIgnoresSuccessRates
};

/// Runs about `steps` random commands on the table and its oracle. Returns the first violation with the
/// shortest commands found that reproduce it, or no value.
std::optional<std::string> FuzzUpstreams(uint64_t seed, uint64_t steps, TableFault fault);

}  // namespace cornelplank::upstreams
