#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "tests/membership/zone_sim.h"

namespace cornelplank::membership {

/// Checks the rules of VmTable and the ages in Confirmation under random faults: about `steps` commands from
/// `seed`. Returns the first violation, or nothing when there was none.
std::optional<std::string> FuzzMembership(MembershipFault fault, uint64_t seed, uint64_t steps);
/// Likewise checks that the zones keep reading the platform and that fall-back reads stay within their
/// limits.
std::optional<std::string> FuzzReaders(MembershipFault fault, uint64_t seed, uint64_t steps);

}  // namespace cornelplank::membership
