#pragma once

#include <optional>

#include "libs/base/base.h"
#include "libs/routing/internal/decision.h"
#include "libs/routing/internal/request.h"
#include "libs/routing/internal/routing_snapshot.h"

namespace cornelplank::routing {

/// Chooses where a request runs: an upstream of the own zone, or another zone whose entry VM then chooses the
/// upstream. Thread-safe; a call neither locks nor allocates. A choice reserves nothing: the caller enters it
/// with `upstreams::InFlightRequest::Begin` or `RoutingSnapshot::BeginForward`, and chooses again when that
/// fails.
class Router {
 public:
  virtual ~Router() = default;

  /// Returns no value when the request has no route, with the cause in `reason` (may be null).
  virtual std::optional<RouteDecision> Choose(const RouteRequest& request, const RoutingSnapshot& world,
                                              base::Random& random, RouteReason* reason) const = 0;
};

}  // namespace cornelplank::routing
