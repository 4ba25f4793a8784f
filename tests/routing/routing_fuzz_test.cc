#include <gtest/gtest.h>

#include "tests/routing/routing_fuzz.h"

namespace cornelplank::routing {
namespace {

// Guards against decisions of either router that break a hard rule after some order of faults.
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

/// A scored router with one deliberate fault.
class FaultyRouter final : public Router {
 public:
  explicit FaultyRouter(Fault fault) : fault_(fault) {}

  std::optional<RouteDecision> Choose(const RouteRequest& request, const RoutingSnapshot& snapshot,
                                      base::Random& random, RouteReason* reason) const override {
    RouteRequest changed = request;
    const Index any = snapshot.Names().Residency("any");
    if (fault_ == Fault::kForgetsResidencyOnRetry && !changed.excluded.IsEmpty()) changed.residency = any;
    if (fault_ == Fault::kForgetsRoute) changed.hop_path = HopPath{};
    if (fault_ == Fault::kForgetsExclusions) changed.excluded = ExcludeSet{};
    auto decision = ScoredRouter().Choose(changed, snapshot, random, reason);
    if (!decision) return decision;
    const auto range = snapshot.Upstreams().Zone(snapshot.OwnZone());
    if (fault_ == Fault::kUsesLeaving && decision->target == RouteTarget::kUpstream) {
      decision->upstream = range.begin + static_cast<uint32_t>(random.Below(range.end - range.begin));
    }
    if (fault_ == Fault::kIgnoresHomeOnly && snapshot.HomeOnly() && range.end > range.begin) {
      decision->target = RouteTarget::kUpstream;
      decision->upstream = range.begin;
    }
    return decision;
  }

 private:
  Fault fault_;
};

class RoutingFaultTest : public testing::TestWithParam<Fault> {};

// Guards against a fuzzer that no longer detects faults.
TEST_P(RoutingFaultTest, IsCaught) {
  EXPECT_TRUE(FuzzRouting(1, 20000, FaultyRouter(GetParam())).has_value());
}

INSTANTIATE_TEST_SUITE_P(Faults, RoutingFaultTest,
                         testing::Values(Fault::kForgetsResidencyOnRetry, Fault::kForgetsRoute,
                                         Fault::kForgetsExclusions, Fault::kUsesLeaving,
                                         Fault::kIgnoresHomeOnly));

}  // namespace
}  // namespace cornelplank::routing
