#include <gtest/gtest.h>

#include <list>
#include <map>

#include "tests/routing/routing_fixture.h"

namespace cornelplank::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ScoredRouterTest : public testing::Test {
 protected:
  std::optional<RouteDecision> Choose(const RoutingFixture& fixture, const RouteRequest& request) {
    return ScoredRouter().Choose(request, *fixture.snapshot, random_, &reason_);
  }
  static const upstreams::ReplicaRecord& Chosen(const RoutingFixture& fixture,
                                                const RouteDecision& decision) {
    return fixture.snapshot->Upstreams().Replicas()[decision.upstream];
  }
  /// Routes `count` requests that stay in flight and returns how many each replica got.
  std::map<std::string, int> Fill(const RoutingFixture& fixture, const RouteRequest& request, int count) {
    std::map<std::string, int> loads;
    for (int i = 0; i < count; ++i) {
      const auto decision = Choose(fixture, request);
      const upstreams::ReplicaRecord& replica = Chosen(fixture, *decision);
      open_.push_back(*upstreams::InFlightRequest::Begin(replica.live, fixture.now, nullptr));
      ++loads[replica.id];
    }
    return loads;
  }

  base::Random random_{7};
  RouteReason reason_;
  std::list<upstreams::InFlightRequest> open_;
};

// Guards against a small replica that gets as many requests as one with ten times its slots.
TEST_F(ScoredRouterTest, LoadFollowsSlots) {
  config::Document document = MakeDocument(1, 1, 10, 4);
  for (const char* id : {"r0/z0/e0", "r0/z0/e1"}) document.upstreams[id].slots = 40;
  const RoutingFixture fixture(document);
  const auto loads = Fill(fixture, fixture.Request(), 90);
  for (const auto& [id, upstream] : document.upstreams) {
    EXPECT_GE(loads.at(id), upstream.slots / 2) << id;
    EXPECT_LE(loads.at(id), upstream.slots) << id;
  }
}

// Guards against a popular prefix whose requests all queue at the prefix owner.
TEST_F(ScoredRouterTest, HotPrefixStaysWithinTheLoadBound) {
  RoutingFixture fixture(MakeDocument(1, 1, 10, 40));
  RouteRequest request = fixture.Request();
  request.prefix = 99;
  request.prefix_tokens = 4000;
  request.prompt_tokens = 4100;
  const auto first = Choose(fixture, request);
  EXPECT_TRUE(first->breakdown.prefix_owner);
  EXPECT_EQ(Choose(fixture, request)->upstream, first->upstream);
  fixture.table.OnPrefixServed(Chosen(fixture, *first).id, request.prefix, 4000);
  for (const auto& [id, load] : Fill(fixture, request, 200)) EXPECT_LE(load, 1 + 200 / 10 * 5 / 4) << id;
}

// Guards against a restarted replica that gets too many requests at once or none after its ramp.
TEST_F(ScoredRouterTest, ReturnedReplicaRampsUp) {
  RoutingFixture fixture(MakeDocument(1, 1, 5, 20));
  for (int e = 0; e < 5; ++e) fixture.Report(Numbered("r0/z0/e", e), 0);
  fixture.table.OnLoadReport({"r0/z0/e3", 2, upstreams::EngineState::kReady, 0, 0, {"m0"}, {}}, fixture.now);
  EXPECT_LE(Fill(fixture, fixture.Request(), 40)["r0/z0/e3"], 4);
  open_.clear();
  fixture.now += seconds{30};
  EXPECT_GE(Fill(fixture, fixture.Request(), 40)["r0/z0/e3"], 5);
}

// Guards against a request of a waiting class that takes the last free slots, or that waits until it misses
// its deadline.
TEST_F(ScoredRouterTest, WaitingClassWaitsForSpareCapacityUntilItsDeadline) {
  RoutingFixture fixture(MakeDocument(1, 1, 1, 10));
  fixture.Report("r0/z0/e0", 9);
  RouteRequest request = fixture.Request();
  request.may_wait = true;
  request.deadline = fixture.now + seconds{60};
  EXPECT_FALSE(Choose(fixture, request).has_value());
  EXPECT_EQ(reason_.code, RouteCode::kWaitForSpare);
  EXPECT_GE(reason_.retry_after, milliseconds{50});
  request.deadline = fixture.now + seconds{5};
  EXPECT_TRUE(Choose(fixture, request).has_value());
  fixture.Report("r0/z0/e0", 10, 90);
  fixture.now += milliseconds{1};
  fixture.Report("r0/z0/e0", 10, 90);
  EXPECT_FALSE(Choose(fixture, request).has_value());
  EXPECT_EQ(reason_.code, RouteCode::kDeadline);
}

// Guards against a refusal for the deadline when a more expensive target would meet it.
TEST_F(ScoredRouterTest, TargetThatMeetsTheDeadlineBeatsACheaperOne) {
  config::Document document = MakeDocument(2, 1, 1);
  document.partners["p0"].objective = config::Objective::kCost;
  document.upstreams["r1/z0/e0"].price = 500;
  RoutingFixture fixture(document);
  fixture.Report("r0/z0/e0", 8, 1);
  fixture.table.OnZoneSum("r1", "z0", {8, 0, 0, 0, {}}, seconds{0}, fixture.now);
  RouteRequest request = fixture.Request();
  EXPECT_EQ(Choose(fixture, request)->target, RouteTarget::kUpstream);
  request.deadline = fixture.now + seconds{1};
  EXPECT_EQ(Choose(fixture, request)->target, RouteTarget::kZone);
}

// Guards against a forward over a link whose bandwidth budget is used up.
TEST_F(ScoredRouterTest, UsedUpLinkKeepsRequestsAtHome) {
  RoutingFixture fixture(MakeDocument(2, 1, 1));
  fixture.Report("r0/z0/e0", 8, 3);
  fixture.table.OnZoneSum("r1", "z0", {8, 0, 0, 0, {}}, seconds{0}, fixture.now);
  EXPECT_EQ(Choose(fixture, fixture.Request())->target, RouteTarget::kZone);
  RouteRequest large = fixture.Request();
  large.response_bytes = 10000000000;
  auto forward = fixture.snapshot->BeginForward(large, 1);
  const auto decision = Choose(fixture, fixture.Request());
  EXPECT_EQ(decision->target, RouteTarget::kUpstream);
  forward->Cancel();
  EXPECT_EQ(Choose(fixture, fixture.Request())->target, RouteTarget::kZone);
}

// Guards against a probe with a request that must not be repeated, which a failed probe would lose, and
// against an ejected replica that never gets a probe.
TEST_F(ScoredRouterTest, OnlyIdempotentRequestsProbe) {
  RoutingFixture fixture(MakeDocument(1, 1, 5));
  for (int i = 0; i < 5; ++i) {
    fixture.table.OnResult("r0/z0/e2", upstreams::RequestOutcome::kFailure, false, fixture.now);
  }
  fixture.now += seconds{1};
  RouteRequest request = fixture.Request();
  request.idempotent = false;
  EXPECT_FALSE(Choose(fixture, request)->breakdown.probe);
  const auto decision = Choose(fixture, fixture.Request());
  EXPECT_TRUE(decision->breakdown.probe);
  const auto guard = upstreams::InFlightRequest::Begin(Chosen(fixture, *decision).live, fixture.now, nullptr);
  EXPECT_FALSE(Choose(fixture, fixture.Request())->breakdown.probe);
}

}  // namespace
}  // namespace cornelplank::routing
