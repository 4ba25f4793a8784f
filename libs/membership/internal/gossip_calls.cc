// Choice of the peers that GossipState calls.
#include <algorithm>
#include <utility>

#include "libs/membership/internal/gossip_state.h"

namespace cornelplank::membership {
namespace {

base::Duration AgeOf(base::TimePoint at, base::TimePoint now) {
  return at == base::TimePoint::min() ? base::Duration::max() : now - at;
}

}  // namespace

bool GossipState::Strained(base::TimePoint now) const {
  return confirmation_.PlatformConfirmationAge(now) >= settings_.platform_silence_limit;
}

std::vector<std::string> GossipState::TakeDueZoneCalls(const VmTable& table, base::TimePoint now) {
  std::vector<std::string> calls;
  struct Candidate {
    base::TimePoint contact;
    const std::string* id;
    Peer* peer;
  };
  std::vector<Candidate> regular;
  const bool round = now >= next_round_;
  size_t usable = 1;
  for (const Vm* vm : table.OwnZoneVms()) {
    if (vm->entry.id == own_id_) continue;
    if (!vm->suspected) ++usable;
    Peer& peer = PeerOf(vm->entry);
    if (peer.calling) continue;
    if (urgent_ || ProbeDue(*vm, peer, now)) {
      peer.calling = true;
      peer.probe = false;
      peer.last_call = now;
      calls.push_back(vm->entry.id);
    } else if (!vm->suspected && round) {
      // Jitter breaks the ties that would make all nodes of a zone call the same peer.
      const base::TimePoint contact = std::max(peer.last_contact, now - std::chrono::hours{1});
      regular.push_back({contact + Jitter(settings_.round_interval), &vm->entry.id, &peer});
    }
  }
  urgent_ = false;
  if (!round) return calls;
  next_round_ = std::max(next_round_ + settings_.round_interval, now);
  const auto gone = [&](const auto& item) { return table.Find(item.first) == nullptr; };
  std::erase_if(published_vms_, gone);
  std::erase_if(peers_, gone);
  const bool thin = usable > settings_.small_zone_vms && !Strained(now);
  const size_t fanout = thin ? 1 : static_cast<size_t>(settings_.fanout);
  const size_t count = std::min(fanout, regular.size());
  std::partial_sort(regular.begin(), regular.begin() + static_cast<std::ptrdiff_t>(count), regular.end(),
                    [](const Candidate& a, const Candidate& b) { return a.contact < b.contact; });
  for (size_t i = 0; i < count; ++i) {
    regular[i].peer->calling = true;
    regular[i].peer->last_call = now;
    calls.push_back(*regular[i].id);
  }
  return calls;
}

bool GossipState::ProbeDue(const Vm& vm, const Peer& peer, base::TimePoint now) const {
  // A change that one observation supports is settled by the next round, on top of the regular calls.
  const bool half = vm.suspected ? vm.answers > 0 : vm.last_call_missed;
  if (half || peer.probe) return AgeOf(peer.last_call, now) >= settings_.round_interval;
  return vm.suspected && AgeOf(peer.last_call, now) >= settings_.suspected_call_interval;
}

base::Duration GossipState::SumAge(const VmListEntry& entry, base::TimePoint now) const {
  const size_t zone = ZoneIndex(entry.zone);
  const base::Duration age = zone < sums_.size() ? AgeOf(sums_[zone].as_of, now) : base::Duration::max();
  const auto tried = tried_at_.find(entry.zone);
  return tried == tried_at_.end() ? age : std::min(age, now - tried->second);
}

base::Duration GossipState::RegionNewsAge(const VmListEntry& entry, base::TimePoint now) const {
  const base::Duration age = confirmation_.RegionAge(RegionIndex(entry.region), now);
  const auto tried = tried_at_.find(entry.region);
  return tried == tried_at_.end() ? age : std::min(age, now - tried->second);
}

std::optional<std::string> GossipState::CrossProbeDue(const VmTable& table, base::TimePoint now) {
  if (now < next_probe_ || table.suspected_count() == 0) return std::nullopt;
  const std::string* choice = nullptr;
  Peer* choice_peer = nullptr;
  bool choice_half = false;
  for (const auto& [id, vm] : table.vms()) {
    if (IsInOwnZone(vm.entry) || !vm.suspected) continue;
    Peer& peer = PeerOf(vm.entry);
    if (peer.calling || !ProbeDue(vm, peer, now)) continue;
    // VMs that answered once come first, so that a zone has some usable VMs soon after a partition heals.
    const bool half = vm.answers > 0;
    if (choice != nullptr &&
        (half < choice_half || (half == choice_half && peer.last_call >= choice_peer->last_call))) {
      continue;
    }
    choice = &id;
    choice_peer = &peer;
    choice_half = half;
  }
  if (choice == nullptr) return std::nullopt;
  next_probe_ = now + settings_.round_interval;
  choice_peer->calling = true;
  choice_peer->last_call = now;
  return *choice;
}

std::optional<std::string> GossipState::TakeDueCrossZoneCall(const VmTable& table, base::TimePoint now) {
  if (auto probe = CrossProbeDue(table, now)) return probe;
  if (now < next_cross_) return std::nullopt;
  // Of two random regions the one with the older news is called, as the confirmed rule needs news of each
  // region within 14 s; in it the zone of which this node has the oldest sum. With the oldest of all regions,
  // nodes that share their news would call the same region while all others grow old. The own region counts
  // by its sums.
  struct Candidates {
    base::Duration age = base::Duration::min();       // of the region
    base::Duration zone_age = base::Duration::min();  // of the oldest sum
    std::vector<const Vm*> vms;                       // of that zone, or of zones of equal age
  };
  std::map<std::string_view, Candidates> regions;
  std::map<std::string_view, base::Duration> zones;
  size_t usable = 0;
  for (const auto& [id, vm] : table.vms()) {
    if (IsInOwnZone(vm.entry)) {
      usable += vm.suspected ? 0 : 1;
      continue;
    }
    const auto [zone, first] = zones.try_emplace(vm.entry.zone);
    if (first) zone->second = SumAge(vm.entry, now);
    Candidates& region = regions[vm.entry.region];
    if (first) {
      const bool own = vm.entry.region == region_;
      region.age = std::max(region.age, own ? zone->second : RegionNewsAge(vm.entry, now));
    }
    if (zone->second < region.zone_age) continue;
    if (zone->second > region.zone_age) region.vms.clear();
    region.zone_age = zone->second;
    region.vms.push_back(&vm);
  }
  std::vector<const Vm*> choice;
  if (!regions.empty()) {
    const auto draw = [&] {
      return std::next(regions.begin(), static_cast<int>(random_.Below(regions.size())));
    };
    const auto first = draw();
    const auto second = draw();
    choice = std::move((first->second.age >= second->second.age ? first : second)->second.vms);
  }
  // All nodes of the zone share its calls, so each waits in proportion to their number.
  const int calls = std::max(settings_.cross_zone_calls, 1) * (Strained(now) ? 2 : 1);
  const base::Duration mean = std::max(settings_.cross_zone_interval,
                                       settings_.cross_zone_interval * static_cast<int>(usable) / calls);
  next_cross_ = now + mean / 2 + Jitter(mean);
  if (std::any_of(choice.begin(), choice.end(), [](const Vm* vm) { return !vm->suspected; })) {
    std::erase_if(choice, [](const Vm* vm) { return vm->suspected; });
  }
  if (choice.empty()) return std::nullopt;
  const VmListEntry& entry = choice[random_.Below(choice.size())]->entry;
  tried_at_[entry.zone] = now;
  tried_at_[entry.region] = now;
  Peer& peer = PeerOf(entry);
  if (peer.calling) return std::nullopt;
  peer.calling = true;
  peer.last_call = now;
  return entry.id;
}

void GossipState::RecordFailedCall(const std::string& id, VmTable& table, base::TimePoint now) {
  if (const auto found = peers_.find(id); found != peers_.end()) found->second.calling = false;
  const Vm* vm = table.Find(id);
  const bool first = vm != nullptr && IsInOwnZone(vm->entry) && !vm->last_call_missed && !vm->suspected;
  table.RecordMissedCall(id, now);
  // The peers are told at once, so that they call the VM themselves without waiting for its turn.
  if (!first || AgeOf(alarm_at_, now) < settings_.urgent_round_interval) return;
  alarm_at_ = now;
  urgent_ = true;
}

}  // namespace cornelplank::membership
