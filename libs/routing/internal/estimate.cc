#include "libs/routing/internal/estimate.h"

#include <algorithm>
#include <cmath>

namespace cornelplank::routing {
namespace {

constexpr double kTokensPerPriceUnit = 1000;
// Slowdown of a new request's prefill by a full batch. It also breaks ties between replicas without a queue.
constexpr double kFullBatchMs = 50;
// Variance of an estimate from a fresh report, in requests squared. Reports are rounded, and own requests
// begin and end while a report is on its way.
constexpr double kMinVariance = 0.1;
// Variance that each arrival or departure since the report adds. Two Poisson processes would give 2. In
// bench/decisions 0.4 is best for zones of two or three nodes and 2 for zones of 14 nodes; 1 is close to the
// best for both.
constexpr double kVariancePerChange = 1;
// The expected excess over a limit of a normal variable with standard deviation s is close to a softplus with
// scale 0.55 s. Beyond 6 scales from the limit the softplus is replaced by its asymptotes.
constexpr double kSoftplusScale = 0.55;
constexpr double kLinearBeyondScales = 6;

}  // namespace

LoadEstimate EstimateLoad(const upstreams::ReplicaLiveState& live, double slots, double mean_load_per_slot,
                          base::TimePoint now, const ScoreOptions& options) {
  const double own = live.InFlight();
  const upstreams::LastReportedLoad load = live.Load();
  const double expected = mean_load_per_slot * slots;
  if (load.measured == base::TimePoint{}) return {own + expected, std::sqrt(expected + kMinVariance)};
  const double reported = static_cast<double>(load.running) + load.queued;
  const double others = std::max(reported - load.own_included, 0.0);
  const double age = std::max(Milliseconds(now - load.measured), 0.0);
  const double half_life = static_cast<double>(options.report_half_life.count());
  const double weight = half_life / (half_life + age);
  const double estimate = weight * others + (1 - weight) * expected;
  // Within one slot time about `estimate` requests arrive and as many end.
  const double changes =
      kVariancePerChange * estimate * std::min(age / static_cast<double>(options.slot_time.count()), 1.0);
  return {own + estimate, std::sqrt(changes + kMinVariance)};
}

double EstimateReplicaWaitMs(double load, double uncertainty, double slots, double slot_ms) {
  const double busy = kFullBatchMs * std::min(load / slots, 1.0);
  const double excess = load + 1 - slots;
  const double scale = uncertainty * kSoftplusScale;
  // Far from the limit the expected excess is the excess itself, or zero.
  if (excess > kLinearBeyondScales * scale) return busy + excess * slot_ms / slots;
  if (excess < -kLinearBeyondScales * scale) return busy;
  return busy + scale * std::log1p(std::exp(excess / scale)) * slot_ms / slots;
}

double RampScore(double load, double ramped_slots, double slots, double slot_ms) {
  if (ramped_slots >= slots) return 0;
  return std::max(load + 1 - ramped_slots, 0.0) * slot_ms / slots;
}

double EstimateZoneWaitMs(double load, double slots, double slot_ms) {
  if (slots <= 0) return slot_ms;
  const double use = load / slots;
  // Sakasegawa's approximation of the mean wait in an M/M/c queue. Beyond a load of 0.98 per slot, where the
  // wait would grow without bound, it is continued linearly.
  const double capped = std::min(use, 0.98);
  const double exponent = std::sqrt(2 * (slots + 1)) - 1;
  const double steady = slot_ms / slots * std::pow(capped, exponent) / (1 - capped);
  return kFullBatchMs * std::min(use, 1.0) + steady + std::max(use - 0.98, 0.0) * slot_ms;
}

const ObjectiveWeights& WeightsOf(const RouteRequest& request, const RoutingSnapshot& snapshot,
                                  const ScoreOptions& options) {
  const PartnerPolicy* policy = snapshot.Policy(request.partner);
  const bool latency = policy != nullptr && policy->objective == config::Objective::kLatency;
  return latency ? options.latency : options.cost;
}

void CompleteScore(const RouteRequest& request, const RoutingSnapshot& snapshot, Index region, double price,
                   const ScoreOptions& options, ScoreBreakdown* breakdown) {
  const PartnerPolicy* policy = snapshot.Policy(request.partner);
  const ObjectiveWeights& weights = WeightsOf(request, snapshot, options);
  const double tokens =
      static_cast<double>(request.prompt_tokens) - breakdown->cached_tokens + request.output_tokens;
  breakdown->price = request.service != kNone ? price : price * std::max(tokens, 0.0) / kTokensPerPriceUnit;
  const Index home = request.home == kNone ? snapshot.OwnRegion() : request.home;
  breakdown->away_score = policy != nullptr && region != home ? policy->away_penalty : 0;
  const double first_token = FirstTokenMs(*breakdown);
  const double late = std::max(first_token - static_cast<double>(options.first_token_target.count()), 0.0);
  if (region == home && breakdown->fills_owner_cache) {
    const double missing =
        std::max(static_cast<double>(request.prefix_tokens) - breakdown->cached_tokens, 0.0);
    const double fill = weights.per_ms * missing * Milliseconds(options.prefill_per_token) +
                        weights.per_cost * missing * price / kTokensPerPriceUnit;
    breakdown->cache_fill_credit = options.cache_fill_credit_share * fill;
  }
  const double suspect = breakdown->suspect ? options.suspect_penalty : 0;
  breakdown->total = weights.per_ms * first_token + weights.per_queue_ms * breakdown->queue_ms +
                     weights.per_late_ms * late + weights.per_cost * breakdown->price;
  breakdown->total += breakdown->away_score + breakdown->ramp_score + breakdown->contention_score + suspect -
                      breakdown->cache_fill_credit;
}

}  // namespace cornelplank::routing
