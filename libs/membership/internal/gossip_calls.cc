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

std::vector<std::string> GossipState::ZoneCallsDue(const VmTable& table, base::TimePoint now) {
  std::vector<std::string> calls;
  struct Candidate {
    base::TimePoint contact;
    const std::string* id;
    Peer* peer;
  };
  std::vector<Candidate> regular;
  const bool round = now >= next_round_;
  size_t usable = 1;
  for (const Vm* vm : table.InZone(zone_)) {
    if (vm->entry.id == own_id_) continue;
    if (!vm->suspected) ++usable;
    Peer& peer = PeerOf(vm->entry);
    if (peer.calling) continue;
    if (urgent_ || ProbeDue(*vm, peer, now)) {
      peer.calling = true;
      peer.last_call = now;
      calls.push_back(vm->entry.id);
    } else if (!vm->suspected && round) {
      // Jitter breaks the ties that would make all nodes of a zone call the same peer.
      const base::TimePoint contact = std::max(peer.last_contact, now - std::chrono::hours{1});
      regular.push_back({contact + Jitter(settings_.round), &vm->entry.id, &peer});
    }
  }
  urgent_ = false;
  if (!round) return calls;
  next_round_ = std::max(next_round_ + settings_.round, now);
  const auto gone = [&](const auto& item) { return table.Find(item.first) == nullptr; };
  std::erase_if(published_vms_, gone);
  std::erase_if(peers_, gone);
  const size_t fanout = usable > settings_.small_zone ? 1 : static_cast<size_t>(settings_.fanout);
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
  const bool half = vm.suspected ? vm.answers > 0 : vm.doubted;
  if (half) return AgeOf(peer.last_call, now) >= settings_.round;
  return vm.suspected && AgeOf(peer.last_call, now) >= settings_.suspected_round;
}

base::Duration GossipState::NewsAge(const VmListEntry& entry, bool by_region, base::TimePoint now) const {
  base::Duration age = base::Duration::max();
  if (by_region) {
    age =
        entry.region == region_ ? base::Duration{0} : confirmation_.RegionAge(RegionIndex(entry.region), now);
  } else if (const size_t zone = ZoneIndex(entry.zone); zone < sums_.size()) {
    age = AgeOf(sums_[zone].as_of, now);
  }
  const auto tried = zone_tried_at_.find(entry.zone);
  return tried == zone_tried_at_.end() ? age : std::min(age, now - tried->second);
}

std::optional<std::string> GossipState::CrossProbeDue(const VmTable& table, base::TimePoint now) {
  if (now < next_probe_) return std::nullopt;
  const std::string* choice = nullptr;
  Peer* choice_peer = nullptr;
  bool choice_half = false;
  for (const auto& [id, vm] : table.vms()) {
    if (InZone(vm.entry) || !vm.suspected) continue;
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
  next_probe_ = now + settings_.round;
  choice_peer->calling = true;
  choice_peer->last_call = now;
  return *choice;
}

std::optional<std::string> GossipState::CrossCallDue(const VmTable& table, base::TimePoint now) {
  if (auto probe = CrossProbeDue(table, now)) return probe;
  if (now < next_cross_) return std::nullopt;
  // The zone to call is the one of which this node has the oldest news. Half of the calls look at regions,
  // because the confirmed rule needs news of each region within 14 s.
  const bool by_region = random_.Below(2) == 0;
  size_t usable = 0;
  base::Duration oldest = base::Duration::min();
  std::vector<const Vm*> choice;
  std::map<std::string_view, base::Duration> ages;
  for (const auto& [id, vm] : table.vms()) {
    if (InZone(vm.entry)) {
      usable += vm.suspected ? 0 : 1;
      continue;
    }
    auto [age, fresh] = ages.try_emplace(vm.entry.zone);
    if (fresh) age->second = NewsAge(vm.entry, by_region, now);
    if (age->second < oldest) continue;
    if (age->second > oldest) choice.clear();
    oldest = age->second;
    choice.push_back(&vm);
  }
  // All nodes of the zone share its calls, so each waits in proportion to their number.
  const base::Duration mean =
      std::max(settings_.cross_round,
               settings_.cross_round * static_cast<int>(usable) / std::max(settings_.cross_calls, 1));
  next_cross_ = now + mean / 2 + Jitter(mean);
  if (std::any_of(choice.begin(), choice.end(), [](const Vm* vm) { return !vm->suspected; })) {
    std::erase_if(choice, [](const Vm* vm) { return vm->suspected; });
  }
  if (choice.empty()) return std::nullopt;
  const VmListEntry& entry = choice[random_.Below(choice.size())]->entry;
  zone_tried_at_[entry.zone] = now;
  Peer& peer = PeerOf(entry);
  if (peer.calling) return std::nullopt;
  peer.calling = true;
  peer.last_call = now;
  return entry.id;
}

void GossipState::CallFailed(const std::string& id, VmTable& table, base::TimePoint now) {
  if (const auto found = peers_.find(id); found != peers_.end()) found->second.calling = false;
  table.Missed(id, now);
}

}  // namespace cornelplank::membership
