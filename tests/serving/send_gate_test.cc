#include <gtest/gtest.h>

#include <functional>

#include "libs/serving/serving.h"

namespace cornelplank::serving {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};

class OneVm final : public HopDirectory {
 public:
  std::vector<RemoteRegion> RemoteRegions(const std::string&) const override { return {}; }
  std::optional<net::Tcp::endpoint> PickVm(const std::string&) override { return std::nullopt; }
  void ReportHopFailure(const net::Tcp::endpoint&) override {}
  std::vector<std::string> OwnRegionVms() const override { return {"own"}; }
};

/// A registry with replicas of one service, and the placer of the only VM.
struct GateFixture {
  GateFixture() {
    auto config = std::make_shared<RoutingConfig>();
    config->version = 1;
    config->services["svc"] = ServiceConfig{"svc", "/health", 100, {}, 0, std::nullopt};
    route.services = {{"svc", 1}};
    config->routes.push_back(route);
    registry.SetConfig(config);
    query.route = &route;
    query.service = "svc";
  }

  void List(const std::string& id, uint64_t incarnation = 1) {
    PublishedReplica published;
    published.id = id;
    published.service = "svc";
    published.zone = "z";
    published.region = "r";
    published.slots = 4;
    published.incarnation = incarnation;
    registry.Upsert(published, now);
  }
  TrackedReplica& Replica(const std::string& id = "a") { return *registry.Find(id); }
  void Advance(base::Duration step) {
    now += step;
    registry.Tick(now);
  }
  std::optional<Placement> Choose() { return placer.Choose(query, registry, hops, now, &reason); }

  base::TimePoint now = kStart;
  RouteConfig route;
  ReplicaRegistry registry;
  OneVm hops;
  Placer placer{"own", "r", {}, 7};
  PlacementQuery query;
  RefusalReason reason = RefusalReason::kNone;
};

struct StatementCase {
  const char* name;
  std::function<void(GateFixture&)> events;  // after replica "a" was listed
  SendBlock expected;
};
class ReplicaStatementTest : public ::testing::TestWithParam<StatementCase> {};

// Guards against sends to a replica that has stated that it leaves or wants nothing for a time, and against
// statements of an earlier run that keep a restarted replica from being used.
TEST_P(ReplicaStatementTest, HoldsUntilItEndsOrTheReplicaRestarts) {
  GateFixture fixture;
  fixture.List("a");
  GetParam().events(fixture);
  const bool expected = GetParam().expected == SendBlock::kNone;
  EXPECT_EQ(SendGate::CheckStanding(fixture.Replica(), fixture.registry, fixture.now).block,
            GetParam().expected);
  EXPECT_EQ(fixture.Choose().has_value(), expected);
  EXPECT_EQ(fixture.placer.EstimateRegionWait("svc", fixture.registry, fixture.now).has_value(), expected);
}

void Leave(GateFixture& fixture) { fixture.registry.RecordLeaving(fixture.Replica(), fixture.now); }
void PushBack(GateFixture& fixture, base::Duration time) {
  fixture.registry.RecordPushBack(fixture.Replica(), time, fixture.now);
}

INSTANTIATE_TEST_SUITE_P(
    Statements, ReplicaStatementTest,
    ::testing::Values(StatementCase{"None", [](GateFixture&) {}, SendBlock::kNone},
                      StatementCase{"Leaving", Leave, SendBlock::kLeaving},
                      StatementCase{"LeavingListedAsReady",
                                    [](GateFixture& f) {
                                      Leave(f);
                                      f.Advance(milliseconds(500));
                                      f.List("a");
                                    },
                                    SendBlock::kLeaving},
                      StatementCase{"LeavingListedAgainAfterItsEntryExpired",
                                    [](GateFixture& f) {
                                      Leave(f);
                                      f.registry.MarkUnlisted("a", f.now);
                                      f.Advance(std::chrono::seconds(5));
                                      f.List("a");
                                    },
                                    SendBlock::kLeaving},
                      StatementCase{"LeavingStoreAway",
                                    [](GateFixture& f) {
                                      Leave(f);
                                      f.Advance(std::chrono::seconds(30));
                                    },
                                    SendBlock::kLeaving},
                      StatementCase{"LeavingRestarted",
                                    [](GateFixture& f) {
                                      Leave(f);
                                      f.List("a", 2);
                                    },
                                    SendBlock::kNone},
                      StatementCase{"LeavingRestartedAfterItsEntryExpired",
                                    [](GateFixture& f) {
                                      Leave(f);
                                      f.registry.MarkUnlisted("a", f.now);
                                      f.Advance(std::chrono::seconds(5));
                                      f.List("a", 2);
                                    },
                                    SendBlock::kNone},
                      StatementCase{"PushedBack", [](GateFixture& f) { PushBack(f, milliseconds(1500)); },
                                    SendBlock::kPushedBack},
                      StatementCase{"PushedBackListedAgain",
                                    [](GateFixture& f) {
                                      PushBack(f, milliseconds(1500));
                                      f.Advance(milliseconds(1499));
                                      f.List("a");
                                    },
                                    SendBlock::kPushedBack},
                      StatementCase{"PushedBackUntilNow",
                                    [](GateFixture& f) {
                                      PushBack(f, milliseconds(1500));
                                      f.Advance(milliseconds(1500));
                                    },
                                    SendBlock::kNone},
                      StatementCase{"PushedBackForLessLater",
                                    [](GateFixture& f) {
                                      PushBack(f, milliseconds(2000));
                                      f.Advance(milliseconds(500));
                                      PushBack(f, milliseconds(100));
                                      f.Advance(milliseconds(1000));
                                    },
                                    SendBlock::kPushedBack},
                      StatementCase{"PushedBackRestarted",
                                    [](GateFixture& f) {
                                      PushBack(f, milliseconds(1500));
                                      f.List("a", 2);
                                    },
                                    SendBlock::kNone},
                      StatementCase{"BothAfterTheTime",
                                    [](GateFixture& f) {
                                      PushBack(f, milliseconds(1500));
                                      Leave(f);
                                      f.Advance(milliseconds(2000));
                                    },
                                    SendBlock::kLeaving},
                      StatementCase{"Evacuated",
                                    [](GateFixture& f) { f.registry.SetEvacuated("z", true, f.now); },
                                    SendBlock::kEvacuated}),
    [](const auto& info) { return info.param.name; });

// Guards against requests that are refused although another replica can take them, and against a Retry-After
// that is not the time until one can.
TEST(PushedBackRegionTest, UsesTheOthersAndThenStatesWhenTheFirstIsBack) {
  GateFixture fixture;
  fixture.List("a");
  fixture.List("b");
  fixture.registry.RecordPushBack(fixture.Replica("a"), milliseconds(3000), fixture.now);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(fixture.Choose()->replica->published.id, "b");
  fixture.registry.RecordPushBack(fixture.Replica("b"), milliseconds(1200), fixture.now);
  EXPECT_FALSE(fixture.Choose());
  EXPECT_EQ(fixture.reason, RefusalReason::kPushedBack);
  EXPECT_EQ(fixture.placer.TimeToBlockedReplica("svc", std::nullopt, 0, fixture.registry, fixture.hops,
                                                fixture.now),
            base::Duration(milliseconds(1200)));
  fixture.Advance(milliseconds(1200));
  EXPECT_EQ(fixture.Choose()->replica->published.id, "b");
}

// Guards against memory that grows with each replica that has ever left.
TEST(DepartureMemoryTest, IsForgottenInTheEnd) {
  GateFixture fixture;
  fixture.List("a");
  Leave(fixture);
  fixture.registry.MarkUnlisted("a", fixture.now);
  fixture.Advance(std::chrono::seconds(5));
  fixture.Advance(ReplicaRegistry::kDepartureMemory);
  fixture.List("a");
  EXPECT_TRUE(SendGate::CheckStanding(fixture.Replica(), fixture.registry, fixture.now).allowed());
}

}  // namespace
}  // namespace cornelplank::serving
