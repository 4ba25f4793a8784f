#include "libs/routing/internal/scored_router.h"

#include <algorithm>
#include <limits>

#include "libs/routing/internal/zone_scan.h"

namespace cornelplank::routing {
namespace {

// Bounds of the time after which a refused request may be tried again.
constexpr std::chrono::milliseconds kMinRetryAfter{50};
constexpr std::chrono::milliseconds kMaxRetryAfter{2000};
// A request that waits for spare capacity stops waiting when this time plus the estimated time to its first
// token is left until its deadline.
constexpr std::chrono::seconds kDeadlineMargin{5};
// Load per slot assumed for a zone whose load is not known.
constexpr double kAssumedLoadPerSlot = 0.7;

/// Finds the best target for one request.
class Search {
 public:
  Search(const RouteRequest& request, const RoutingSnapshot& snapshot, const ScoreOptions& options,
         base::Random& random)
      : request_(request),
        snapshot_(snapshot),
        options_(options),
        random_(random),
        allowed_(snapshot.Allowed(request)),
        slot_ms_(SlotMs(request, options)) {}

  void ConsiderOwnZone() {
    if ((allowed_ & RegionBit(snapshot_.OwnRegion())) == 0) {
      ++rejections_.residency;
      return;
    }
    const ZoneScan scan(request_, snapshot_, options_, random_, &rejections_);
    if (scan.Probe()) {
      ConsiderProbe(*scan.Probe());
      return;
    }
    if (scan.Size() == 0) return;
    // Requests that must stay in this region can only wait here, so a request that may run elsewhere is
    // charged for the slot that it takes from them.
    const bool movable =
        request_.hop_path.MayForward() && (allowed_ & ~RegionBit(snapshot_.OwnRegion())) != 0;
    if (movable) {
      contention_score_ = WeightsOf(request_, snapshot_, options_).per_contention_ms *
                          EstimateZoneWaitMs(scan.TotalLoad() + 1, scan.TotalRampedSlots(), slot_ms_);
    }
    ZoneScan::Owners owners{scan.Size(), scan.Size()};
    if (request_.prefix != 0) owners = scan.FindPrefixOwners(request_.prefix, options_.owner_load_bound);
    if (owners.first < scan.Size()) ConsiderReplica(scan, owners.first, true);
    // Requests that found the first owner busy went to the second, so the prefix is likely cached there too.
    if (owners.second < scan.Size()) ConsiderReplica(scan, owners.second, false);
    const bool wanted = WeightsOf(request_, snapshot_, options_).consider_cache_holder;
    const size_t holder = wanted ? PickCacheHolder(scan) : scan.Size();
    if (holder < scan.Size() && holder != owners.first && holder != owners.second) {
      ConsiderReplica(scan, holder, false);
    }
    for (uint32_t i = 0; i < options_.random_choices; ++i) {
      const size_t position = scan.PickWeighted(random_);
      if (position != owners.first && position != owners.second) ConsiderReplica(scan, position, false);
    }
  }

  void ConsiderOtherZones() {
    if (probing_) return;
    for (Index zone = 0; zone < snapshot_.Names().ZoneCount(); ++zone) {
      if (!MayForwardTo(request_, snapshot_, allowed_, zone, &rejections_)) continue;
      const upstreams::ReplicaRecord* servable = FindServingReplica(request_, snapshot_, zone, &rejections_);
      if (servable != nullptr) ConsiderZone(zone, *servable);
    }
  }

  std::optional<RouteDecision> Finish(RouteReason* reason) {
    if (scored_ == 0) return Refuse(reason, RefusalCode(rejections_, request_, snapshot_), base::Duration{0});
    best_.breakdown.scored_candidates = scored_;
    best_.breakdown.rejections = rejections_;
    const double first_ms = FirstTokenMs(best_.breakdown);
    best_.first_token =
        std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(first_ms));
    best_.cost = best_.breakdown.price;
    if (probing_) return best_;
    if (first_ms > time_left_ms_) {
      return Refuse(reason, RouteCode::kDeadline, RetryAfter(best_.breakdown.queue_ms));
    }
    const double margin = Milliseconds(kDeadlineMargin);
    if (request_.may_wait && !best_spare_ && time_left_ms_ > first_ms + margin) {
      return Refuse(reason, RouteCode::kWaitForSpare,
                    RetryAfter(std::min(best_.breakdown.queue_ms, time_left_ms_ - first_ms - margin)));
    }
    return best_;
  }

 private:
  static base::Duration RetryAfter(double milliseconds) {
    const auto pause = std::chrono::duration<double, std::milli>(milliseconds);
    return std::clamp<base::Duration>(std::chrono::duration_cast<base::Duration>(pause), kMinRetryAfter,
                                      kMaxRetryAfter);
  }

  std::optional<RouteDecision> Refuse(RouteReason* reason, RouteCode code, base::Duration retry_after) {
    if (reason != nullptr) {
      reason->code = code;
      reason->detail.clear();
      reason->retry_after = retry_after;
      reason->rejections = rejections_;
    }
    return std::nullopt;
  }

  /// Returns the milliseconds until the deadline; infinity when there is none.
  double TimeLeftMs() const {
    if (request_.deadline == base::TimePoint::max()) return std::numeric_limits<double>::infinity();
    return Milliseconds(request_.deadline - request_.now);
  }

  void Consider(const RouteDecision& decision, bool spare) {
    ++scored_;
    const bool in_time = FirstTokenMs(decision.breakdown) <= time_left_ms_;
    if (scored_ > 1) {
      // A target that meets the deadline beats a cheaper one that misses it.
      const bool best_in_time = FirstTokenMs(best_.breakdown) <= time_left_ms_;
      if (best_in_time && !in_time) return;
      if (best_in_time == in_time && decision.breakdown.total >= best_.breakdown.total) return;
    }
    best_ = decision;
    best_spare_ = spare;
  }

  double PrefillMs(uint32_t cached_tokens) const {
    const uint32_t missing = request_.prompt_tokens - std::min(cached_tokens, request_.prompt_tokens);
    return missing * Milliseconds(options_.prefill_per_token);
  }

  uint32_t CachedTokens(const ZoneScan& scan, size_t position, bool owner) const {
    // Beyond the load bound a cached prefix gives no advantage, so that a popular prefix spreads to more
    // replicas.
    if (request_.prefix == 0 || !scan.IsWithinLoadBound(options_.owner_load_bound, position)) return 0;
    const upstreams::ReplicaLiveState& live =
        *snapshot_.Upstreams().Replicas()[scan.At(position).replica].live;
    const upstreams::PrefixCacheSummary* cache = live.Cache();
    const uint32_t known = cache == nullptr ? 0 : cache->Tokens(request_.prefix);
    if (known > 0) return std::min(known, request_.prefix_tokens);
    const bool complete = cache != nullptr && cache->Complete();
    return owner && !complete ? static_cast<uint32_t>(request_.prefix_tokens * options_.assumed_cached_share)
                              : 0;
  }

  /// Returns the position of a random candidate that is known to have the prefix cached, weighted by ramped
  /// slots; `Size()` when there is none. The choice is random because all nodes with the same load reports
  /// would find the same least loaded one.
  size_t PickCacheHolder(const ZoneScan& scan) const {
    size_t holder = scan.Size();
    if (request_.prefix == 0) return holder;
    double total = 0;
    for (size_t i = 0; i < scan.Size(); ++i) {
      const ZoneScan::Candidate& candidate = scan.At(i);
      const auto* cache = snapshot_.Upstreams().Replicas()[candidate.replica].live->Cache();
      if (cache == nullptr || cache->Tokens(request_.prefix) == 0) continue;
      total += candidate.ramped_slots;
      if (random_.Unit() * total < candidate.ramped_slots) holder = i;
    }
    return holder;
  }

  void ConsiderReplica(const ZoneScan& scan, size_t position, bool owner) {
    const ZoneScan::Candidate& candidate = scan.At(position);
    const upstreams::ReplicaRecord& replica = snapshot_.Upstreams().Replicas()[candidate.replica];
    const bool borrowed = replica.partner != request_.partner;
    // A suspect replica may look idle only because its requests fail, so it never counts as spare.
    const bool spare =
        !scan.OnlySuspects() && candidate.load + 1 <= candidate.ramped_slots * options_.spare_share;
    RouteDecision decision = OwnZoneDecision(candidate.replica);
    decision.breakdown.queue_ms =
        EstimateReplicaWaitMs(candidate.load, candidate.uncertainty, candidate.slots, slot_ms_);
    decision.breakdown.cached_tokens = CachedTokens(scan, position, owner);
    decision.breakdown.prefill_ms = PrefillMs(decision.breakdown.cached_tokens);
    decision.breakdown.prefix_owner = owner;
    decision.breakdown.fills_owner_cache = owner;
    decision.breakdown.borrowed = borrowed;
    decision.breakdown.suspect = scan.OnlySuspects();
    decision.breakdown.ramp_score =
        RampScore(candidate.load, candidate.ramped_slots, candidate.slots, slot_ms_);
    decision.breakdown.contention_score = contention_score_;
    CompleteScore(request_, snapshot_, snapshot_.OwnRegion(), replica.price, options_, &decision.breakdown);
    Consider(decision, spare);
  }

  RouteDecision OwnZoneDecision(uint32_t replica) const {
    RouteDecision decision;
    decision.target = RouteTarget::kUpstream;
    decision.upstream = replica;
    decision.zone = snapshot_.OwnZone();
    decision.region = snapshot_.OwnRegion();
    return decision;
  }

  void ConsiderProbe(uint32_t index) {
    const upstreams::ReplicaRecord& replica = snapshot_.Upstreams().Replicas()[index];
    RouteDecision decision = OwnZoneDecision(index);
    decision.breakdown.probe = true;
    decision.breakdown.borrowed = replica.partner != request_.partner;
    decision.breakdown.prefill_ms = PrefillMs(0);
    CompleteScore(request_, snapshot_, snapshot_.OwnRegion(), replica.price, options_, &decision.breakdown);
    Consider(decision, true);
    probing_ = true;
  }

  double EstimateZoneLoad(const upstreams::ZoneLiveState& zone_state,
                          const upstreams::LastReportedZoneLoad& sum, double slots) const {
    // Load sums and forwards in flight count engine requests, which say nothing about services.
    if (request_.service != kNone) return kAssumedLoadPerSlot * slots;
    const double own = zone_state.InFlight();
    if (sum.measured == base::TimePoint{}) return own + kAssumedLoadPerSlot * slots;
    const double age = std::max(Milliseconds(request_.now - sum.measured), 0.0);
    const double half_life = static_cast<double>(options_.zone_sum_half_life.count());
    const double weight = half_life / (half_life + age);
    const double reported = static_cast<double>(sum.running) + sum.queued;
    // Other nodes of the region act on the same sum, so they have likely forwarded as many requests since.
    const double since = (own - sum.own_included) * snapshot_.Node().nodes_in_region;
    return std::max(weight * reported + (1 - weight) * kAssumedLoadPerSlot * slots + since, own);
  }

  void ConsiderZone(Index zone, const upstreams::ReplicaRecord& servable) {
    const upstreams::ZoneLiveState& zone_state = *snapshot_.Upstreams().ZoneState(zone);
    const upstreams::LastReportedZoneLoad sum = zone_state.Sum();
    const ZoneCapacity& capacity =
        snapshot_.Capacity(zone, request_.model, request_.service, servable.partner);
    const bool use_capacity = request_.service != kNone || sum.measured == base::TimePoint{};
    const double slots = use_capacity ? std::max(capacity.slots, 1U) : sum.slots;
    const double load = EstimateZoneLoad(zone_state, sum, slots);
    const bool borrowed = servable.partner != request_.partner;
    if (borrowed && load + 1 > slots) {
      ++rejections_.share;
      return;
    }
    RouteDecision decision;
    decision.target = RouteTarget::kZone;
    decision.zone = zone;
    decision.region = snapshot_.Region(zone);
    ScoreBreakdown& breakdown = decision.breakdown;
    if (snapshot_.NeedsLink(zone)) {
      const base::Duration delay = snapshot_.Links().Delay(decision.region, request_.request_bytes,
                                                           request_.response_bytes, request_.now);
      if (delay == base::Duration::max()) {
        ++rejections_.unreachable;
        return;
      }
      breakdown.link_ms = Milliseconds(delay);
    }
    breakdown.queue_ms = options_.zone_wait_factor * EstimateZoneWaitMs(load, slots, slot_ms_);
    breakdown.round_trip_ms = 2 * Milliseconds(*snapshot_.OneWayTime(zone));
    breakdown.prefill_ms = PrefillMs(0);
    breakdown.borrowed = borrowed;
    breakdown.fills_owner_cache = request_.prefix != 0;
    CompleteScore(request_, snapshot_, decision.region, capacity.slots > 0 ? capacity.price : servable.price,
                  options_, &breakdown);
    Consider(decision, load + 1 <= slots * options_.spare_share);
  }

  const RouteRequest& request_;
  const RoutingSnapshot& snapshot_;
  const ScoreOptions& options_;
  base::Random& random_;
  RegionMask allowed_;
  double slot_ms_;
  double time_left_ms_ = TimeLeftMs();
  Rejections rejections_;
  RouteDecision best_;
  uint32_t scored_ = 0;
  double contention_score_ = 0;
  bool best_spare_ = false;
  bool probing_ = false;
};

}  // namespace

std::optional<RouteDecision> ScoredRouter::Choose(const RouteRequest& request,
                                                  const RoutingSnapshot& snapshot, base::Random& random,
                                                  RouteReason* reason) const {
  if (const auto refused = FindEntryRefusal(request, snapshot)) {
    if (reason != nullptr) {
      *reason = RouteReason{};
      reason->code = *refused;
    }
    return std::nullopt;
  }
  Search search(request, snapshot, options_, random);
  search.ConsiderOwnZone();
  search.ConsiderOtherZones();
  return search.Finish(reason);
}

}  // namespace cornelplank::routing
