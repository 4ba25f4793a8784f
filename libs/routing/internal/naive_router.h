#pragma once

#include "libs/routing/internal/router.h"

namespace cornelplank::routing {

/// For comparison: the replica with the lowest last report in the own zone; when that one has no free slot,
/// the nearest zone whose sums show a free slot. It obeys the same hard rules as the scored router.
class NaiveRouter final : public Router {
 public:
  std::optional<RouteDecision> Choose(const RouteRequest& request, const RoutingSnapshot& world,
                                      base::Random& random, RouteReason* reason) const override;
};

}  // namespace cornelplank::routing
