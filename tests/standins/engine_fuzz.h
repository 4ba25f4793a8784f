#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank::standins::engine {

/// Runs about `steps` random commands on two equal engines, one of which is polled more often. Returns the
/// first violation.
std::optional<std::string> RunEngineFuzz(uint64_t seed, uint64_t steps);

}  // namespace cornelplank::standins::engine
