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

/// One upstream of the configuration. The attributes are fixed for the life of the snapshot; `cell` holds
/// what changes between snapshots.
struct ReplicaRecord {
  std::string id;
  std::string address;  // IP:PORT
  uint64_t key = 0;     // hash of `id`, equal in every snapshot and on every node
  Index region = kNone;
  Index zone = kNone;
  Index partner = kNone;
  Index service = kNone;  // kNone for an engine
  uint32_t slots = 1;
  double price = 0;  // cost units per 1,000 tokens or per call
  std::shared_ptr<ReplicaLiveState> live;
};

/// Positions [begin, end) of a zone's replicas in `UpstreamSnapshot::Replicas()`.
struct ZoneRange {
  uint32_t begin = 0;
  uint32_t end = 0;
};

/// Sums over the upstreams of a zone, as its own nodes report them.
struct ZoneLoadSum {
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  /// Own forwards in flight when the sum arrived; most of them are part of it.
  uint32_t own_included = 0;
  base::TimePoint measured{};  // the epoch means never
};

/// The changing state of a zone: its sums, whether an entry VM of it answers, and the own requests that were
/// forwarded to it. Cells outlive configuration changes.
class ZoneLiveState {
 public:
  uint32_t InFlight() const { return in_flight_.load(std::memory_order_relaxed); }
  bool Reachable() const { return reachable_.load(std::memory_order_acquire); }
  ZoneLoadSum Sum() const;

  void SetReachable(bool reachable) { reachable_.store(reachable, std::memory_order_release); }
  void SetSum(const ZoneLoadSum& sum);
  /// Counts a forward from `BeginForward` to `EndForward`.
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

/// An immutable view of all upstreams, ordered by zone. Reading it takes no lock and allocates nothing.
class UpstreamSnapshot {
 public:
  UpstreamSnapshot(Topology topology, std::vector<ReplicaRecord> replicas,
                   std::vector<std::shared_ptr<ZoneLiveState>> zone_cells);

  const Topology& Names() const { return topology_; }
  const std::vector<ReplicaRecord>& Replicas() const { return replicas_; }
  ZoneRange Zone(Index zone) const { return zones_[zone]; }
  const std::shared_ptr<ZoneLiveState>& ZoneState(Index zone) const { return zone_cells_[zone]; }
  /// The replica named `id`, or null.
  const ReplicaRecord* Find(std::string_view id) const;

 private:
  Topology topology_;
  std::vector<ReplicaRecord> replicas_;
  std::vector<ZoneRange> zones_;
  std::vector<std::shared_ptr<ZoneLiveState>> zone_cells_;
};

/// True when the replica serves `service` (if it isn't kNone) or has `model`.
inline bool CanServe(const ReplicaRecord& replica, Index model, Index service) {
  if (service != kNone) return replica.service == service;
  return replica.service == kNone && model < kMaxModels && (replica.live->ModelMask() >> model & 1U) != 0;
}

}  // namespace cornelplank::upstreams
