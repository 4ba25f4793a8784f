#pragma once

#include "libs/routing/internal/decision.h"
#include "libs/routing/internal/request.h"
#include "libs/routing/internal/routing_snapshot.h"

namespace cornelplank::routing {

/// How the hard rules judge one replica of an allowed zone.
enum class Eligibility {
  kEligible,
  kSuspect,   // eligible when nothing better is left
  kProbeDue,  // ejected, and it waits for its one probe
  kNotServed,
  kLeaving,
  kEjected,
  kExcluded,
  kShare,
};

/// Applies the rules on ability, leaving, ejection, earlier attempts and lending. Residency and loop freedom
/// are judged before, for the whole zone.
Eligibility Judge(const RouteRequest& request, const RoutingSnapshot& world,
                  const upstreams::ReplicaRecord& replica);

/// Why no route starts from this node at all: the route came through the own zone, or residency allows
/// nothing.
std::optional<RouteCode> RefuseAtEntry(const RouteRequest& request, const RoutingSnapshot& world);

/// True when `zone` may get the request by residency, loop freedom, reachability and links. Counts a
/// rejection. The own zone is not a target of a forward.
bool MayForwardTo(const RouteRequest& request, const RoutingSnapshot& world, RegionMask allowed, Index zone,
                  Rejections* rejections);

/// The first upstream of `zone` that could serve the request as far as this node knows; null when there is
/// none. Only one of another partner when the own partner has none. Counts rejections.
const upstreams::ReplicaRecord* FindAble(const RouteRequest& request, const RoutingSnapshot& world,
                                         Index zone, Rejections* rejections);

void Count(Eligibility eligibility, Rejections* rejections);

/// The reason for a request that has no candidate: the rule that left out upstreams closest to being used.
RouteCode CodeOf(const Rejections& rejections, const RouteRequest& request, const RoutingSnapshot& world);

}  // namespace cornelplank::routing
