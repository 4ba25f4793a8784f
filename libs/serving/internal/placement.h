#pragma once

#include <memory>
#include <string>
#include <vector>

#include "libs/serving/internal/cold_start_limiter.h"
#include "libs/serving/internal/hop_directory.h"
#include "libs/serving/internal/replica_registry.h"

namespace cornelplank::serving {

/// What the choice of a replica depends on.
struct PlacementQuery {
  const RouteConfig* route = nullptr;
  std::string service;
  uint32_t prompt_tokens = 0;
  uint32_t shared_tokens = 0;
  uint64_t shared_key = 0;
  uint32_t output_tokens = 0;
  bool may_hop = true;
  std::vector<std::string> excluded_replicas;  // tried before
  std::vector<std::string> excluded_regions;
};

enum class RefusalReason {
  kNone,
  kUnknownService,  // not in the configuration
  kNoReplica,       // none is known, or all were tried, are leaving or evacuated
  kNotAllowed,      // replicas exist, but none where the route's data may be processed
  kNoTime,          // the first byte is expected after the client's time
  kLate,            // engines are so busy that most answers come late
  kCold,            // only cold replicas are left, and each has had its share
};

const char* RefusalReasonName(RefusalReason code);

struct Placement {
  std::shared_ptr<ReplicaRecord> replica;  // null for a hop
  std::string region;                      // to hop to
  base::Duration expected{0};              // time to the first byte
  base::Duration cost{0};  // by which placements are compared: `expected` and what it costs others
  base::Duration wait{0};  // the part of it that other requests cause
  bool prefix_owner = false;
};

struct PlacerSettings {
  // Engines of the deployments read 68.2 prompt tokens a millisecond (the sheets); chunks of other requests'
  // tokens between them take about a fifth.
  double prefill_tokens_per_ms = 55;
  // Time that reading a thousand shared tokens once more is taken to be worth: its price against the value of
  // an answer in time.
  double read_again_ms_per_1000 = 60;
  // Share of an engine's slots that each step of priority leaves free for more urgent requests. A full engine
  // interrupts its least urgent request for a more urgent one and reads its whole prompt again.
  double reserved_share_per_priority = 0.08;
  // Cost of each request beyond the slots that its priority may take: an interrupted prompt of 12,000 tokens
  // is read again in about 200 ms, and its answer is late.
  std::chrono::milliseconds crowding_cost{200};
  // Extra cost of a hop for the bytes between regions.
  std::chrono::milliseconds hop_cost{60};
  // Random addition to each expected time, at most. VMs that see the same loads would otherwise all choose
  // the same replica until they hear of each other's choices.
  std::chrono::milliseconds jitter{20};
};

/// Chooses replicas: the one with the least expected time, where a request whose shared prompt parts another
/// replica holds counts the time to read them again. Engines that share a prefix are ordered by rendezvous
/// hashing, so all VMs agree on the owner of a prefix without talking to each other.
class Placer {
 public:
  Placer(std::string own_id, std::string own_region, const PlacerSettings& settings, uint64_t seed)
      : own_id_(std::move(own_id)), own_region_(std::move(own_region)), settings_(settings), random_(seed) {}

  /// Returns no value, with the reason in `code`, when nothing can take the request now.
  std::optional<Placement> Choose(const PlacementQuery& query, const ReplicaRegistry& table,
                                  const HopDirectory& hops, base::TimePoint now, RefusalReason* code);

  /// Time in which an engine reads as many prompt tokens.
  base::Duration EstimatePrefillTime(double tokens) const;

  /// Estimated wait and cost for an ordinary request at the less loaded replicas of the own region; nothing
  /// when there is none.
  std::optional<base::Duration> EstimateRegionWait(const std::string& service, const ReplicaRegistry& table,
                                                   base::TimePoint now) const;

 private:
  base::Duration WaitAt(const OutstandingWork& work, uint32_t slots, const ServiceConfig& service,
                        const ReplicaRegistry& table) const;
  /// Cost of the slots that a further request of `priority` takes from more urgent ones.
  base::Duration CrowdingAt(const OutstandingWork& work, uint32_t slots, const ServiceConfig& service,
                            int priority) const;
  std::optional<Placement> ChooseLocal(const PlacementQuery& query, const ServiceConfig& service,
                                       const ReplicaRegistry& table, const HopDirectory& hops,
                                       base::TimePoint now, RefusalReason* code);

  std::string own_id_;
  std::string own_region_;
  PlacerSettings settings_;
  base::Random random_;
};

}  // namespace cornelplank::serving
