#include "libs/membership/internal/gossip_state.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <utility>

namespace cornelplank::membership {
namespace {

constexpr uint16_t kMax16 = std::numeric_limits<uint16_t>::max();

uint16_t SaturateTo16Bits(uint64_t value) { return static_cast<uint16_t>(std::min<uint64_t>(value, kMax16)); }

/// Whether the change from `a` to `b` is large enough to be sent to the peers.
bool Differs(int a, int b, double limit) { return std::abs(a - b) > limit; }

bool DemandDiffers(const std::vector<ClassDemand>& a, const std::vector<ClassDemand>& b) {
  if (a.size() != b.size()) return true;
  for (size_t i = 0; i < a.size(); ++i) {
    const double limit = std::max(1.0, 0.2 * (a[i].rate + a[i].queued));
    if (Differs(a[i].rate, b[i].rate, limit) || Differs(a[i].queued, b[i].queued, limit)) return true;
  }
  return false;
}

size_t PositionOf(const std::vector<std::string>& names, std::string_view name) {
  return static_cast<size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

GossipState::GossipState(GossipSettings settings, NameIndex names, const VmTable& table, uint64_t seed,
                         base::TimePoint now)
    : settings_(settings),
      own_id_(table.own().entry.id),
      zone_(table.own().entry.zone),
      region_(table.own().entry.region),
      random_(seed),
      confirmation_(0, 0),
      next_round_(now),
      next_cross_zone_probe_(now) {
  SetNames(std::move(names), table);
  next_round_ += Jitter(settings_.round_interval);
  next_cross_zone_call_ = now + Jitter(settings_.cross_zone_interval);
}

base::Duration GossipState::Jitter(base::Duration span) {
  return base::Duration{static_cast<base::Duration::rep>(random_.Below(static_cast<uint64_t>(span.count())))};
}

size_t GossipState::RegionIndex(std::string_view region) const { return PositionOf(names_.regions, region); }
size_t GossipState::ZoneIndex(std::string_view zone) const { return PositionOf(names_.zones, zone); }

void GossipState::SetNames(NameIndex names, const VmTable& table) {
  region_ = table.own().entry.region;
  if (names.regions != names_.regions || confirmation_.regions() == 0) {
    confirmation_.SetRegions(names.regions.size(), PositionOf(names.regions, region_));
  }
  std::vector<LoadEntry> loads(names.replicas.size());
  for (size_t i = 0; i < loads.size(); ++i) {
    const size_t old = PositionOf(names_.replicas, names.replicas[i]);
    if (old < loads_.size()) loads[i] = loads_[old];
    loads[i].load.index = static_cast<uint16_t>(i);
    // Peers may have ignored entries that were sent with other indices, so all own ones are sent again.
    if (loads[i].own) loads[i].version = ++version_;
  }
  std::vector<SumEntry> sums(names.zones.size());
  for (size_t i = 0; i < sums.size(); ++i) {
    const size_t old = PositionOf(names_.zones, names.zones[i]);
    if (old < sums_.size()) sums[i] = sums_[old];
    sums[i].sum.zone = static_cast<uint8_t>(i);
    if (sums[i].own) sums[i].version = ++version_;
  }
  loads_ = std::move(loads);
  sums_ = std::move(sums);
  if (names.classes != names_.classes) {
    demand_.clear();
    for (auto& [id, peer] : peers_) peer.demand.clear();
  }
  names_ = std::move(names);
  required_revision_ = 0;
}

void GossipState::SetConfigPosition(ConfigPosition position, base::TimePoint now) {
  if (position.seq < config_.seq) return;
  config_ = position;
  confirmation_.SetOwnSeq(position.seq, now);
  if (config_source_ && config_source_->seq <= position.seq) config_source_.reset();
}

void GossipState::RecordPlatformHead(uint64_t head_seq, base::TimePoint asked_at, base::TimePoint now) {
  confirmation_.RecordPlatformHead(head_seq, asked_at, now);
}

void GossipState::SetOwnLoad(uint16_t index, uint16_t running, uint16_t queued, ReplicaState state,
                             base::TimePoint now) {
  if (index >= loads_.size()) return;
  LoadEntry& entry = loads_[index];
  const ReplicaState old_state = entry.load.state;
  const bool was_known = entry.as_of != base::TimePoint::min();
  entry.load = {index, running, queued, state, 0};
  entry.as_of = now;
  const int published_requests = entry.published.running + entry.published.queued;
  const double limit = std::max(2.0, settings_.load_change_threshold * names_.slots[index]);
  const bool changed = entry.published.state != state || Differs(published_requests, running + queued, limit);
  if (entry.own && !changed && now - entry.published_at < settings_.refresh_interval) return;
  entry.own = true;
  entry.published = entry.load;
  entry.published_at = now;
  entry.version = ++version_;
  // Peers must stop sending new requests to a leaving replica within 3 s, so all of them are called at once.
  if (was_known && old_state != state && state == ReplicaState::kLeaving) urgent_ = true;
}

void GossipState::SetOwnDemand(std::vector<ClassDemand> demand, base::TimePoint now) {
  demand.resize(names_.classes.size());
  demand_ = std::move(demand);
  const bool refresh_due = demand_version_ == 0 || now - demand_published_at_ >= settings_.refresh_interval;
  if (!refresh_due && !DemandDiffers(published_demand_, demand_)) return;
  published_demand_ = demand_;
  demand_published_at_ = now;
  demand_version_ = ++version_;
}

GossipState::Peer& GossipState::PeerOf(const VmListEntry& entry) {
  Peer& peer = peers_[entry.id];
  if (peer.incarnation != entry.incarnation) {
    const base::TimePoint last_call = peer.last_call;
    peer = Peer{};
    peer.incarnation = entry.incarnation;
    peer.last_call = last_call;
  }
  return peer;
}

bool GossipState::IsConfirmed(const VmTable& table, base::TimePoint now) const {
  return confirmation_.IsConfirmed(RequiredRegions(table), now);
}

const std::vector<bool>& GossipState::RequiredRegions(const VmTable& table) const {
  if (required_revision_ == table.revision()) return required_regions_;
  required_revision_ = table.revision();
  required_regions_.assign(names_.regions.size(), false);
  for (const auto& [id, vm] : table.vms()) {
    const size_t region = RegionIndex(vm.entry.region);
    if (region < required_regions_.size()) required_regions_[region] = true;
  }
  return required_regions_;
}

std::optional<ReplicaLoad> GossipState::FindReplicaLoad(uint16_t index, base::TimePoint now) const {
  if (index >= loads_.size() || loads_[index].as_of == base::TimePoint::min()) return std::nullopt;
  return WithAge(loads_[index], now);
}

std::optional<ZoneLoadSum> GossipState::FindZoneSum(uint8_t zone, base::TimePoint now) const {
  if (zone >= sums_.size()) return std::nullopt;
  if (names_.zones[zone] == zone_) return OwnSum();
  if (sums_[zone].as_of == base::TimePoint::min()) return std::nullopt;
  return WithAge(sums_[zone], now);
}

std::map<std::string, std::vector<ClassDemand>> GossipState::DemandByVm() const {
  std::map<std::string, std::vector<ClassDemand>> demand;
  if (!demand_.empty()) demand[own_id_] = demand_;
  for (const auto& [id, peer] : peers_) {
    if (!peer.demand.empty()) demand[id] = peer.demand;
  }
  return demand;
}

ReplicaLoad GossipState::WithAge(const LoadEntry& entry, base::TimePoint now) {
  ReplicaLoad load = entry.load;
  load.age = EncodeAge(now - entry.as_of);
  return load;
}

ZoneLoadSum GossipState::WithAge(const SumEntry& entry, base::TimePoint now) {
  ZoneLoadSum sum = entry.sum;
  sum.age = EncodeAge(now - entry.as_of);
  return sum;
}

ZoneLoadSum GossipState::OwnSum() const {
  ZoneLoadSum sum;
  sum.zone = static_cast<uint8_t>(PositionOf(names_.zones, zone_));
  uint64_t slots = 0;
  uint64_t running = 0;
  bool has_load = loads_.empty();
  for (size_t i = 0; i < loads_.size(); ++i) {
    const LoadEntry& entry = loads_[i];
    has_load = has_load || entry.as_of != base::TimePoint::min();
    if (entry.as_of == base::TimePoint::min() || entry.load.state != ReplicaState::kReady) continue;
    slots += names_.slots[i];
    running += entry.load.running;
  }
  sum.slots = SaturateTo16Bits(slots);
  sum.running = SaturateTo16Bits(running);
  // Before the first load report the sum is empty; with an age it would show other zones no slots.
  sum.age = has_load ? AgeTenths{0} : kNoAge;
  std::array<uint64_t, kSumClasses> queued{};
  const auto add = [&](const std::vector<ClassDemand>& demand) {
    for (size_t i = 0; i < demand.size(); ++i) queued[std::min(i, kSumClasses - 1)] += demand[i].queued;
  };
  add(demand_);
  for (const auto& [id, peer] : peers_) add(peer.demand);
  for (size_t i = 0; i < kSumClasses; ++i) sum.queued[i] = SaturateTo16Bits(queued[i]);
  return sum;
}

}  // namespace cornelplank::membership
