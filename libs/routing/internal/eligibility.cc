#include "libs/routing/internal/eligibility.h"

namespace cornelplank::routing {

Eligibility CheckEligibility(const RouteRequest& request, const RoutingSnapshot& snapshot,
                             const upstreams::ReplicaRecord& replica) {
  if (!upstreams::CanServe(replica, request.model, request.service)) return Eligibility::kNotServed;
  if (replica.live->Leaving()) return Eligibility::kLeaving;
  if (replica.partner != request.partner &&
      (!request.may_borrow || snapshot.LentShare(replica.partner, request.partner) <= 0)) {
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

std::optional<RouteCode> FindEntryRefusal(const RouteRequest& request, const RoutingSnapshot& snapshot) {
  if (request.topology != snapshot.Names().Identity()) return RouteCode::kStaleNames;
  if (request.hop_path.HasVisited(snapshot.OwnZone())) return RouteCode::kLoop;
  if (snapshot.AllowedByResidency(request) == 0) return RouteCode::kResidency;
  if (snapshot.Allowed(request) == 0) return RouteCode::kHomeOnly;
  return std::nullopt;
}

bool MayForwardTo(const RouteRequest& request, const RoutingSnapshot& snapshot, RegionMask allowed,
                  Index zone, Rejections* rejections) {
  if (zone == snapshot.OwnZone()) return false;
  if ((allowed & RegionBit(snapshot.Region(zone))) == 0) {
    ++rejections->residency;
    return false;
  }
  if (!request.hop_path.MayForward() || request.hop_path.HasVisited(zone)) {
    ++rejections->loop;
    return false;
  }
  if (request.excluded.HasZone(zone)) {
    ++rejections->excluded;
    return false;
  }
  if (!snapshot.OneWayTime(zone) || !snapshot.Upstreams().ZoneState(zone)->Reachable()) {
    // A zone without replicas could not serve the request even if it were reachable.
    const upstreams::ZoneRange range = snapshot.Upstreams().Zone(zone);
    ++(range.begin == range.end ? rejections->not_served : rejections->unreachable);
    return false;
  }
  return true;
}

void CountRejection(Eligibility eligibility, Rejections* rejections) {
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

const upstreams::ReplicaRecord* FindServingReplica(const RouteRequest& request,
                                                   const RoutingSnapshot& snapshot, Index zone,
                                                   Rejections* rejections) {
  const upstreams::ZoneRange range = snapshot.Upstreams().Zone(zone);
  const upstreams::ReplicaRecord* borrowed = nullptr;
  for (uint32_t i = range.begin; i < range.end; ++i) {
    const upstreams::ReplicaRecord& replica = snapshot.Upstreams().Replicas()[i];
    const Eligibility eligibility = CheckEligibility(request, snapshot, replica);
    CountRejection(eligibility, rejections);
    if (eligibility != Eligibility::kEligible && eligibility != Eligibility::kSuspect) continue;
    if (replica.partner == request.partner) return &replica;
    if (borrowed == nullptr) borrowed = &replica;
  }
  return borrowed;
}

RouteCode RefusalCode(const Rejections& rejections, const RouteRequest& request,
                      const RoutingSnapshot& snapshot) {
  if (rejections.share > 0) return RouteCode::kShare;
  if (rejections.excluded > 0) return RouteCode::kExcluded;
  if (rejections.ejected > 0) return RouteCode::kEjected;
  if (rejections.leaving > 0) return RouteCode::kLeaving;
  if (rejections.unreachable > 0) return RouteCode::kUnreachable;
  if (rejections.loop > 0) return RouteCode::kLoop;
  if (snapshot.HomeOnly() && snapshot.Allowed(request) != snapshot.AllowedByResidency(request)) {
    return RouteCode::kHomeOnly;
  }
  return RouteCode::kNotServed;
}

}  // namespace cornelplank::routing
