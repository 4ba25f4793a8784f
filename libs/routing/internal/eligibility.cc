#include "libs/routing/internal/eligibility.h"

namespace cornelplank::routing {

Eligibility Judge(const RouteRequest& request, const RoutingSnapshot& world,
                  const upstreams::ReplicaRecord& replica) {
  if (!upstreams::CanServe(replica, request.model, request.service)) return Eligibility::kNotServed;
  if (replica.live->Leaving()) return Eligibility::kLeaving;
  if (replica.partner != request.partner &&
      (!request.may_borrow || world.LentShare(replica.partner, request.partner) <= 0)) {
    return Eligibility::kShare;
  }
  if (request.excluded.HasReplica(replica.key) || request.excluded.HasZone(replica.zone)) {
    return Eligibility::kExcluded;
  }
  if (replica.live->Ejected()) {
    return request.idempotent && replica.live->ProbeDue(request.now) ? Eligibility::kProbeDue
                                                                     : Eligibility::kEjected;
  }
  return replica.live->Suspect(request.now) ? Eligibility::kSuspect : Eligibility::kEligible;
}

std::optional<RouteCode> RefuseAtEntry(const RouteRequest& request, const RoutingSnapshot& world) {
  if (request.topology != world.Names().Identity()) return RouteCode::kStaleNames;
  if (request.hop_path.Visited(world.OwnZone())) return RouteCode::kLoop;
  if (world.AllowedByResidency(request) == 0) return RouteCode::kResidency;
  if (world.Allowed(request) == 0) return RouteCode::kHomeOnly;
  return std::nullopt;
}

bool MayForwardTo(const RouteRequest& request, const RoutingSnapshot& world, RegionMask allowed, Index zone,
                  Rejections* rejections) {
  if (zone == world.OwnZone()) return false;
  if ((allowed & RegionBit(world.Region(zone))) == 0) {
    ++rejections->residency;
    return false;
  }
  if (!request.hop_path.MayForward() || request.hop_path.Visited(zone)) {
    ++rejections->loop;
    return false;
  }
  if (request.excluded.HasZone(zone)) {
    ++rejections->excluded;
    return false;
  }
  if (!world.OneWayTime(zone) || !world.Replicas().ZoneState(zone)->Reachable()) {
    // A zone without replicas could not serve the request if it were reached.
    const upstreams::ZoneRange range = world.Replicas().Zone(zone);
    ++(range.begin == range.end ? rejections->not_served : rejections->unreachable);
    return false;
  }
  return true;
}

void Count(Eligibility eligibility, Rejections* rejections) {
  switch (eligibility) {
    case Eligibility::kEligible:
    case Eligibility::kSuspect:
    case Eligibility::kProbeDue:
      break;
    case Eligibility::kNotServed:
      ++rejections->not_served;
      break;
    case Eligibility::kLeaving:
      ++rejections->leaving;
      break;
    case Eligibility::kEjected:
      ++rejections->ejected;
      break;
    case Eligibility::kExcluded:
      ++rejections->excluded;
      break;
    case Eligibility::kShare:
      ++rejections->share;
      break;
  }
}

const upstreams::ReplicaRecord* FindAble(const RouteRequest& request, const RoutingSnapshot& world,
                                         Index zone, Rejections* rejections) {
  const upstreams::ZoneRange range = world.Replicas().Zone(zone);
  const upstreams::ReplicaRecord* borrowed = nullptr;
  for (uint32_t i = range.begin; i < range.end; ++i) {
    const upstreams::ReplicaRecord& replica = world.Replicas().Replicas()[i];
    const Eligibility eligibility = Judge(request, world, replica);
    Count(eligibility, rejections);
    if (eligibility != Eligibility::kEligible && eligibility != Eligibility::kSuspect) continue;
    if (replica.partner == request.partner) return &replica;
    if (borrowed == nullptr) borrowed = &replica;
  }
  return borrowed;
}

RouteCode CodeOf(const Rejections& rejections, const RouteRequest& request, const RoutingSnapshot& world) {
  if (rejections.share > 0) return RouteCode::kShare;
  if (rejections.excluded > 0) return RouteCode::kExcluded;
  if (rejections.ejected > 0) return RouteCode::kEjected;
  if (rejections.leaving > 0) return RouteCode::kLeaving;
  if (rejections.unreachable > 0) return RouteCode::kUnreachable;
  if (rejections.loop > 0) return RouteCode::kLoop;
  if (world.HomeOnly() && world.Allowed(request) != world.AllowedByResidency(request)) {
    return RouteCode::kHomeOnly;
  }
  return RouteCode::kNotServed;
}

}  // namespace cornelplank::routing
