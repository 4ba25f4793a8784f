#include "libs/membership/internal/selectors.h"

#include <algorithm>
#include <utility>

namespace cornelplank::membership {
namespace {

/// Returns the VMs of the zone that aren't suspected, live ones before leaving ones, then by rendezvous
/// weight for `key`.
std::vector<const Vm*> RankVms(const VmTable& table, std::string_view zone, std::string_view key) {
  std::vector<std::pair<uint64_t, const Vm*>> weighted;
  for (const Vm* vm : table.VmsInZone(zone)) {
    if (!vm->suspected) weighted.emplace_back(base::RendezvousWeight(key, vm->entry.id), vm);
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) {
    if (a.second->entry.state != b.second->entry.state) return a.second->entry.state == VmState::kLive;
    return a.first > b.first;
  });
  std::vector<const Vm*> result;
  result.reserve(weighted.size());
  for (const auto& [weight, vm] : weighted) result.push_back(vm);
  return result;
}

std::string FirstRanked(const VmTable& table, std::string_view zone, std::string_view key) {
  const auto ranked = RankVms(table, zone, key);
  return ranked.empty() ? std::string() : ranked.front()->entry.id;
}

}  // namespace

std::vector<std::string> ReaderSelector::Readers(const VmTable& table, std::string_view zone) {
  std::vector<std::string> readers;
  for (const Vm* vm : RankVms(table, zone, "reader")) {
    if (readers.size() == kReadersPerZone) break;
    readers.push_back(vm->entry.id);
  }
  return readers;
}

bool ReaderSelector::IsOwnReader(const VmTable& table) {
  const auto readers = Readers(table, table.own().entry.zone);
  return std::find(readers.begin(), readers.end(), table.own().entry.id) != readers.end();
}

std::string ReplicaPollerSelector::Poller(const VmTable& table, std::string_view zone,
                                          std::string_view replica) {
  return FirstRanked(table, zone, replica);
}

std::vector<std::string> ReplicaPollerSelector::OwnReplicas(const VmTable& table,
                                                            const std::vector<std::string>& replicas) {
  std::vector<std::string> own;
  for (const std::string& replica : replicas) {
    if (Poller(table, table.own().entry.zone, replica) == table.own().entry.id) own.push_back(replica);
  }
  return own;
}

std::string ReplicaPollerSelector::Planner(const VmTable& table, std::string_view zone) {
  return FirstRanked(table, zone, "planner");
}

}  // namespace cornelplank::membership
