#pragma once

#include <cstdint>
#include <string_view>

#include "libs/config/config.h"
#include "libs/upstreams/upstreams.h"

namespace cornelplank::routing {

using upstreams::Index;
using upstreams::kNone;

/// A set of regions, one bit for each region index of the topology.
using RegionMask = uint64_t;

/// Returns the bit of `region`, or 0 for an unknown region.
constexpr RegionMask RegionBit(Index region) {
  return region < upstreams::kMaxRegions ? RegionMask{1} << region : 0;
}

/// True when data whose home region is `home` may be processed in `region`. Every transfer of the data must
/// pass this check: serving, retries, hedges, and cache export and import (check both regions).
bool IsAllowed(const config::ResidencyRule& rule, std::string_view home, std::string_view region);

/// A residency rule with its region names replaced by bits.
struct ResidencyMask {
  RegionMask named = 0;  // regions that the rule lists by name
  bool home = false;     // the rule allows the home region

  RegionMask Allowed(Index home_region) const { return named | (home ? RegionBit(home_region) : 0); }
};

/// Converts `rule` for the regions of `names`. A region that is not in the configuration is ignored, so it
/// allows nothing.
ResidencyMask ToResidencyMask(const config::ResidencyRule& rule, const upstreams::Topology& names);

}  // namespace cornelplank::routing
