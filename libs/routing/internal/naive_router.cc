#include "libs/routing/internal/naive_router.h"

#include "libs/routing/internal/eligibility.h"

namespace cornelplank::routing {
namespace {

struct LeastLoaded {
  const upstreams::ReplicaRecord* replica = nullptr;
  uint32_t index = 0;
  double use = 0;
};

LeastLoaded FindLeastLoaded(const RouteRequest& request, const RoutingSnapshot& world,
                            Rejections* rejections) {
  LeastLoaded least;
  const upstreams::ZoneRange range = world.Replicas().Zone(world.OwnZone());
  for (uint32_t i = range.begin; i < range.end; ++i) {
    const upstreams::ReplicaRecord& replica = world.Replicas().Replicas()[i];
    const Eligibility eligibility = Judge(request, world, replica);
    Count(eligibility, rejections);
    if (eligibility != Eligibility::kEligible && eligibility != Eligibility::kSuspect &&
        eligibility != Eligibility::kProbeDue) {
      continue;
    }
    const upstreams::LastReportedLoad load = replica.live->Load();
    const double use = (static_cast<double>(load.running) + load.queued) / replica.slots;
    if (least.replica == nullptr || use < least.use) least = LeastLoaded{&replica, i, use};
  }
  return least;
}

std::optional<Index> FindNearest(const RouteRequest& request, const RoutingSnapshot& world,
                                 RegionMask allowed, bool only_free, Rejections* rejections) {
  std::optional<Index> nearest;
  for (Index zone = 0; zone < world.Names().ZoneCount(); ++zone) {
    if (!MayForwardTo(request, world, allowed, zone, rejections)) continue;
    if (FindAble(request, world, zone, rejections) == nullptr) continue;
    const upstreams::ZoneLoadSum sum = world.Replicas().ZoneState(zone)->Sum();
    const bool known = sum.measured != base::TimePoint{};
    if (only_free && known && sum.running + sum.queued >= sum.slots) continue;
    if (!nearest || *world.OneWayTime(zone) < *world.OneWayTime(*nearest)) nearest = zone;
  }
  return nearest;
}

}  // namespace

std::optional<RouteDecision> NaiveRouter::Choose(const RouteRequest& request, const RoutingSnapshot& world,
                                                 base::Random& /*random*/, RouteReason* reason) const {
  const RegionMask allowed = world.Allowed(request);
  Rejections rejections;
  auto code = RefuseAtEntry(request, world);
  if (!code) {
    LeastLoaded least;
    if ((allowed & RegionBit(world.OwnRegion())) != 0) least = FindLeastLoaded(request, world, &rejections);
    std::optional<Index> zone;
    if (least.replica == nullptr || least.use >= 1) {
      zone = FindNearest(request, world, allowed, least.replica != nullptr, &rejections);
    }
    RouteDecision decision;
    decision.breakdown.rejections = rejections;
    if (zone) {
      decision.target = RouteTarget::kZone;
      decision.zone = *zone;
      decision.region = world.Region(*zone);
      return decision;
    }
    if (least.replica != nullptr) {
      decision.upstream = least.index;
      decision.zone = world.OwnZone();
      decision.region = world.OwnRegion();
      decision.breakdown.probe = least.replica->live->Ejected();
      return decision;
    }
    code = CodeOf(rejections, request, world);
  }
  if (reason != nullptr) {
    *reason = RouteReason{};
    reason->code = *code;
    reason->rejections = rejections;
  }
  return std::nullopt;
}

}  // namespace cornelplank::routing
