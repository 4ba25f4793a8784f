#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libs/routing/routing.h"

namespace cornelplank::routing {

/// Runs random commands against a small fleet of nodes and checks every decision against the oracle; returns
/// the violation with the shrunk commands.
std::optional<std::string> FuzzRouting(uint64_t seed, uint64_t steps, const Router& router);

}  // namespace cornelplank::routing
