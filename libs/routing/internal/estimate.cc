#include "libs/routing/internal/estimate.h"

#include <algorithm>
#include <cmath>

namespace cornelplank::routing {
namespace {

constexpr double kTokensPerPrice = 1000;
// A batch that is nearly full slows the prefill of a new request; also breaks ties between idle replicas.
constexpr double kBusyMs = 50;
// Variance of the best estimate, in requests squared: reports round and cross with own requests.
constexpr double kLeastVariance = 0.1;
// Variance of the changes since a report, per change. Two Poisson processes would give 2; 0.4 is best for
// zones of two or three nodes and 2 for zones of 14 in bench/decisions, where 1 is close to the best of both.
constexpr double kChangeShare = 1;
// The expected excess of a normal variable with deviation s is close to a softplus of scale 0.55 s.
constexpr double kSoftplusScale = 0.55;
constexpr double kFarFromBend = 6;

}  // namespace

LoadEstimate EstimateLoad(const upstreams::ReplicaLiveState& cell, double slots, double mean_share,
                          base::TimePoint now, const ScoreOptions& options) {
  const double own = cell.InFlight();
  const upstreams::LastReportedLoad load = cell.Load();
  const double expected = mean_share * slots;
  if (load.measured == base::TimePoint{}) return {own + expected, std::sqrt(expected + kLeastVariance)};
  const double reported = static_cast<double>(load.running) + load.queued;
  const double others = std::max(reported - load.own_included, 0.0);
  const double age = std::max(Milliseconds(now - load.measured), 0.0);
  const double half_life = static_cast<double>(options.report_half_life.count());
  const double weight = half_life / (half_life + age);
  const double estimate = weight * others + (1 - weight) * expected;
  // Arrivals and departures since the report are each about `estimate` per slot time.
  const double changes =
      kChangeShare * estimate * std::min(age / static_cast<double>(options.slot_time.count()), 1.0);
  return {own + estimate, std::sqrt(changes + kLeastVariance)};
}

double ReplicaQueue(double load, double uncertainty, double slots, double slot_ms) {
  const double busy = kBusyMs * std::min(load / slots, 1.0);
  const double excess = load + 1 - slots;
  const double scale = uncertainty * kSoftplusScale;
  // Far from the bend the expected excess is the excess itself, or nothing.
  if (excess > kFarFromBend * scale) return busy + excess * slot_ms / slots;
  if (excess < -kFarFromBend * scale) return busy;
  return busy + scale * std::log1p(std::exp(excess / scale)) * slot_ms / slots;
}

double RampPenalty(double load, double given, double slots, double slot_ms) {
  if (given >= slots) return 0;
  return std::max(load + 1 - given, 0.0) * slot_ms / slots;
}

double ZoneQueue(double load, double slots, double slot_ms) {
  if (slots <= 0) return slot_ms;
  const double use = load / slots;
  // Sakasegawa's approximation of the mean wait of a queue with many servers, continued linearly where the
  // queue would grow without bound.
  const double capped = std::min(use, 0.98);
  const double exponent = std::sqrt(2 * (slots + 1)) - 1;
  const double steady = slot_ms / slots * std::pow(capped, exponent) / (1 - capped);
  return kBusyMs * std::min(use, 1.0) + steady + std::max(use - 0.98, 0.0) * slot_ms;
}

const ObjectiveWeights& WeightsOf(const RouteRequest& request, const RoutingSnapshot& world,
                                  const ScoreOptions& options) {
  const PartnerPolicy* policy = world.Policy(request.partner);
  const bool latency = policy != nullptr && policy->objective == config::Objective::kLatency;
  return latency ? options.latency : options.cost;
}

void AddScore(const RouteRequest& request, const RoutingSnapshot& world, Index region, double price,
              const ScoreOptions& options, ScoreBreakdown* terms) {
  const PartnerPolicy* policy = world.Policy(request.partner);
  const ObjectiveWeights& weights = WeightsOf(request, world, options);
  const double tokens =
      static_cast<double>(request.prompt_tokens) - terms->cached_tokens + request.output_tokens;
  terms->price = request.service != kNone ? price : price * std::max(tokens, 0.0) / kTokensPerPrice;
  const Index home = request.home == kNone ? world.OwnRegion() : request.home;
  terms->away_score = policy != nullptr && region != home ? policy->away_penalty : 0;
  const double first_token = FirstToken(*terms);
  const double late = std::max(first_token - static_cast<double>(options.target.count()), 0.0);
  if (region == home && terms->fills_owner_cache) {
    const double missing = std::max(static_cast<double>(request.prefix_tokens) - terms->cached_tokens, 0.0);
    const double fill = weights.per_ms * missing * Milliseconds(options.prefill_per_token) +
                        weights.per_cost * missing * price / kTokensPerPrice;
    terms->cache_fill_credit = options.reuse_share * fill;
  }
  const double suspect = terms->suspect ? options.suspect_penalty : 0;
  terms->total = weights.per_ms * first_token + weights.queue * terms->queue_ms + weights.late * late +
                 weights.per_cost * terms->price;
  terms->total +=
      terms->away_score + terms->ramp_score + terms->contention_score + suspect - terms->cache_fill_credit;
}

}  // namespace cornelplank::routing
