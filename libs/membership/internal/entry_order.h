#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libs/membership/internal/vm_table.h"

namespace cornelplank::membership {

/// Where a client enters and what it may use.
struct EntryQuery {
  std::string_view client;   // client id; spreads clients over the VMs of a zone
  std::string_view zone;     // the client's nearest zone
  std::string_view region;   // the region of that zone
  std::string_view partner;  // only VMs of this partner; empty: of any
  size_t limit = 8;          // longest list returned
};

/// One-way latency from the query's region to another, by name. Regions without an entry come last.
using RegionDistances = std::map<std::string, base::Duration, std::less<>>;

/// Entry VMs for a client: own zone first, then own region, then regions by distance; suspected VMs after all
/// others; leaving VMs never. Within one distance the order differs by client and is stable while the set of
/// VMs is.
std::vector<const Vm*> OrderEntryVms(const VmTable& table, const EntryQuery& query,
                                     const RegionDistances& distances);

}  // namespace cornelplank::membership
