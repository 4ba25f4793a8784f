#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libs/membership/internal/vm_table.h"

namespace cornelplank::membership {

/// The location of a client and which VMs it may use.
struct EntryQuery {
  std::string_view client;   // client id; distributes clients over the VMs at equal distance
  std::string_view zone;     // the client's nearest zone
  std::string_view region;   // the region of that zone
  std::string_view partner;  // only VMs of this partner; empty means VMs of any partner
  size_t limit = 8;          // maximum number of VMs returned
};

/// One-way latency from the query's region to other regions, by region name. Regions that are missing here
/// rank last.
using RegionDistances = std::map<std::string, base::Duration, std::less<>>;

/// Returns the entry VMs that a client should try, in that order: first the VMs of the client's zone, then
/// those of its region, then the other regions by latency. Suspected VMs follow after all others; leaving VMs
/// are left out. The order among VMs at equal distance depends on the client (rendezvous hashing) and changes
/// only with the set of VMs. Returns an empty list when no VM qualifies.
std::vector<const Vm*> OrderEntryVms(const VmTable& table, const EntryQuery& query,
                                     const RegionDistances& distances);

}  // namespace cornelplank::membership
