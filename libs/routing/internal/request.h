#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "libs/base/base.h"
#include "libs/routing/internal/hop_path.h"
#include "libs/upstreams/upstreams.h"

namespace cornelplank::routing {

/// Replicas and zones that a retry or a hedge must not use. Replicas are identified by `ReplicaRecord::key`,
/// which stays valid when the configuration changes between two attempts. Adding to a full set replaces its
/// oldest entry.
class ExcludeSet {
 public:
  static constexpr size_t kCapacity = 8;

  void AddReplica(uint64_t key) { replicas_[replica_count_++ % kCapacity] = key; }
  void AddZone(upstreams::Index zone) { zones_[zone_count_++ % kCapacity] = zone; }

  bool IsEmpty() const { return replica_count_ == 0 && zone_count_ == 0; }
  bool HasReplica(uint64_t key) const {
    for (size_t i = 0; i < replica_count_ && i < kCapacity; ++i) {
      if (replicas_[i] == key) return true;
    }
    return false;
  }
  bool HasZone(upstreams::Index zone) const {
    for (size_t i = 0; i < zone_count_ && i < kCapacity; ++i) {
      if (zones_[i] == zone) return true;
    }
    return false;
  }

 private:
  std::array<uint64_t, kCapacity> replicas_{};
  std::array<upstreams::Index, kCapacity> zones_{};
  size_t replica_count_ = 0;
  size_t zone_count_ = 0;
};

/// The names of a request as clients and peer VMs send them. Either `model` or `service` is empty.
struct RequestNames {
  std::string_view partner;
  std::string_view model;
  std::string_view service;
  std::string_view residency;  // residency rule of the client
  std::string_view home;       // home region of the data; may be empty
};

/// Input of the router for one attempt of a request. `RoutingSnapshot::Resolve` replaces the names by indices
/// into the topology of its snapshot. Resolve again for each attempt: another configuration may number the
/// names differently, and the router refuses indices of another topology (`kStaleNames`).
struct RouteRequest {
  uint64_t topology = 0;  // `Topology::Identity()` of the topology that the indices refer to
  upstreams::Index partner = upstreams::kNone;    // partner that sent the request
  upstreams::Index model = upstreams::kNone;      // requested model, or kNone
  upstreams::Index service = upstreams::kNone;    // requested service, or kNone
  upstreams::Index residency = upstreams::kNone;  // residency rule of the client
  upstreams::Index home = upstreams::kNone;       // home region of the data
  bool idempotent = true;                         // only idempotent requests may probe ejected replicas
  bool may_borrow = true;      // admission allows the use of capacity lent by other partners
  bool may_wait = false;       // the priority class waits for spare capacity
  uint64_t prefix = 0;         // hash of the cacheable prompt prefix; 0 for none
  uint32_t prefix_tokens = 0;  // tokens that the prefix covers
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 232;  // expected; 232 is the mean of the workload
  uint64_t request_bytes = 0;
  uint64_t response_bytes = 0;  // expected size of the response
  base::TimePoint now{};
  base::TimePoint deadline = base::TimePoint::max();
  HopPath hop_path;  // zones visited before this node
  ExcludeSet excluded;
};

}  // namespace cornelplank::routing
