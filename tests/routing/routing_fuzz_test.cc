#include <gtest/gtest.h>

#include "tests/routing/routing_fuzz.h"

namespace cornelplank::routing {
namespace {

// Guards against a broken hard rule after any order of faults, in both routers.
TEST(RoutingFuzzTest, FixedSeed) {
  const auto scored = FuzzRouting(1, 50000, ScoredRouter());
  EXPECT_FALSE(scored.has_value()) << *scored;
  const auto naive = FuzzRouting(2, 20000, NaiveRouter());
  EXPECT_FALSE(naive.has_value()) << *naive;
}

enum class Fault {
  kForgetsResidencyOnRetry,
  kForgetsRoute,
  kForgetsExclusions,
  kUsesLeaving,
  kIgnoresHomeOnly
};

/// A router with one fault.
class FaultyRouter final : public Router {
 public:
  explicit FaultyRouter(Fault fault) : fault_(fault) {}

  std::optional<RouteDecision> Choose(const RouteRequest& request, const RoutingSnapshot& world,
                                      base::Random& random, RouteReason* reason) const override {
    RouteRequest changed = request;
    const Index any = world.Names().Residency("any");
    if (fault_ == Fault::kForgetsResidencyOnRetry && !changed.excluded.IsEmpty()) changed.residency = any;
    if (fault_ == Fault::kForgetsRoute) changed.hop_path = HopPath{};
    if (fault_ == Fault::kForgetsExclusions) changed.excluded = ExcludeSet{};
    auto decision = ScoredRouter().Choose(changed, world, random, reason);
    if (!decision) return decision;
    const auto range = world.Replicas().Zone(world.OwnZone());
    if (fault_ == Fault::kUsesLeaving && decision->target == RouteTarget::kUpstream) {
      decision->upstream = range.begin + static_cast<uint32_t>(random.Below(range.end - range.begin));
    }
    if (fault_ == Fault::kIgnoresHomeOnly && world.HomeOnly() && range.end > range.begin) {
      decision->target = RouteTarget::kUpstream;
      decision->upstream = range.begin;
    }
    return decision;
  }

 private:
  Fault fault_;
};

class RoutingFaultTest : public testing::TestWithParam<Fault> {};

// Guards against a fuzzer that no longer sees real faults.
TEST_P(RoutingFaultTest, IsCaught) {
  EXPECT_TRUE(FuzzRouting(1, 20000, FaultyRouter(GetParam())).has_value());
}

INSTANTIATE_TEST_SUITE_P(Faults, RoutingFaultTest,
                         testing::Values(Fault::kForgetsResidencyOnRetry, Fault::kForgetsRoute,
                                         Fault::kForgetsExclusions, Fault::kUsesLeaving,
                                         Fault::kIgnoresHomeOnly));

}  // namespace
}  // namespace cornelplank::routing
