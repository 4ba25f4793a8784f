#pragma once

#include <cstdint>
#include <string_view>

#include "libs/config/config.h"
#include "libs/upstreams/upstreams.h"

namespace cornelplank::routing {

using upstreams::Index;
using upstreams::kNone;

/// One bit for each region of the topology.
using RegionMask = uint64_t;

constexpr RegionMask RegionBit(Index region) {
  return region < upstreams::kMaxRegions ? RegionMask{1} << region : 0;
}

/// True when data whose home is the region `home` may be processed in `region`. It applies to every place
/// where data goes: serving, retries, hedges, and cache export and import (ask for both ends).
bool IsAllowed(const config::ResidencyRule& rule, std::string_view home, std::string_view region);

/// A residency rule with its names replaced by bits.
struct ResidencyMask {
  RegionMask named = 0;
  bool home = false;

  RegionMask Allowed(Index home_region) const { return named | (home ? RegionBit(home_region) : 0); }
};

/// Names of unknown regions allow nothing.
ResidencyMask MaskOf(const config::ResidencyRule& rule, const upstreams::Topology& names);

}  // namespace cornelplank::routing
