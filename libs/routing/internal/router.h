#pragma once

#include <optional>

#include "libs/base/base.h"
#include "libs/routing/internal/decision.h"
#include "libs/routing/internal/request.h"
#include "libs/routing/internal/routing_snapshot.h"

namespace cornelplank::routing {

/// Chooses where a request runs: at an upstream of the own zone, or in another zone, whose entry VM then
/// chooses the upstream. Thread-safe; a call takes no lock and allocates no memory. A decision reserves
/// nothing: the caller claims the target with `upstreams::InFlightRequest::Begin` or
/// `RoutingSnapshot::BeginForward`, and chooses again when that fails.
class Router {
 public:
  virtual ~Router() = default;

  /// Returns no value when the request is refused, with the cause in `reason` (may be null).
  virtual std::optional<RouteDecision> Choose(const RouteRequest& request, const RoutingSnapshot& snapshot,
                                              base::Random& random, RouteReason* reason) const = 0;
};

}  // namespace cornelplank::routing
