#include <gtest/gtest.h>

#include "libs/serving/serving.h"

namespace cornelplank::serving {
namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

class FixedHops final : public HopDirectory {
 public:
  std::vector<RemoteRegion> RemoteRegions(const std::string&) const override { return offers; }
  std::optional<net::Tcp::endpoint> PickVm(const std::string&) override { return net::Tcp::endpoint(); }
  void ReportHopFailure(const net::Tcp::endpoint&) override {}
  std::vector<std::string> OwnRegionVms() const override { return vms; }

  std::vector<RemoteRegion> offers;
  std::vector<std::string> vms{"own"};
};

struct PlacementTest : ::testing::Test {
  PlacementTest() {
    auto config = std::make_shared<RoutingConfig>();
    config->version = 1;
    config->services["llm"] =
        ServiceConfig{"llm", "/health", 100, std::chrono::seconds(3), 2.9, ModelEngineConfig{64, 400000}};
    route.name = "r";
    route.services = {{"llm", 1}};
    config->routes.push_back(route);
    table.SetConfig(config);
    query.route = &route;
    query.service = "llm";
  }

  void AddReplica(const std::string& id, const std::string& zone = "z", const std::string& region = "r") {
    PublishedReplica facts;
    facts.id = id;
    facts.service = "llm";
    facts.zone = zone;
    facts.region = region;
    facts.slots = 64;
    facts.incarnation = 1;
    table.Upsert(facts, kStart);
  }

  std::optional<Placement> Choose(base::TimePoint now = kStart) {
    return placer.Choose(query, table, hops, now, &code);
  }

  RouteConfig route;
  ReplicaRegistry table;
  FixedHops hops;
  Placer placer{"own", "r", {}, 7};
  PlacementQuery query;
  RefusalReason code = RefusalReason::kNone;
};

// Guards against reading the same shared prompt parts on every replica.
TEST_F(PlacementTest, KeepsASharedPrefixAtOneReplica) {
  for (const char* id : {"a", "b", "c", "d"}) AddReplica(id);
  query.shared_key = 42;
  query.shared_tokens = 5000;
  query.prompt_tokens = 12000;
  const std::string owner = Choose()->replica->published.id;
  for (int i = 0; i < 50; ++i) EXPECT_EQ(Choose()->replica->published.id, owner);
}

// Guards against an owner that is overloaded while its neighbours are idle.
TEST_F(PlacementTest, LeavesAnOwnerThatIsBehind) {
  for (const char* id : {"a", "b", "c", "d"}) AddReplica(id);
  query.shared_key = 42;
  query.shared_tokens = 5000;
  query.prompt_tokens = 12000;
  const auto owner = Choose()->replica;
  table.BeginAttempt(*owner, {10, 200000, 200000}, 0, kStart);
  EXPECT_NE(Choose()->replica, owner);
}

struct CrowdedCase {
  const char* name;
  int priority;
  uint32_t owner_requests;
  bool stays;
};
class CrowdedTest : public PlacementTest, public ::testing::WithParamInterface<CrowdedCase> {};

// Guards against prompts that engines interrupt for more urgent ones and read again: less urgent requests
// leave slots free for them.
TEST_P(CrowdedTest, LeavesSlotsToMoreUrgentRequests) {
  for (const char* id : {"a", "b", "c", "d"}) AddReplica(id);
  query.shared_key = 42;
  query.shared_tokens = 5000;
  query.prompt_tokens = 12000;
  route.priority = GetParam().priority;
  const auto owner = Choose()->replica;
  table.BeginAttempt(*owner, {GetParam().owner_requests, 0, 0}, 0, kStart);
  EXPECT_EQ(Choose()->replica == owner, GetParam().stays);
}

// Of 64 slots priority 2 may take 53 before crowding costs more than reading the prefix again.
INSTANTIATE_TEST_SUITE_P(Loads, CrowdedTest,
                         ::testing::Values(CrowdedCase{"Room", 2, 50, true},
                                           CrowdedCase{"LeastUrgentAboveItsShare", 2, 58, false},
                                           CrowdedCase{"UrgentInReservedSlots", 0, 58, true},
                                           CrowdedCase{"UrgentAtAFullOne", 0, 67, false}),
                         [](const auto& info) { return info.param.name; });

// Guards against an offer that only the least loaded replica can keep: other regions fill it at once.
TEST_F(PlacementTest, OffersTheWaitAtMoreThanTheBestReplica) {
  for (const char* id : {"a", "b", "c", "d", "e"}) AddReplica(id);
  for (const char* id : {"a", "b", "c", "d"}) table.BeginAttempt(*table.Find(id), {1, 55000, 0}, 0, kStart);
  EXPECT_GE(*placer.EstimateRegionWait("llm", table, kStart), std::chrono::milliseconds(900));
}

// Guards against all VMs taking the same one of several idle replicas.
TEST_F(PlacementTest, SpreadsOverEqualReplicas) {
  for (const char* id : {"a", "b", "c", "d"}) AddReplica(id);
  std::set<std::string> chosen;
  for (int i = 0; i < 100; ++i) chosen.insert(Choose()->replica->published.id);
  EXPECT_EQ(chosen.size(), 4U);
}

struct UnusableCase {
  const char* name;
  void (*make)(PlacementTest& test);
  RefusalReason code;
};

class UnusableTest : public PlacementTest, public ::testing::WithParamInterface<UnusableCase> {};

// Guards against work for replicas that may get none, in each of the ways that this becomes known.
TEST_P(UnusableTest, GetsNothing) {
  AddReplica("a");
  GetParam().make(*this);
  EXPECT_FALSE(Choose());
  EXPECT_EQ(code, GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(
    Replicas, UnusableTest,
    ::testing::Values(
        UnusableCase{"Leaving",
                     [](PlacementTest& test) {
                       PublishedReplica facts = test.table.Find("a")->published;
                       facts.leaving = true;
                       test.table.Upsert(facts, kStart);
                     },
                     RefusalReason::kNoReplica},
        UnusableCase{"Evacuated", [](PlacementTest& test) { test.table.SetEvacuated("z", true, kStart); },
                     RefusalReason::kNoReplica},
        UnusableCase{"Unlisted",
                     [](PlacementTest& test) {
                       test.table.MarkUnlisted("a", kStart);
                       test.table.Tick(kStart + ReplicaRegistry::kUnlistedGrace +
                                       std::chrono::milliseconds(1));
                     },
                     RefusalReason::kNoReplica},
        UnusableCase{"OutsideTheHomes", [](PlacementTest& test) { test.route.home_regions = {"other"}; },
                     RefusalReason::kNotAllowed},
        UnusableCase{"TriedBefore", [](PlacementTest& test) { test.query.excluded_replicas = {"a"}; },
                     RefusalReason::kNoReplica},
        UnusableCase{"ColdWithoutShare",
                     [](PlacementTest& test) {
                       const auto replica = test.table.Find("a");
                       test.table.MarkCold(*replica, std::chrono::seconds(3), kStart);
                       test.table.BeginAttempt(*replica, {1, 0, 0}, 0, kStart);
                     },
                     RefusalReason::kCold}),
    [](const auto& info) { return info.param.name; });

// Guards against a region that serves nothing because the store lost its entries for a moment.
TEST_F(PlacementTest, UsesUnlistedReplicasForTheirGrace) {
  AddReplica("a");
  table.MarkUnlisted("a", kStart);
  table.Tick(kStart + std::chrono::seconds(2));
  EXPECT_TRUE(Choose(kStart + std::chrono::seconds(2)));
  AddReplica("b");
  EXPECT_EQ(Choose(kStart + std::chrono::seconds(2))->replica->published.id, "b");
}

TEST_F(PlacementTest, HopsOnlyToRegionsWhereTheDataMayBe) {
  route.home_regions = {"home"};
  hops.offers = {{"near", std::chrono::milliseconds(0), std::chrono::milliseconds(1)},
                 {"home", std::chrono::milliseconds(300), std::chrono::milliseconds(160)}};
  ASSERT_TRUE(Choose());
  EXPECT_EQ(Choose()->region, "home");
  query.may_hop = false;
  EXPECT_FALSE(Choose());
}

struct ColdCase {
  const char* name;
  size_t vms;
  double per_second;
};

class ColdStartLimiterTest : public ::testing::TestWithParam<ColdCase> {};

// Guards against VMs that together send a cold replica more than it bears in any second (its rate and a half,
// and three), whether they agree on who lives or each misses some of the others.
TEST_P(ColdStartLimiterTest, HoldsForTheWholeFleet) {
  const auto& [name, count, per_second] = GetParam();
  base::Random random(11);
  std::vector<std::string> all;
  for (size_t i = 0; i < count; ++i) all.push_back("vm" + std::to_string(i));
  for (int replica = 0; replica < 200; ++replica) {
    const std::string id = "replica" + std::to_string(replica);
    std::vector<base::Duration> sends;
    for (const std::string& own : all) {
      std::vector<std::string> seen{own};
      for (const std::string& vm : all) {
        if (vm != own && random.Below(20) != 0) seen.push_back(vm);
      }
      const base::Duration interval = ColdStartLimiter::Interval(id, own, seen, per_second);
      if (interval.count() == 0) continue;
      const auto first = std::chrono::duration_cast<base::Duration>(std::chrono::seconds(1) * random.Unit());
      for (base::Duration at = first; at < std::chrono::seconds(5); at += interval) sends.push_back(at);
    }
    std::sort(sends.begin(), sends.end());
    for (size_t i = 0; i < sends.size(); ++i) {
      const auto end = std::lower_bound(sends.begin(), sends.end(), sends[i] + std::chrono::seconds(1));
      EXPECT_LE(static_cast<double>(end - sends.begin()) - static_cast<double>(i), per_second * 1.5 + 3);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, ColdStartLimiterTest,
                         ::testing::Values(ColdCase{"One", 1, 2.9}, ColdCase{"Three", 3, 2.9},
                                           ColdCase{"Twenty", 20, 2.9}, ColdCase{"Sixty", 60, 2.9},
                                           ColdCase{"SlowReplica", 20, 0.7}, ColdCase{"FastReplica", 20, 12}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::serving
