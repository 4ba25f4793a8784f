#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libs/routing/routing.h"

namespace cornelplank::routing {

/// Runs about `steps` random commands on a small fleet of nodes and checks every decision against the oracle.
/// Returns the first violation with the shortest commands found that reproduce it, or no value.
std::optional<std::string> FuzzRouting(uint64_t seed, uint64_t steps, const Router& router);

}  // namespace cornelplank::routing
