#include "libs/membership/internal/entry_order.h"

#include <algorithm>
#include <compare>

namespace cornelplank::membership {
namespace {

struct Candidate {
  bool suspected;
  base::Duration distance;
  uint64_t weight;
  const Vm* vm;

  bool operator<(const Candidate& other) const {
    if (suspected != other.suspected) return !suspected;
    if (distance != other.distance) return distance < other.distance;
    return weight > other.weight;
  }
};

base::Duration DistanceOf(const VmListEntry& entry, const EntryQuery& query,
                          const RegionDistances& distances) {
  if (entry.zone == query.zone) return base::Duration::min();
  if (entry.region == query.region) return base::Duration{-1};
  const auto found = distances.find(entry.region);
  return found == distances.end() ? base::Duration::max() : found->second;
}

}  // namespace

std::vector<const Vm*> OrderEntryVms(const VmTable& table, const EntryQuery& query,
                                     const RegionDistances& distances) {
  std::vector<Candidate> candidates;
  candidates.reserve(table.vms().size());
  for (const auto& [id, vm] : table.vms()) {
    if (vm.entry.state == VmState::kLeaving) continue;
    if (!query.partner.empty() && vm.entry.partner != query.partner) continue;
    candidates.push_back({vm.suspected, DistanceOf(vm.entry, query, distances),
                          base::RendezvousWeight(query.client, id), &vm});
  }
  const size_t count = std::min(query.limit, candidates.size());
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end());
  std::vector<const Vm*> result;
  for (size_t i = 0; i < count; ++i) result.push_back(candidates[i].vm);
  return result;
}

}  // namespace cornelplank::membership
