#include "libs/routing/internal/scored_router.h"

#include <algorithm>
#include <limits>

#include "libs/routing/internal/zone_scan.h"

namespace cornelplank::routing {
namespace {

// Shortest and longest pause after which a waiting class is offered again.
constexpr std::chrono::milliseconds kShortestWait{50};
constexpr std::chrono::milliseconds kLongestWait{2000};
// A waiting request goes ahead this long before its deadline, besides the estimated time to its first token.
constexpr std::chrono::seconds kWaitMargin{5};
constexpr double kUnknownZoneUse = 0.7;

/// One decision in progress.
class Search {
 public:
  Search(const RouteRequest& request, const RoutingSnapshot& world, const ScoreOptions& options,
         base::Random& random)
      : request_(request),
        world_(world),
        options_(options),
        random_(random),
        allowed_(world.Allowed(request)),
        slot_ms_(SlotMs(request, options)) {}

  void OwnZone() {
    if ((allowed_ & RegionBit(world_.OwnRegion())) == 0) {
      ++rejections_.residency;
      return;
    }
    const ZoneScan scan(request_, world_, options_, random_, &rejections_);
    if (scan.Probe()) {
      OfferProbe(*scan.Probe());
      return;
    }
    if (scan.Size() == 0) return;
    // Requests bound to their home can only wait here, so one that may go elsewhere pays for the slot it
    // takes.
    const bool movable = request_.hop_path.MayForward() && (allowed_ & ~RegionBit(world_.OwnRegion())) != 0;
    if (movable) {
      pressure_ = WeightsOf(request_, world_, options_).pressure *
                  ZoneQueue(scan.TotalLoad() + 1, scan.TotalGiven(), slot_ms_);
    }
    ZoneScan::Owners owners{scan.Size(), scan.Size()};
    if (request_.prefix != 0) owners = scan.PrefixOwners(request_.prefix, options_.owner_load_bound);
    if (owners.first < scan.Size()) OfferReplica(scan, owners.first, true);
    // Requests that found the owner busy went to the second one, so the prefix is likely there too.
    if (owners.second < scan.Size()) OfferReplica(scan, owners.second, false);
    const bool wanted = WeightsOf(request_, world_, options_).offer_holder;
    const size_t holder = wanted ? RandomHolder(scan) : scan.Size();
    if (holder < scan.Size() && holder != owners.first && holder != owners.second) {
      OfferReplica(scan, holder, false);
    }
    for (uint32_t i = 0; i < options_.choices; ++i) {
      const size_t position = scan.Pick(random_);
      if (position != owners.first && position != owners.second) OfferReplica(scan, position, false);
    }
  }

  void OtherZones() {
    if (probing_) return;
    for (Index zone = 0; zone < world_.Names().ZoneCount(); ++zone) {
      if (!MayForwardTo(request_, world_, allowed_, zone, &rejections_)) continue;
      const upstreams::ReplicaRecord* able = FindAble(request_, world_, zone, &rejections_);
      if (able != nullptr) OfferZone(zone, *able);
    }
  }

  std::optional<RouteDecision> Finish(RouteReason* reason) {
    if (considered_ == 0) return Refuse(reason, CodeOf(rejections_, request_, world_), base::Duration{0});
    best_.breakdown.scored_candidates = considered_;
    best_.breakdown.rejections = rejections_;
    const double first_token = FirstToken(best_.breakdown);
    best_.first_token =
        std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(first_token));
    best_.cost = best_.breakdown.price;
    if (probing_) return best_;
    if (first_token > time_left_)
      return Refuse(reason, RouteCode::kDeadline, Pause(best_.breakdown.queue_ms));
    const double margin = Milliseconds(kWaitMargin);
    if (request_.may_wait && !best_spare_ && time_left_ > first_token + margin) {
      return Refuse(reason, RouteCode::kWaitForSpare,
                    Pause(std::min(best_.breakdown.queue_ms, time_left_ - first_token - margin)));
    }
    return best_;
  }

 private:
  static base::Duration Pause(double milliseconds) {
    const auto pause = std::chrono::duration<double, std::milli>(milliseconds);
    return std::clamp<base::Duration>(std::chrono::duration_cast<base::Duration>(pause), kShortestWait,
                                      kLongestWait);
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

  /// Milliseconds until the deadline; infinite when there is none.
  double TimeLeft() const {
    if (request_.deadline == base::TimePoint::max()) return std::numeric_limits<double>::infinity();
    return Milliseconds(request_.deadline - request_.now);
  }

  void Offer(const RouteDecision& decision, bool spare) {
    ++considered_;
    const bool in_time = FirstToken(decision.breakdown) <= time_left_;
    if (considered_ > 1) {
      // A target that meets the deadline beats a cheaper one that misses it.
      const bool best_in_time = FirstToken(best_.breakdown) <= time_left_;
      if (best_in_time && !in_time) return;
      if (best_in_time == in_time && decision.breakdown.total >= best_.breakdown.total) return;
    }
    best_ = decision;
    best_spare_ = spare;
  }

  double Prefill(uint32_t cached_tokens) const {
    const uint32_t missing = request_.prompt_tokens - std::min(cached_tokens, request_.prompt_tokens);
    return missing * Milliseconds(options_.prefill_per_token);
  }

  uint32_t CachedTokens(const ZoneScan& scan, size_t position, bool owner) const {
    // Beyond the load bound a cached prefix doesn't count, so that a hot prefix spreads.
    if (request_.prefix == 0 || !scan.IsWithin(options_.owner_load_bound, position)) return 0;
    const upstreams::ReplicaLiveState& cell = *world_.Replicas().Replicas()[scan.At(position).replica].live;
    const upstreams::PrefixCacheSummary* cache = cell.Cache();
    const uint32_t known = cache == nullptr ? 0 : cache->Tokens(request_.prefix);
    if (known > 0) return std::min(known, request_.prefix_tokens);
    const bool complete = cache != nullptr && cache->Complete();
    return owner && !complete ? static_cast<uint32_t>(request_.prefix_tokens * options_.unknown_owner_share)
                              : 0;
  }

  /// Position of a random candidate that is known to hold the prefix, by its given slots; `Size()` when there
  /// is none. The least loaded one would be the same for all nodes that share a report.
  size_t RandomHolder(const ZoneScan& scan) const {
    size_t holder = scan.Size();
    if (request_.prefix == 0) return holder;
    double total = 0;
    for (size_t i = 0; i < scan.Size(); ++i) {
      const ZoneScan::Candidate& candidate = scan.At(i);
      const auto* cache = world_.Replicas().Replicas()[candidate.replica].live->Cache();
      if (cache == nullptr || cache->Tokens(request_.prefix) == 0) continue;
      total += candidate.given;
      if (random_.Unit() * total < candidate.given) holder = i;
    }
    return holder;
  }

  void OfferReplica(const ZoneScan& scan, size_t position, bool owner) {
    const ZoneScan::Candidate& candidate = scan.At(position);
    const upstreams::ReplicaRecord& replica = world_.Replicas().Replicas()[candidate.replica];
    const bool borrowed = replica.partner != request_.partner;
    // A suspect replica looks idle because its requests fail.
    const bool spare = !scan.OnlySuspects() && candidate.load + 1 <= candidate.given * options_.spare_share;
    RouteDecision decision = OwnZoneDecision(candidate.replica);
    decision.breakdown.queue_ms =
        ReplicaQueue(candidate.load, candidate.uncertainty, candidate.slots, slot_ms_);
    decision.breakdown.cached_tokens = CachedTokens(scan, position, owner);
    decision.breakdown.prefill_ms = Prefill(decision.breakdown.cached_tokens);
    decision.breakdown.prefix_owner = owner;
    decision.breakdown.fills_owner_cache = owner;
    decision.breakdown.borrowed = borrowed;
    decision.breakdown.suspect = scan.OnlySuspects();
    decision.breakdown.ramp_score = RampPenalty(candidate.load, candidate.given, candidate.slots, slot_ms_);
    decision.breakdown.contention_score = pressure_;
    AddScore(request_, world_, world_.OwnRegion(), replica.price, options_, &decision.breakdown);
    Offer(decision, spare);
  }

  RouteDecision OwnZoneDecision(uint32_t replica) const {
    RouteDecision decision;
    decision.target = RouteTarget::kUpstream;
    decision.upstream = replica;
    decision.zone = world_.OwnZone();
    decision.region = world_.OwnRegion();
    return decision;
  }

  void OfferProbe(uint32_t index) {
    const upstreams::ReplicaRecord& replica = world_.Replicas().Replicas()[index];
    RouteDecision decision = OwnZoneDecision(index);
    decision.breakdown.probe = true;
    decision.breakdown.borrowed = replica.partner != request_.partner;
    decision.breakdown.prefill_ms = Prefill(0);
    AddScore(request_, world_, world_.OwnRegion(), replica.price, options_, &decision.breakdown);
    Offer(decision, true);
    probing_ = true;
  }

  double ZoneLoad(const upstreams::ZoneLiveState& cell, const upstreams::ZoneLoadSum& sum,
                  double slots) const {
    // The sums and the forwards in flight are about engines, which services don't share.
    if (request_.service != kNone) return kUnknownZoneUse * slots;
    const double own = cell.InFlight();
    if (sum.measured == base::TimePoint{}) return own + kUnknownZoneUse * slots;
    const double age = std::max(Milliseconds(request_.now - sum.measured), 0.0);
    const double half_life = static_cast<double>(options_.sum_half_life.count());
    const double weight = half_life / (half_life + age);
    const double reported = static_cast<double>(sum.running) + sum.queued;
    // Other nodes of the region see the same sums and forward as this one does.
    const double since = (own - sum.own_included) * world_.Node().nodes_in_region;
    return std::max(weight * reported + (1 - weight) * kUnknownZoneUse * slots + since, own);
  }

  void OfferZone(Index zone, const upstreams::ReplicaRecord& able) {
    const upstreams::ZoneLiveState& cell = *world_.Replicas().ZoneState(zone);
    const upstreams::ZoneLoadSum sum = cell.Sum();
    const ZoneCapacity& offer = world_.Capacity(zone, request_.model, request_.service, able.partner);
    const bool use_offer = request_.service != kNone || sum.measured == base::TimePoint{};
    const double slots = use_offer ? std::max(offer.slots, 1U) : sum.slots;
    const double load = ZoneLoad(cell, sum, slots);
    const bool borrowed = able.partner != request_.partner;
    if (borrowed && load + 1 > slots) {
      ++rejections_.share;
      return;
    }
    RouteDecision decision;
    decision.target = RouteTarget::kZone;
    decision.zone = zone;
    decision.region = world_.Region(zone);
    ScoreBreakdown& terms = decision.breakdown;
    if (world_.NeedsLink(zone)) {
      const base::Duration delay = world_.Links().Delay(decision.region, request_.request_bytes,
                                                        request_.response_bytes, request_.now);
      if (delay == base::Duration::max()) {
        ++rejections_.unreachable;
        return;
      }
      terms.link_ms = Milliseconds(delay);
    }
    terms.queue_ms = options_.zone_queue_margin * ZoneQueue(load, slots, slot_ms_);
    terms.round_trip_ms = 2 * Milliseconds(*world_.OneWayTime(zone));
    terms.prefill_ms = Prefill(0);
    terms.borrowed = borrowed;
    terms.fills_owner_cache = request_.prefix != 0;
    AddScore(request_, world_, decision.region, offer.slots > 0 ? offer.price : able.price, options_, &terms);
    Offer(decision, load + 1 <= slots * options_.spare_share);
  }

  const RouteRequest& request_;
  const RoutingSnapshot& world_;
  const ScoreOptions& options_;
  base::Random& random_;
  RegionMask allowed_;
  double slot_ms_;
  double time_left_ = TimeLeft();
  Rejections rejections_;
  RouteDecision best_;
  uint32_t considered_ = 0;
  double pressure_ = 0;
  bool best_spare_ = false;
  bool probing_ = false;
};

}  // namespace

std::optional<RouteDecision> ScoredRouter::Choose(const RouteRequest& request, const RoutingSnapshot& world,
                                                  base::Random& random, RouteReason* reason) const {
  if (const auto refused = RefuseAtEntry(request, world)) {
    if (reason != nullptr) {
      *reason = RouteReason{};
      reason->code = *refused;
    }
    return std::nullopt;
  }
  Search search(request, world, options_, random);
  search.OwnZone();
  search.OtherZones();
  return search.Finish(reason);
}

}  // namespace cornelplank::routing
