#include "libs/routing/internal/naive_router.h"

#include "libs/routing/internal/eligibility.h"

namespace cornelplank::routing {
namespace {

struct LeastLoaded {
  const upstreams::ReplicaRecord* replica = nullptr;
  uint32_t index = 0;
  double ratio = 0;  // reported requests per slot
};

LeastLoaded FindReplica(const RouteRequest& request, const RoutingSnapshot& snapshot,
                        Rejections* rejections) {
  LeastLoaded least;
  const upstreams::ZoneRange range = snapshot.Upstreams().Zone(snapshot.OwnZone());
  for (uint32_t i = range.begin; i < range.end; ++i) {
    const upstreams::ReplicaRecord& replica = snapshot.Upstreams().Replicas()[i];
    const Eligibility eligibility = CheckEligibility(request, snapshot, replica);
    CountRejection(eligibility, rejections);
    if (eligibility != Eligibility::kEligible && eligibility != Eligibility::kSuspect &&
        eligibility != Eligibility::kProbeDue) {
      continue;
    }
    const upstreams::LastReportedLoad load = replica.live->Load();
    const double ratio = (static_cast<double>(load.running) + load.queued) / replica.slots;
    if (least.replica == nullptr || ratio < least.ratio) least = LeastLoaded{&replica, i, ratio};
  }
  return least;
}

std::optional<Index> FindNearest(const RouteRequest& request, const RoutingSnapshot& snapshot,
                                 RegionMask allowed, bool only_free, Rejections* rejections) {
  std::optional<Index> nearest;
  for (Index zone = 0; zone < snapshot.Names().ZoneCount(); ++zone) {
    if (!MayForwardTo(request, snapshot, allowed, zone, rejections)) continue;
    if (FindServingReplica(request, snapshot, zone, rejections) == nullptr) continue;
    const upstreams::LastReportedZoneLoad sum = snapshot.Upstreams().ZoneState(zone)->Sum();
    const bool known = sum.measured != base::TimePoint{};
    if (only_free && known && sum.running + sum.queued >= sum.slots) continue;
    if (!nearest || *snapshot.OneWayTime(zone) < *snapshot.OneWayTime(*nearest)) nearest = zone;
  }
  return nearest;
}

}  // namespace

std::optional<RouteDecision> NaiveRouter::Choose(const RouteRequest& request, const RoutingSnapshot& snapshot,
                                                 base::Random& /*random*/, RouteReason* reason) const {
  const RegionMask allowed = snapshot.Allowed(request);
  Rejections rejections;
  auto code = FindEntryRefusal(request, snapshot);
  if (!code) {
    LeastLoaded least;
    if ((allowed & RegionBit(snapshot.OwnRegion())) != 0) least = FindReplica(request, snapshot, &rejections);
    std::optional<Index> zone;
    if (least.replica == nullptr || least.ratio >= 1) {
      zone = FindNearest(request, snapshot, allowed, least.replica != nullptr, &rejections);
    }
    RouteDecision decision;
    decision.breakdown.rejections = rejections;
    if (zone) {
      decision.target = RouteTarget::kZone;
      decision.zone = *zone;
      decision.region = snapshot.Region(*zone);
      return decision;
    }
    if (least.replica != nullptr) {
      decision.upstream = least.index;
      decision.zone = snapshot.OwnZone();
      decision.region = snapshot.OwnRegion();
      decision.breakdown.probe = least.replica->live->Ejected();
      return decision;
    }
    code = RefusalCode(rejections, request, snapshot);
  }
  if (reason != nullptr) {
    *reason = RouteReason{};
    reason->code = *code;
    reason->rejections = rejections;
  }
  return std::nullopt;
}

}  // namespace cornelplank::routing
