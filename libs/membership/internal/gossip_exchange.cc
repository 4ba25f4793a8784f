// GossipState: building and merging of messages. The choice of calls is in gossip_calls.cc, the rest in
// gossip_state.cc.
#include <algorithm>
#include <cstdlib>
#include <limits>
#include <utility>

#include "libs/membership/internal/gossip_state.h"

namespace cornelplank::membership {
namespace {

uint16_t SaturateTo16Bits(uint64_t value) {
  return static_cast<uint16_t>(std::min<uint64_t>(value, std::numeric_limits<uint16_t>::max()));
}

/// Whether a value differs by more than a tenth of the zone's slots, and by more than 4.
bool SumDiffers(const ZoneLoadSum& a, const ZoneLoadSum& b) {
  const auto differs = [](int x, int y, int slots) { return std::abs(x - y) > std::max(4, slots / 10); };
  if (differs(a.slots, b.slots, a.slots) || differs(a.running, b.running, a.slots)) return true;
  for (size_t i = 0; i < kSumClasses; ++i) {
    if (differs(a.queued[i], b.queued[i], a.slots)) return true;
  }
  return false;
}

}  // namespace

bool GossipState::NamesMatch(const VmListEntry& from, const GossipMessage& message) const {
  return message.names_hash == (IsInOwnZone(from) ? names_.zone_hash : names_.global_hash);
}

GossipMessage GossipState::BuildMessage(const Vm& vm, const VmTable& table, const GossipMessage* request,
                                        base::TimePoint now) {
  const VmListEntry& peer = vm.entry;
  GossipMessage message;
  message.config = config_;
  message.names_hash = IsInOwnZone(peer) ? names_.zone_hash : names_.global_hash;
  if (confirmation_.head_seq() >= config_.seq) {
    message.entries_to_head = SaturateTo16Bits(confirmation_.head_seq() - config_.seq);
    message.head_age = EncodeAge(confirmation_.HeadAge(now));
  }
  message.leaving = table.own().entry.state == VmState::kLeaving;
  for (size_t i = 0; i < names_.regions.size(); ++i) {
    message.region_ages.push_back(EncodeAge(confirmation_.RegionAge(i, now)));
  }
  if (IsInOwnZone(peer)) {
    const Peer& state = PeerOf(peer);
    AddOwnZoneEntries(message, peer, state, table, request, now);
    message.acked_version = state.merged_version;
    message.version = version_;
  } else {
    AddZoneSums(message, now);
  }
  return message;
}

void GossipState::AddOwnZoneEntries(GossipMessage& message, const VmListEntry& peer, const Peer& state,
                                    const VmTable& table, const GossipMessage* request, base::TimePoint now) {
  // A message asks for few entries at a time, because during a failure every node asks in each round.
  constexpr size_t kMaxWanted = 8;
  const auto contains = [&](const auto& list, size_t i) {
    return request != nullptr && std::find(list.begin(), list.end(), i) != list.end();
  };
  // Own entries are pushed until the peer has acknowledged them; others are relayed on request.
  for (size_t i = 0; i < loads_.size(); ++i) {
    const LoadEntry& entry = loads_[i];
    const base::Duration age =
        entry.as_of == base::TimePoint::min() ? base::Duration::max() : now - entry.as_of;
    const bool push = entry.own && entry.version > state.acked_version;
    const bool relay =
        age < settings_.stale_after && request != nullptr && contains(request->wanted_replicas, i);
    if (push || relay) message.loads.push_back(WithAge(entry, now));
    if (age >= settings_.stale_after && message.wanted_replicas.size() < kMaxWanted) {
      message.wanted_replicas.push_back(static_cast<uint16_t>(i));
    }
  }
  for (size_t i = 0; i < sums_.size(); ++i) {
    if (names_.zones[i] == zone_) continue;
    const SumEntry& entry = sums_[i];
    const base::Duration age =
        entry.as_of == base::TimePoint::min() ? base::Duration::max() : now - entry.as_of;
    const base::Duration stale_after = 2 * settings_.stale_after;
    const bool push = entry.own && entry.version > state.acked_version;
    const bool relay = age < stale_after && request != nullptr && contains(request->wanted_zones, i);
    if (push || relay) message.sums.push_back(WithAge(entry, now));
    if (age >= stale_after && message.wanted_zones.size() < kMaxWanted) {
      message.wanted_zones.push_back(static_cast<uint8_t>(i));
    }
  }
  if (demand_version_ > state.acked_version) message.demand = published_demand_;
  AddVmChanges(message, peer, state, table, now);
}

void GossipState::AddVmChanges(GossipMessage& message, const VmListEntry& peer, const Peer& state,
                               const VmTable& table, base::TimePoint now) {
  for (const Vm* vm : table.OwnZoneVms()) {
    if (vm->last_call_missed && !vm->suspected) message.missed_vms.push_back(VmIdHash(vm->entry.id));
    if (vm->entry.id == own_id_ || vm->entry.id == peer.id || vm->entry.incarnation == 0) continue;
    PublishedVm& published = published_vms_[vm->entry.id];
    if (published.revision != vm->revision) published = {vm->revision, ++version_};
    if (published.version <= state.acked_version) continue;
    const base::Duration age =
        vm->last_heard == base::TimePoint{} ? base::Duration::max() : now - vm->last_heard;
    message.vms.push_back({vm->entry, EncodeAge(age)});
  }
}

void GossipState::AddZoneSums(GossipMessage& message, base::TimePoint now) const {
  std::vector<const SumEntry*> fresh;
  for (const SumEntry& entry : sums_) {
    if (entry.as_of != base::TimePoint::min() && now - entry.as_of < settings_.stale_after) {
      fresh.push_back(&entry);
    }
  }
  std::sort(fresh.begin(), fresh.end(),
            [](const SumEntry* a, const SumEntry* b) { return a->as_of > b->as_of; });
  if (fresh.size() > settings_.max_sums) fresh.resize(settings_.max_sums);
  message.sums.push_back(OwnSum());
  for (const SumEntry* entry : fresh) message.sums.push_back(WithAge(*entry, now));
}

void GossipState::MergeCall(const VmListEntry& from, const GossipMessage& message, VmTable& table,
                            base::TimePoint now) {
  VmListEntry entry = from;
  if (message.leaving) entry.state = VmState::kLeaving;
  table.RecordHeartbeat(entry, now);
  Merge(entry, message, table, now);
}

void GossipState::MergeAnswer(const VmListEntry& from, const GossipMessage& message,
                              base::TimePoint call_started, VmTable& table, base::TimePoint now) {
  if (const auto found = peers_.find(from.id); found != peers_.end()) found->second.call_in_progress = false;
  // The VM may have been removed from the table during the call.
  VmListEntry entry = from;
  if (message.leaving) entry.state = VmState::kLeaving;
  table.LearnFromPeer(entry, now - call_started, now);
  table.RecordAnswer(entry.id, entry.incarnation, entry.state, now);
  const Vm* vm = table.Find(from.id);
  if (vm == nullptr || vm->entry.incarnation != from.incarnation) return;
  MergeConfirmationEvidence(from, message, call_started, now);
  Merge(from, message, table, now);
}

void GossipState::MergeConfirmationEvidence(const VmListEntry& from, const GossipMessage& message,
                                            base::TimePoint call_started, base::TimePoint now) {
  if (message.head_age != kNoAge) {
    confirmation_.RecordPlatformHead(message.config.seq + message.entries_to_head,
                                     call_started - DecodeAge(message.head_age), now);
  }
  if (NamesMatch(from, message)) {
    for (size_t i = 0; i < message.region_ages.size(); ++i) {
      if (message.region_ages[i] == kNoAge) continue;
      confirmation_.RecordRegionContact(i, call_started - DecodeAge(message.region_ages[i]));
    }
  }
  confirmation_.RecordRegionContact(RegionIndex(from.region), call_started);
}

void GossipState::Merge(const VmListEntry& from, const GossipMessage& message, VmTable& table,
                        base::TimePoint now) {
  const Vm* vm = table.Find(from.id);
  if (vm == nullptr || vm->entry.incarnation != from.incarnation) return;
  Peer& peer = PeerOf(from);
  peer.last_contact = now;
  if (message.config.seq > config_.seq && (!config_source_ || config_source_->seq <= message.config.seq)) {
    config_source_ = ConfigSource{from.id, message.config.seq};
  }
  if (message.config.seq == config_.seq && message.config.digest != config_.digest) ++digest_conflicts_;
  for (const VmChange& change : message.vms) {
    table.LearnFromPeer(change.entry, DecodeAge(change.age), now);
  }
  MergeMissedVms(message, table, now);
  const bool match = NamesMatch(from, message);
  if (match) MergeLoads(message, now);
  if (match) MergeSums(from, message, now);
  if (match && !message.demand.empty()) peer.demand = message.demand;
  if (!IsInOwnZone(from)) return;
  peer.acked_version = std::min(message.acked_version, version_);
  // The sender must repeat entries that were ignored for different names, so they aren't acknowledged.
  if (match) peer.merged_version = std::max(peer.merged_version, message.version);
}

void GossipState::MergeMissedVms(const GossipMessage& message, const VmTable& table, base::TimePoint now) {
  if (message.missed_vms.empty()) return;
  for (const Vm* vm : table.OwnZoneVms()) {
    if (vm->suspected || vm->entry.id == own_id_ || now - vm->last_answer < settings_.round_interval) {
      continue;
    }
    const uint32_t key = VmIdHash(vm->entry.id);
    const bool missed_by_sender =
        std::find(message.missed_vms.begin(), message.missed_vms.end(), key) != message.missed_vms.end();
    if (missed_by_sender) PeerOf(vm->entry).probe_requested = true;
  }
}

void GossipState::MergeLoads(const GossipMessage& message, base::TimePoint now) {
  for (const ReplicaLoad& load : message.loads) {
    if (load.index >= loads_.size() || load.age == kNoAge) continue;
    LoadEntry& entry = loads_[load.index];
    const base::TimePoint as_of = now - DecodeAge(load.age);
    if (as_of <= entry.as_of) continue;
    entry.load = load;
    entry.as_of = as_of;
    entry.own = false;
  }
}

void GossipState::MergeSums(const VmListEntry& from, const GossipMessage& message, base::TimePoint now) {
  for (const ZoneLoadSum& sum : message.sums) {
    if (sum.zone >= sums_.size() || sum.age == kNoAge || names_.zones[sum.zone] == zone_) continue;
    SumEntry& entry = sums_[sum.zone];
    const base::TimePoint as_of = now - DecodeAge(sum.age);
    if (as_of <= entry.as_of) continue;
    entry.sum = sum;
    entry.as_of = as_of;
    // A sum from another zone is passed on within the zone only when it has changed or is due for a refresh.
    const bool pass_on = entry.shared_as_of == base::TimePoint::min() ||
                         as_of - entry.shared_as_of >= settings_.sum_refresh_interval ||
                         SumDiffers(entry.shared, sum);
    if (!IsInOwnZone(from) && !pass_on) continue;
    entry.shared = sum;
    entry.shared_as_of = as_of;
    entry.own = !IsInOwnZone(from);
    if (entry.own) entry.version = ++version_;
  }
}

}  // namespace cornelplank::membership
