#pragma once

#include "libs/routing/internal/estimate.h"
#include "libs/routing/internal/router.h"

namespace cornelplank::routing {

/// Takes the target with the lowest score: estimated time to the first token, price and a penalty for leaving
/// home, weighted by the partner's objective. Candidates of the own zone are a few random replicas and the
/// owner of the prompt prefix; every other zone is one candidate.
class ScoredRouter final : public Router {
 public:
  explicit ScoredRouter(ScoreOptions options = {}) : options_(options) {}

  std::optional<RouteDecision> Choose(const RouteRequest& request, const RoutingSnapshot& world,
                                      base::Random& random, RouteReason* reason) const override;

 private:
  ScoreOptions options_;
};

}  // namespace cornelplank::routing
