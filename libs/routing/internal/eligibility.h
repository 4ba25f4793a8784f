#pragma once

#include "libs/routing/internal/decision.h"
#include "libs/routing/internal/request.h"
#include "libs/routing/internal/routing_snapshot.h"

namespace cornelplank::routing {

/// Result of the hard rules for one replica of an allowed zone.
enum class Eligibility {
  kEligible,
  kSuspect,   // usable only when no replica is kEligible
  kProbeDue,  // ejected, and its single probe request may be sent now
  kNotServed,
  kLeaving,
  kEjected,
  kExcluded,
  kShare,
};

/// Checks that the replica serves the model or service, is not leaving, is lent to the partner, was not tried
/// before and is not ejected, in this order. Residency and loops are checked earlier, for the whole zone.
Eligibility CheckEligibility(const RouteRequest& request, const RoutingSnapshot& snapshot,
                             const upstreams::ReplicaRecord& replica);

/// Returns why this node must refuse the request whatever its load: the indices are stale, the request came
/// from this zone before, or no region is allowed. Returns no value when the request may be routed.
std::optional<RouteCode> FindEntryRefusal(const RouteRequest& request, const RoutingSnapshot& snapshot);

/// True when residency, hop limit, exclusions, reachability and links allow a forward to `zone`; false for
/// the own zone. Counts a rejected zone in `rejections`.
bool MayForwardTo(const RouteRequest& request, const RoutingSnapshot& snapshot, RegionMask allowed,
                  Index zone, Rejections* rejections);

/// Returns the first upstream of `zone` that could serve the request as far as this node knows, or null. An
/// upstream of another partner is returned only when the own partner has none. Counts rejected upstreams.
const upstreams::ReplicaRecord* FindServingReplica(const RouteRequest& request,
                                                   const RoutingSnapshot& snapshot, Index zone,
                                                   Rejections* rejections);

/// Adds one to the counter of the rule that rejected a replica; does nothing for usable replicas.
void CountRejection(Eligibility eligibility, Rejections* rejections);

/// Returns the reason to report for a request without a candidate: of the rules that rejected something, the
/// one checked last, since its upstreams came closest to being used.
RouteCode RefusalCode(const Rejections& rejections, const RouteRequest& request,
                      const RoutingSnapshot& snapshot);

}  // namespace cornelplank::routing
