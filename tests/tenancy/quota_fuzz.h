#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "libs/tenancy/tenancy.h"

namespace cornelplank::tenancy {

/// Runs about `steps` random commands on a small fleet of quota books with the given bounds and compares what
/// is granted with the bound that the default ones state. Returns the first violation with the shortest
/// commands found that reproduce it, or no value.
std::optional<std::string> FuzzQuotas(uint64_t seed, uint64_t steps, const QuotaBounds& bounds);

}  // namespace cornelplank::tenancy
