#include <gtest/gtest.h>

#include <set>

#include "tests/routing/routing_fixture.h"

namespace cornelplank::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class RouterKind { kScored, kNaive };

class HardRuleTest : public testing::TestWithParam<RouterKind> {
 protected:
  std::optional<RouteDecision> Choose(const RoutingFixture& fixture, const RouteRequest& request) {
    if (GetParam() == RouterKind::kScored) {
      return ScoredRouter().Choose(request, *fixture.snapshot, random_, &reason_);
    }
    return NaiveRouter().Choose(request, *fixture.snapshot, random_, &reason_);
  }

  base::Random random_{7};
  RouteReason reason_;
};

struct ResidencyCase {
  std::vector<std::string> allow;
  const char* home;
  const char* region;
  bool allowed;
};

// Guards against a wrong residency check. Serving, retries and cache transfers all use it, by name
// (`IsAllowed`) or by bits (`ToResidencyMask`), and both must agree.
TEST(ResidencyTest, AllowsNamedRegionsAndHomeOnly) {
  const std::vector<ResidencyCase> cases{
      {{"home"}, "r0", "r0", true},       {{"home"}, "r0", "r1", false}, {{"home"}, "", "", false},
      {{"r1"}, "r0", "r1", true},         {{"r1"}, "r0", "r0", false},   {{"home", "r1"}, "r0", "r1", true},
      {{"home", "r9"}, "r9", "r9", true}, {{}, "r0", "r0", false},       {{"r9"}, "r0", "r1", false},
      {{"home"}, "home", "r0", false},
  };
  const upstreams::Topology names = upstreams::Topology::FromDocument(MakeDocument(2, 1, 1));
  for (const ResidencyCase& test : cases) {
    const config::ResidencyRule rule{"p0", test.allow};
    EXPECT_EQ(IsAllowed(rule, test.home, test.region), test.allowed) << test.home << " " << test.region;
    const RegionMask bit = RegionBit(names.Region(test.region));
    const bool by_mask = (ToResidencyMask(rule, names).Allowed(names.Region(test.home)) & bit) != 0;
    EXPECT_EQ(by_mask, test.allowed && bit != 0) << test.home << " " << test.region;
  }
}

// Guards against a request that is forwarded outside its allowed regions because these are full.
TEST_P(HardRuleTest, ResidencyHoldsWhenHomeIsFull) {
  RoutingFixture fixture(MakeDocument(2, 1, 1));
  fixture.Report("r0/z0/e0", 8, 100);
  const auto decision = Choose(fixture, fixture.Request("r0", "home"));
  ASSERT_TRUE(decision.has_value());
  EXPECT_EQ(decision->target, RouteTarget::kUpstream);
  EXPECT_FALSE(Choose(fixture, fixture.Request("", "home")).has_value());
  EXPECT_EQ(reason_.code, RouteCode::kResidency);
  EXPECT_FALSE(Choose(fixture, fixture.Request("r0", "missing")).has_value());
  EXPECT_EQ(reason_.code, RouteCode::kResidency);
}

// Guards against a second forward of a request, and against serving a request that came back to the zone that
// forwarded it.
TEST_P(HardRuleTest, ForwardedRequestStaysInTheZoneOrIsRefused) {
  RoutingFixture fixture(MakeDocument(2, 1, 1));
  RouteRequest request = fixture.Request();
  request.hop_path = *HopPath{}.Extend(fixture.snapshot->Names().Zone("r1", "z0"));
  fixture.Report("r0/z0/e0", 8, 1000);
  const auto decision = Choose(fixture, request);
  ASSERT_TRUE(decision.has_value());
  EXPECT_EQ(decision->target, RouteTarget::kUpstream);
  fixture.table.OnLeavingResponse("r0/z0/e0", fixture.now);
  EXPECT_FALSE(Choose(fixture, request).has_value());
  EXPECT_EQ(reason_.code, RouteCode::kLeaving);
  request.hop_path = *HopPath{}.Extend(fixture.snapshot->OwnZone());
  EXPECT_FALSE(Choose(fixture, request).has_value());
  EXPECT_EQ(reason_.code, RouteCode::kLoop);
  EXPECT_FALSE(request.hop_path.Extend(0).has_value());
}

// Guards against new requests to a replica that began to leave after the snapshot was taken.
TEST_P(HardRuleTest, LeavingReplicaGetsNoWorkAtOnce) {
  RoutingFixture fixture(MakeDocument(1, 1, 2));
  fixture.table.OnLeavingResponse("r0/z0/e0", fixture.now);
  for (int i = 0; i < 20; ++i) {
    const auto decision = Choose(fixture, fixture.Request());
    ASSERT_TRUE(decision.has_value());
    EXPECT_EQ(fixture.snapshot->Upstreams().Replicas()[decision->upstream].id, "r0/z0/e1");
  }
}

// Guards against serving a request outside its home region while the configuration may be outdated.
TEST_P(HardRuleTest, HomeOnlyModeKeepsRequestsAtHome) {
  RoutingFixture fixture(MakeDocument(2, 1, 1));
  fixture.node.home_only = true;
  fixture.Rebuild();
  fixture.Report("r0/z0/e0", 8, 500);
  EXPECT_EQ(Choose(fixture, fixture.Request("r0"))->region, 0);
  EXPECT_EQ(Choose(fixture, fixture.Request("r1"))->region, 1);
  fixture.table.OnZoneReachable("r1", "z0", false);
  EXPECT_FALSE(Choose(fixture, fixture.Request("r1")).has_value());
  EXPECT_EQ(reason_.code, RouteCode::kUnreachable);
}

// Guards against a retry at a replica that was tried before, and against a request whose indices belong to an
// older configuration.
TEST_P(HardRuleTest, RetryAvoidsTriedReplicasAndStaleNames) {
  RoutingFixture fixture(MakeDocument(1, 1, 2));
  RouteRequest request = fixture.Request();
  const auto first = Choose(fixture, request);
  request.excluded.AddReplica(fixture.snapshot->Upstreams().Replicas()[first->upstream].key);
  const auto second = Choose(fixture, request);
  EXPECT_NE(first->upstream, second->upstream);
  request.excluded.AddReplica(fixture.snapshot->Upstreams().Replicas()[second->upstream].key);
  EXPECT_FALSE(Choose(fixture, request).has_value());
  EXPECT_EQ(reason_.code, RouteCode::kExcluded);
  fixture.document.regions["a"] = {"p0", {"z0"}};
  fixture.table.Configure(fixture.document, fixture.now);
  fixture.Rebuild();
  EXPECT_FALSE(Choose(fixture, request).has_value());
  EXPECT_EQ(reason_.code, RouteCode::kStaleNames);
}

// Guards against service calls that are refused because the engines of the service's zone are overloaded, and
// against calls that are sent to an engine.
TEST_P(HardRuleTest, ServiceCallGoesToTheZoneOfTheService) {
  config::Document document = MakeDocument(3, 1, 2);
  document.services["ledger"].partner = document.models["m0"].partner;
  config::Upstream ledger = document.upstreams["r1/z0/e0"];
  ledger.kind = config::UpstreamKind::kService;
  ledger.service = "ledger";
  ledger.models.clear();
  document.upstreams["r1/z0/ledger"] = ledger;
  for (const char* region : {"r0", "r1"}) {
    RoutingFixture fixture(document, {region, "z0"});
    fixture.table.OnZoneSum("r1", "z0", {16, 16, 400, 0, {}}, seconds{0}, fixture.now);
    RouteRequest request = fixture.snapshot->Resolve({"p0", "", "ledger", "any", "r0"});
    request.now = fixture.now;
    request.deadline = fixture.now + seconds{2};
    const auto decision = Choose(fixture, request);
    ASSERT_TRUE(decision.has_value());
    EXPECT_EQ(decision->zone, fixture.snapshot->Names().Zone("r1", "z0"));
    EXPECT_EQ(decision->target == RouteTarget::kUpstream, fixture.node.region == "r1");
  }
}

// Guards against a decision whose random candidates are all full replicas of another partner, although the
// request's own partner has a replica.
TEST(LendingTest, BusyLentReplicasDoNotHideOwnOnes) {
  config::Document document = MakeDocument(1, 1, 20);
  document.partners["p1"].lends["p0"] = 0.5;
  for (auto& [id, upstream] : document.upstreams) upstream.partner = id == "r0/z0/e7" ? "p0" : "p1";
  RoutingFixture fixture(document);
  for (const auto& [id, upstream] : document.upstreams) fixture.Report(id, 8, 4);
  base::Random random(1);
  for (int i = 0; i < 50; ++i) {
    const auto decision = ScoredRouter().Choose(fixture.Request(), *fixture.snapshot, random, nullptr);
    ASSERT_TRUE(decision.has_value());
    EXPECT_FALSE(decision->breakdown.borrowed);
  }
}

INSTANTIATE_TEST_SUITE_P(Routers, HardRuleTest, testing::Values(RouterKind::kScored, RouterKind::kNaive),
                         [](const auto& info) {
                           return info.param == RouterKind::kScored ? "Scored" : "Naive";
                         });

}  // namespace
}  // namespace cornelplank::routing
