#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank {

/// Gives `steps` changed texts to each decoder of what comes from outside: entries of replicas,
/// configurations, pages of the store, packed values, heartbeats and headers. The texts are valid ones with
/// parts cut, repeated, or replaced by values that other writers have left. Returns the first result that is
/// outside its bounds. A crash, or a fault that a sanitizer reports, ends the process.
std::optional<std::string> FuzzDecoders(uint64_t seed, uint64_t steps);

}  // namespace cornelplank
