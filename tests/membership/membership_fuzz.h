#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "tests/membership/zone_sim.h"

namespace cornelplank::membership {

std::optional<std::string> FuzzMembership(MembershipFault fault, uint64_t seed, uint64_t steps);
std::optional<std::string> FuzzReaders(MembershipFault fault, uint64_t seed, uint64_t steps);

}  // namespace cornelplank::membership
