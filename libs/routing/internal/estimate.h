#pragma once

#include "libs/routing/internal/decision.h"
#include "libs/routing/internal/request.h"
#include "libs/routing/internal/routing_snapshot.h"

namespace cornelplank::routing {

/// Weights of one objective. A score unit is worth one millisecond of first token under `latency`.
struct ObjectiveWeights {
  double per_ms = 1;    // score units per millisecond to the first token
  double per_cost = 0;  // score units per cost unit
  double queue = 0;     // further score units per millisecond of expected queue, whose tail is long
  double late = 0;      // further score units per millisecond beyond the first-token target
  double pressure =
      0;  // score units per millisecond of the own zone's mean wait, for requests that may go elsewhere
  /// Whether a random replica that holds the prefix is a candidate besides the two owners. It saves prefill
  /// and lengthens the queues of popular replicas.
  bool offer_holder = false;
};

struct ScoreOptions {
  ObjectiveWeights cost{0.2, 1000, 2, 5, 0.25, true};
  ObjectiveWeights latency{1, 50, 4, 2, 0.25, false};
  /// The p95 target of the first token; the `late` weight applies beyond it.
  std::chrono::milliseconds target{1400};
  /// Time that a request holds its slot: 232 tokens at 62 ms.
  std::chrono::milliseconds slot_time{14400};
  /// The same for a call of a plain service.
  std::chrono::milliseconds call_time{50};
  /// Prefill time of one prompt token that is not cached.
  std::chrono::nanoseconds prefill_per_token{100000};
  /// A report of this age counts half; the rest is the mean of the zone.
  std::chrono::milliseconds report_half_life{2000};
  std::chrono::milliseconds sum_half_life{10000};
  /// Tokens that the prefix owner is taken to have cached when its cache is not known.
  double unknown_owner_share = 0.5;
  /// Score units for a suspect replica: a failed try costs a retry, and another zone is better than that.
  double suspect_penalty = 5000;
  /// Share of the time and price of filling the prefix owner's cache at home that later requests get back.
  double reuse_share = 0.5;
  /// Factor on the queue of another zone. Its sums are older than the own view, and when every zone is
  /// overloaded, swapping requests between zones gains nothing.
  double zone_queue_margin = 1.5;
  uint32_t choices = 4;
  double owner_load_bound = 1.25;
  /// Classes that wait take a replica or zone only below this share of its slots.
  double spare_share = 0.8;
};

/// A load in requests with the standard deviation of the estimate.
struct LoadEstimate {
  double load = 0;
  double uncertainty = 0;
};

/// Time in milliseconds that the request holds its slot.
inline double SlotMs(const RouteRequest& request, const ScoreOptions& options) {
  const auto time = request.service != kNone ? options.call_time : options.slot_time;
  return static_cast<double>(time.count());
}

/// Load of a replica in requests: own requests, and the ones of other nodes by the report, which counts less
/// the older it is. `mean_share` is the zone's mean load per slot and stands in for what is not known.
LoadEstimate EstimateLoad(const upstreams::ReplicaLiveState& cell, double slots, double mean_share,
                          base::TimePoint now, const ScoreOptions& options);

/// Expected time in milliseconds until a new request gets a slot at a replica with `slots` slots. An
/// uncertain load makes a nearly full replica cost something before it is full.
double ReplicaQueue(double load, double uncertainty, double slots, double slot_ms);

/// Score units for using more than the `given` slots of a replica that ramps up. The slots exist, so this is
/// no wait: a request that has no better place still gets one.
double RampPenalty(double load, double given, double slots, double slot_ms);

/// The wait of `ReplicaQueue` for a whole zone, which is busy before every slot is taken.
double ZoneQueue(double load, double slots, double slot_ms);

/// Weights of the partner's objective; of `cost` for an unknown partner.
const ObjectiveWeights& WeightsOf(const RouteRequest& request, const RoutingSnapshot& world,
                                  const ScoreOptions& options);

/// Completes `terms` with the price and the weighted total.
void AddScore(const RouteRequest& request, const RoutingSnapshot& world, Index region, double price,
              const ScoreOptions& options, ScoreBreakdown* terms);

/// Estimated time to the first token, in milliseconds.
inline double FirstToken(const ScoreBreakdown& terms) {
  return terms.queue_ms + terms.prefill_ms + terms.round_trip_ms + terms.link_ms;
}

inline double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace cornelplank::routing
