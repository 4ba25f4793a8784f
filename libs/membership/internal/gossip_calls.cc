// GossipState: choice of the peers to call.
#include <algorithm>
#include <utility>

#include "libs/membership/internal/gossip_state.h"

namespace cornelplank::membership {
namespace {

base::Duration AgeOf(base::TimePoint at, base::TimePoint now) {
  return at == base::TimePoint::min() ? base::Duration::max() : now - at;
}

}  // namespace

bool GossipState::IsPlatformSilent(base::TimePoint now) const {
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
  const bool round_due = now >= next_round_;
  size_t usable = 1;
  for (const Vm* vm : table.OwnZoneVms()) {
    if (vm->entry.id == own_id_) continue;
    if (!vm->suspected) ++usable;
    Peer& peer = PeerOf(vm->entry);
    if (peer.call_in_progress) continue;
    if (urgent_ || IsProbeDue(*vm, peer, now)) {
      peer.call_in_progress = true;
      peer.probe_requested = false;
      peer.last_call = now;
      calls.push_back(vm->entry.id);
    } else if (!vm->suspected && round_due) {
      // The peers without contact for longest are called. Jitter breaks ties, which would make all nodes of a
      // zone call the same peer.
      const base::TimePoint contact = std::max(peer.last_contact, now - std::chrono::hours{1});
      regular.push_back({contact + Jitter(settings_.round_interval), &vm->entry.id, &peer});
    }
  }
  urgent_ = false;
  if (!round_due) return calls;
  next_round_ = std::max(next_round_ + settings_.round_interval, now);
  const auto gone = [&](const auto& item) { return table.Find(item.first) == nullptr; };
  std::erase_if(published_vms_, gone);
  std::erase_if(peers_, gone);
  const bool reduced_fanout = usable > settings_.small_zone_vms && !IsPlatformSilent(now);
  const size_t fanout = reduced_fanout ? 1 : static_cast<size_t>(settings_.fanout);
  const size_t count = std::min(fanout, regular.size());
  std::partial_sort(regular.begin(), regular.begin() + static_cast<std::ptrdiff_t>(count), regular.end(),
                    [](const Candidate& a, const Candidate& b) { return a.contact < b.contact; });
  for (size_t i = 0; i < count; ++i) {
    regular[i].peer->call_in_progress = true;
    regular[i].peer->last_call = now;
    calls.push_back(*regular[i].id);
  }
  return calls;
}

bool GossipState::IsProbeDue(const Vm& vm, const Peer& peer, base::TimePoint now) const {
  // A VM with one of the two observations that change its suspicion is called again after a round.
  const bool one_observed = vm.suspected ? vm.answers > 0 : vm.last_call_missed;
  if (one_observed || peer.probe_requested) return AgeOf(peer.last_call, now) >= settings_.round_interval;
  return vm.suspected && AgeOf(peer.last_call, now) >= settings_.suspected_call_interval;
}

base::Duration GossipState::TimeSinceZoneSum(const VmListEntry& entry, base::TimePoint now) const {
  const size_t zone = ZoneIndex(entry.zone);
  const base::Duration age = zone < sums_.size() ? AgeOf(sums_[zone].as_of, now) : base::Duration::max();
  const auto tried = last_attempt_at_.find(entry.zone);
  return tried == last_attempt_at_.end() ? age : std::min(age, now - tried->second);
}

base::Duration GossipState::TimeSinceRegionContact(const VmListEntry& entry, base::TimePoint now) const {
  const base::Duration age = confirmation_.RegionAge(RegionIndex(entry.region), now);
  const auto tried = last_attempt_at_.find(entry.region);
  return tried == last_attempt_at_.end() ? age : std::min(age, now - tried->second);
}

std::optional<std::string> GossipState::TakeDueCrossZoneProbe(const VmTable& table, base::TimePoint now) {
  if (now < next_cross_zone_probe_ || table.suspected_count() == 0) return std::nullopt;
  const std::string* choice = nullptr;
  Peer* choice_peer = nullptr;
  bool choice_answered_once = false;
  for (const auto& [id, vm] : table.vms()) {
    if (IsInOwnZone(vm.entry) || !vm.suspected) continue;
    Peer& peer = PeerOf(vm.entry);
    if (peer.call_in_progress || !IsProbeDue(vm, peer, now)) continue;
    // VMs that answered once come first, so that a zone has some usable VMs soon after a partition heals.
    const bool answered_once = vm.answers > 0;
    if (choice != nullptr &&
        (answered_once < choice_answered_once ||
         (answered_once == choice_answered_once && peer.last_call >= choice_peer->last_call))) {
      continue;
    }
    choice = &id;
    choice_peer = &peer;
    choice_answered_once = answered_once;
  }
  if (choice == nullptr) return std::nullopt;
  next_cross_zone_probe_ = now + settings_.round_interval;
  choice_peer->call_in_progress = true;
  choice_peer->last_call = now;
  return *choice;
}

std::optional<std::string> GossipState::TakeDueCrossZoneCall(const VmTable& table, base::TimePoint now) {
  if (auto probe = TakeDueCrossZoneProbe(table, now)) return probe;
  if (now < next_cross_zone_call_) return std::nullopt;
  // Picks two regions at random and calls the one whose newest information is older, because the
  // configuration stays confirmed by gossip only with information from every region within 14 s. In that
  // region it calls the zone of which this node has the oldest sum. If each node picked the region with the
  // oldest information of all, the nodes of a zone, which share what they know, would all call the same one
  // while the others age. The own region ranks by the age of its zone sums.
  struct Candidates {
    base::Duration age = base::Duration::min();       // of the region's newest information
    base::Duration zone_age = base::Duration::min();  // of the oldest zone sum of the region
    std::vector<const Vm*> vms;  // of the zone with that sum, or of several with equal age
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
    if (first) zone->second = TimeSinceZoneSum(vm.entry, now);
    Candidates& region = regions[vm.entry.region];
    if (first) {
      const bool own = vm.entry.region == region_;
      region.age = std::max(region.age, own ? zone->second : TimeSinceRegionContact(vm.entry, now));
    }
    if (zone->second < region.zone_age) continue;
    if (zone->second > region.zone_age) region.vms.clear();
    region.zone_age = zone->second;
    region.vms.push_back(&vm);
  }
  std::vector<const Vm*> choice;
  if (!regions.empty()) {
    const auto pick_region = [&] {
      return std::next(regions.begin(), static_cast<int>(random_.Below(regions.size())));
    };
    const auto first = pick_region();
    const auto second = pick_region();
    choice = std::move((first->second.age >= second->second.age ? first : second)->second.vms);
  }
  // The nodes of the zone share the calls to other zones, so each waits in proportion to their number.
  const int calls = std::max(settings_.cross_zone_calls, 1) * (IsPlatformSilent(now) ? 2 : 1);
  const base::Duration mean = std::max(settings_.cross_zone_interval,
                                       settings_.cross_zone_interval * static_cast<int>(usable) / calls);
  next_cross_zone_call_ = now + mean / 2 + Jitter(mean);
  if (std::any_of(choice.begin(), choice.end(), [](const Vm* vm) { return !vm->suspected; })) {
    std::erase_if(choice, [](const Vm* vm) { return vm->suspected; });
  }
  if (choice.empty()) return std::nullopt;
  const VmListEntry& entry = choice[random_.Below(choice.size())]->entry;
  last_attempt_at_[entry.zone] = now;
  last_attempt_at_[entry.region] = now;
  Peer& peer = PeerOf(entry);
  if (peer.call_in_progress) return std::nullopt;
  peer.call_in_progress = true;
  peer.last_call = now;
  return entry.id;
}

void GossipState::RecordFailedCall(const std::string& id, VmTable& table, base::TimePoint now) {
  if (const auto found = peers_.find(id); found != peers_.end()) found->second.call_in_progress = false;
  const Vm* vm = table.Find(id);
  const bool first_miss = vm != nullptr && IsInOwnZone(vm->entry) && !vm->last_call_missed && !vm->suspected;
  table.RecordMissedCall(id, now);
  // An urgent round reports the first missed call to the peers, so that they call the VM at once.
  if (!first_miss || AgeOf(last_urgent_round_at_, now) < settings_.urgent_round_interval) return;
  last_urgent_round_at_ = now;
  urgent_ = true;
}

}  // namespace cornelplank::membership
