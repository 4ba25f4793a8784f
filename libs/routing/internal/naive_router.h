#pragma once

#include "libs/routing/internal/router.h"

namespace cornelplank::routing {

/// A baseline for comparison with the scored router, under the same hard rules. Chooses the replica of the
/// own zone with the lowest reported load per slot. When that replica has no free slot, chooses the nearest
/// zone whose load sum shows a free slot or is unknown.
class NaiveRouter final : public Router {
 public:
  std::optional<RouteDecision> Choose(const RouteRequest& request, const RoutingSnapshot& snapshot,
                                      base::Random& random, RouteReason* reason) const override;
};

}  // namespace cornelplank::routing
