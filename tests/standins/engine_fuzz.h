#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank::standins::engine {

/// Runs about `steps` random commands from `seed` on two engines with equal options, one of which is advanced
/// in smaller steps. Returns the first violated invariant with its shrunk counterexample, or nullopt.
std::optional<std::string> RunEngineFuzz(uint64_t seed, uint64_t steps);

}  // namespace cornelplank::standins::engine
