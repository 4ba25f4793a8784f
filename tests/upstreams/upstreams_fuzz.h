#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank::upstreams {

/// Faults that a test builds into the table to show that the fuzzer finds them.
enum class TableFault {
  kNone,
  kForgetsLeavingResponse,
  kEjectsWithoutBound,
  kProbesTwice,
  kTakesOldReports,
  kIgnoresSuccessRates
};

/// Runs random commands against the table and its oracle; returns the violation with the shrunk commands.
std::optional<std::string> FuzzUpstreams(uint64_t seed, uint64_t steps, TableFault fault);

}  // namespace cornelplank::upstreams
