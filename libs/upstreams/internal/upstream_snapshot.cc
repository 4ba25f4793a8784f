#include "libs/upstreams/internal/upstream_snapshot.h"

#include <algorithm>

namespace cornelplank::upstreams {

LastReportedZoneLoad ZoneLiveState::Sum() const {
  const uint64_t load = load_.load(std::memory_order_relaxed);
  return LastReportedZoneLoad{slots_.load(std::memory_order_relaxed), static_cast<uint32_t>(load >> 32U),
                              static_cast<uint32_t>(load & 0xffffffffU),
                              own_included_.load(std::memory_order_relaxed),
                              base::TimePoint{base::Duration{measured_.load(std::memory_order_relaxed)}}};
}

void ZoneLiveState::SetSum(const LastReportedZoneLoad& sum) {
  slots_.store(sum.slots, std::memory_order_relaxed);
  load_.store(static_cast<uint64_t>(sum.running) << 32U | sum.queued, std::memory_order_relaxed);
  own_included_.store(sum.own_included, std::memory_order_relaxed);
  measured_.store(sum.measured.time_since_epoch().count(), std::memory_order_relaxed);
}

UpstreamSnapshot::UpstreamSnapshot(Topology topology, std::vector<ReplicaRecord> replicas,
                                   std::vector<std::shared_ptr<ZoneLiveState>> zone_states)
    : topology_(std::move(topology)), replicas_(std::move(replicas)), zone_states_(std::move(zone_states)) {
  std::stable_sort(replicas_.begin(), replicas_.end(),
                   [](const ReplicaRecord& a, const ReplicaRecord& b) { return a.zone < b.zone; });
  zones_.resize(topology_.Zones().size());
  for (uint32_t i = 0; i < replicas_.size(); ++i) {
    if (replicas_[i].zone >= zones_.size()) continue;
    ZoneRange& range = zones_[replicas_[i].zone];
    if (range.end == 0) range.begin = i;
    range.end = i + 1;
  }
}

const ReplicaRecord* UpstreamSnapshot::Find(std::string_view id) const {
  for (const ReplicaRecord& replica : replicas_) {
    if (replica.id == id) return &replica;
  }
  return nullptr;
}

}  // namespace cornelplank::upstreams
