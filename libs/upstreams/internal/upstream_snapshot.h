#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libs/upstreams/internal/replica_live_state.h"
#include "libs/upstreams/internal/topology.h"

namespace cornelplank::upstreams {

/// One upstream of the configuration, with its names as indices into the topology of the snapshot. The
/// attributes are constant; `live` holds the state that changes between snapshots.
struct ReplicaRecord {
  std::string id;
  std::string address;  // IP:PORT
  uint64_t key = 0;     // `base::Hash64` of `id`, the same in every snapshot and on every node
  Index region = kNone;
  Index zone = kNone;
  Index partner = kNone;
  Index service = kNone;  // the service that it runs; kNone for an engine
  uint32_t slots = 1;
  double price = 0;  // cost units per 1,000 tokens or per call
  std::shared_ptr<ReplicaLiveState> live;
};

/// Positions [begin, end) of a zone's replicas in `UpstreamSnapshot::Replicas()`.
struct ZoneRange {
  uint32_t begin = 0;
  uint32_t end = 0;
};

/// Sums over the engines of a zone, as the nodes of that zone report them.
struct LastReportedZoneLoad {
  uint32_t slots = 0;  // without leaving, ejected and suspect engines; fewer during a ramp
  uint32_t running = 0;
  uint32_t queued = 0;
  /// Own forwards in flight when the sum arrived. Most of them are included in `running` and `queued`.
  uint32_t own_included = 0;
  base::TimePoint measured{};  // the epoch means that there is no sum
};

/// The state of a zone that changes between snapshots: its load sum, whether an entry VM of it answers, and
/// the number of own requests forwarded to it. The object is kept when the configuration changes.
/// Thread-safe.
class ZoneLiveState {
 public:
  uint32_t InFlight() const { return in_flight_.load(std::memory_order_relaxed); }
  bool Reachable() const { return reachable_.load(std::memory_order_acquire); }
  LastReportedZoneLoad Sum() const;

  void SetReachable(bool reachable) { reachable_.store(reachable, std::memory_order_release); }
  void SetSum(const LastReportedZoneLoad& sum);
  /// A forward is in flight from `BeginForward` to `EndForward`.
  void BeginForward() { in_flight_.fetch_add(1, std::memory_order_relaxed); }
  void EndForward() { in_flight_.fetch_sub(1, std::memory_order_relaxed); }

 private:
  std::atomic<uint32_t> in_flight_{0};
  std::atomic<bool> reachable_{true};
  std::atomic<uint32_t> slots_{0};
  std::atomic<uint64_t> load_{0};  // running in the upper, queued in the lower half
  std::atomic<uint32_t> own_included_{0};
  std::atomic<int64_t> measured_{0};
};

/// An immutable list of all upstreams of one configuration, ordered by zone. Reading it takes no lock and
/// allocates no memory.
class UpstreamSnapshot {
 public:
  UpstreamSnapshot(Topology topology, std::vector<ReplicaRecord> replicas,
                   std::vector<std::shared_ptr<ZoneLiveState>> zone_states);

  const Topology& Names() const { return topology_; }
  const std::vector<ReplicaRecord>& Replicas() const { return replicas_; }
  ZoneRange Zone(Index zone) const { return zones_[zone]; }
  const std::shared_ptr<ZoneLiveState>& ZoneState(Index zone) const { return zone_states_[zone]; }
  /// Returns the replica with the id `id`, or null. The search is linear.
  const ReplicaRecord* Find(std::string_view id) const;

 private:
  Topology topology_;
  std::vector<ReplicaRecord> replicas_;
  std::vector<ZoneRange> zones_;
  std::vector<std::shared_ptr<ZoneLiveState>> zone_states_;
};

/// True when the replica runs `service`, or, if `service` is kNone, is an engine with `model` loaded.
inline bool CanServe(const ReplicaRecord& replica, Index model, Index service) {
  if (service != kNone) return replica.service == service;
  return replica.service == kNone && model < kMaxModels && (replica.live->ModelMask() >> model & 1U) != 0;
}

}  // namespace cornelplank::upstreams
