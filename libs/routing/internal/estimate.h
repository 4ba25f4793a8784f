#pragma once

#include "libs/routing/internal/decision.h"
#include "libs/routing/internal/request.h"
#include "libs/routing/internal/routing_snapshot.h"

namespace cornelplank::routing {

/// Weights of one objective (`cost` or `latency`). One score unit equals one millisecond to the first token
/// under `latency`.
struct ObjectiveWeights {
  double per_ms = 1;        // score units per millisecond to the first token
  double per_cost = 0;      // score units per cost unit
  double per_queue_ms = 0;  // more per millisecond of expected queue wait, because waits have a long tail
  double per_late_ms = 0;   // more per millisecond beyond `ScoreOptions::first_token_target`
  double per_contention_ms =
      0;  // per millisecond of the own zone's mean wait, for requests that may run in other regions
  /// Whether a random replica that has the prefix cached is a candidate besides the two owners of the prefix.
  /// This saves prefill time but lengthens the queues of popular replicas.
  bool consider_cache_holder = false;
};

/// Parameters of the scored router.
struct ScoreOptions {
  ObjectiveWeights cost{0.2, 1000, 2, 5, 0.25, true};
  ObjectiveWeights latency{1, 50, 4, 2, 0.25, false};
  /// The p95 target of the time to the first token; `per_late_ms` applies beyond it.
  std::chrono::milliseconds first_token_target{1400};
  /// Time that a completion holds its slot: 232 output tokens at 62 ms each.
  std::chrono::milliseconds slot_time{14400};
  /// Time that a call of a plain service holds its slot.
  std::chrono::milliseconds call_time{50};
  /// Prefill time of one prompt token that is not cached.
  std::chrono::nanoseconds prefill_per_token{100000};
  /// Age at which a load report counts half; the zone's mean load makes up the rest.
  std::chrono::milliseconds report_half_life{2000};
  /// Age at which the load sum of another zone counts half; an assumed load makes up the rest.
  std::chrono::milliseconds zone_sum_half_life{10000};
  /// Share of the prefix tokens assumed to be cached at the prefix owner when its cache contents are unknown.
  double assumed_cached_share = 0.5;
  /// Score units for a suspect replica. A failed attempt costs a retry, so another zone is preferred.
  double suspect_penalty = 5000;
  /// Share of the time and price of filling the prefix owner's cache in the home region that is credited to
  /// the score, because later requests save it.
  double cache_fill_credit_share = 0.5;
  /// Factor on the estimated wait in another zone. Its load is known less recently than the own zone's, and
  /// when every zone is overloaded, exchanging requests between zones gains nothing.
  double zone_wait_factor = 1.5;
  /// Random candidates of the own zone that are scored besides the prefix owners.
  uint32_t random_choices = 4;
  /// A prefix owner is used only up to this multiple of the zone's mean load per slot.
  double owner_load_bound = 1.25;
  /// Priority classes that may wait use a replica or zone only up to this share of its slots.
  double spare_share = 0.8;
};

/// An estimated load and its standard deviation, both in requests.
struct LoadEstimate {
  double load = 0;
  double uncertainty = 0;
};

/// Returns the time in milliseconds that the request is expected to hold its slot.
inline double SlotMs(const RouteRequest& request, const ScoreOptions& options) {
  const auto time = request.service != kNone ? options.call_time : options.slot_time;
  return static_cast<double>(time.count());
}

/// Estimates the load of a replica: own requests in flight plus the requests of other nodes by its last load
/// report. The older the report, the more the zone's `mean_load_per_slot` replaces it; without a report the
/// mean stands for it entirely.
LoadEstimate EstimateLoad(const upstreams::ReplicaLiveState& live, double slots, double mean_load_per_slot,
                          base::TimePoint now, const ScoreOptions& options);

/// Returns the expected time in milliseconds until a new request gets a slot at a replica with `slots` slots.
/// `uncertainty` is the standard deviation of `load`; it gives a nearly full replica a wait before it is
/// full.
double EstimateReplicaWaitMs(double load, double uncertainty, double slots, double slot_ms);

/// Returns the score units for using more than the `ramped_slots` that the ramp of a replica allows. This is
/// a penalty and not a wait, because the slots exist: a request without a better target still gets one.
double RampScore(double load, double ramped_slots, double slots, double slot_ms);

/// Returns the expected time in milliseconds until a new request gets a slot somewhere in a zone with `slots`
/// slots. Requests wait before every slot of the zone is taken.
double EstimateZoneWaitMs(double load, double slots, double slot_ms);

/// Returns the weights of the partner's objective, or of `cost` for an unknown partner.
const ObjectiveWeights& WeightsOf(const RouteRequest& request, const RoutingSnapshot& snapshot,
                                  const ScoreOptions& options);

/// Fills in the price, the penalties and credits that depend on `region`, and the total of `breakdown`, whose
/// times and flags must be set. `price` is in cost units per 1,000 tokens, or per call of a service.
void CompleteScore(const RouteRequest& request, const RoutingSnapshot& snapshot, Index region, double price,
                   const ScoreOptions& options, ScoreBreakdown* breakdown);

/// Returns the estimated time to the first token in milliseconds.
inline double FirstTokenMs(const ScoreBreakdown& breakdown) {
  return breakdown.queue_ms + breakdown.prefill_ms + breakdown.round_trip_ms + breakdown.link_ms;
}

inline double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace cornelplank::routing
