#pragma once

#include "libs/routing/internal/estimate.h"
#include "libs/routing/internal/router.h"

namespace cornelplank::routing {

/// Chooses the target with the lowest score. The score adds the estimated time to the first token, the price
/// and penalties such as the one for leaving the home region, weighted by the partner's objective. Candidates
/// are the two owners of the prompt prefix, a few random replicas of the own zone, and every other zone as a
/// whole.
class ScoredRouter final : public Router {
 public:
  explicit ScoredRouter(ScoreOptions options = {}) : options_(options) {}

  std::optional<RouteDecision> Choose(const RouteRequest& request, const RoutingSnapshot& snapshot,
                                      base::Random& random, RouteReason* reason) const override;

 private:
  ScoreOptions options_;
};

}  // namespace cornelplank::routing
