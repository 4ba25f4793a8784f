#include <gtest/gtest.h>

#include <map>

#include "libs/serving/serving.h"

namespace cornelplank::serving {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};

class Region final : public HopDirectory {
 public:
  std::vector<RemoteRegion> RemoteRegions(const std::string&) const override { return remote_regions; }
  std::optional<net::Tcp::endpoint> PickVm(const std::string&) override { return net::Tcp::endpoint(); }
  void ReportHopFailure(const net::Tcp::endpoint&) override {}
  std::vector<std::string> OwnRegionVms() const override { return std::vector<std::string>(30, "vm"); }

  std::vector<RemoteRegion> remote_regions;
};

/// Replicas a to f of 16 slots, of which `a` and `b` take 0.6, `c` and `d` 1.0, `e` and `f` 1.6 times the
/// usual time once `LearnSpeeds` was called.
struct PacedPlacementTest : ::testing::Test {
  PacedPlacementTest() {
    auto config = std::make_shared<RoutingConfig>();
    config->version = 1;
    config->services["llm"] = ServiceConfig{"llm", "/health", 100, {}, 0, ModelEngineConfig{16, 400000, 8}};
    route.services = {{"llm", 1}};
    route.target_latency = milliseconds(800);
    route.target_gap = milliseconds(400);
    config->routes.push_back(route);
    registry.SetConfig(config);
    query.route = &route;
    query.service = "llm";
    query.prompt_tokens = 2000;
    query.max_output_tokens = 200;
    for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
      PublishedReplica published;
      published.id = id;
      published.service = "llm";
      published.zone = "z";
      published.region = "r";
      published.slots = 16;
      registry.Upsert(published, kStart);
    }
  }

  void LearnSpeeds(std::optional<double> percent = 100) {
    for (int i = 0; i < 100; ++i) {
      double factor = 0.6;
      for (const auto& [id, replica] : registry.replicas()) {
        registry.RecordLoad(*replica, {0, 0, 16, percent}, kStart);
        factor = id < "c" ? 0.6 : id < "e" ? 1.0 : 1.6;
        if (pace::ServicePace* pace = registry.FindPace("llm")) {
          replica->pace.OnTokens(
              pace, 100, std::chrono::duration_cast<base::Duration>(milliseconds(500) * factor), kStart);
        }
      }
    }
  }
  TrackedReplica& Replica(const std::string& id) { return *registry.Find(id); }
  std::map<std::string, int> Draw(int times) {
    std::map<std::string, int> chosen;
    for (int i = 0; i < times; ++i) {
      const auto placement = placer.Choose(query, registry, hops, kStart, &reason);
      ++chosen[!placement           ? "none"
               : placement->replica ? placement->replica->published.id
                                    : placement->region];
    }
    return chosen;
  }

  RouteConfig route;
  ReplicaRegistry registry;
  Region hops;
  Placer placer{"own", "r", {}, 7};
  PlacementQuery query;
  RefusalReason reason = RefusalReason::kNone;
};

// Guards against a change of the choices, or of the random numbers behind them, for services whose replicas
// do not state how fast they are now.
TEST_F(PacedPlacementTest, LoadsOfThreeFiguresChangeNoChoice) {
  Placer same{"own", "r", {}, 7};
  std::vector<std::string> before;
  for (int i = 0; i < 50; ++i) {
    before.push_back(same.Choose(query, registry, hops, kStart, &reason)->replica->published.id);
  }
  LearnSpeeds(std::nullopt);
  for (const std::string& id : before) {
    const auto placement = placer.Choose(query, registry, hops, kStart, &reason);
    EXPECT_EQ(placement->replica->published.id, id);
    EXPECT_FALSE(placement->forecast);
  }
}

// Guards against slow replicas that get as much as fast ones, and against idle ones that get nothing.
TEST_F(PacedPlacementTest, FreeReplicasGetRequestsInProportionToTheirSpeed) {
  LearnSpeeds();
  auto chosen = Draw(3000);
  EXPECT_GT(chosen["a"] + chosen["b"], 1.3 * (chosen["c"] + chosen["d"]));
  EXPECT_GT(chosen["c"] + chosen["d"], 1.3 * (chosen["e"] + chosen["f"]));
  EXPECT_GT(std::min(chosen["e"], chosen["f"]), 60);
}

// Guards against a replica that is chosen although it states that it is slow at this moment.
TEST_F(PacedPlacementTest, ASlowPhaseMovesRequestsElsewhere) {
  LearnSpeeds();
  const int usual = Draw(3000)["a"];
  registry.RecordLoad(Replica("a"), {0, 0, 16, 250}, kStart);
  EXPECT_LT(Draw(3000)["a"], usual / 2);
}

struct HolderCase {
  const char* name;
  std::optional<double> percent;   // that the owner states
  OutstandingWork work;            // at the owner
  OutstandingWork work_of_second;  // at the second owner
  int expected;                    // 1: the owner, 2: the second owner, 0: others
};

struct HolderTest : PacedPlacementTest, ::testing::WithParamInterface<HolderCase> {
  std::string OnlyChoice() {
    const auto chosen = Draw(200);
    return chosen.size() == 1 ? chosen.begin()->first : "several";
  }
};

INSTANTIATE_TEST_SUITE_P(
    Cases, HolderTest,
    ::testing::Values(HolderCase{"Idle", {}, {}, {}, 1}, HolderCase{"PassingSlowdown", 250, {}, {}, 1},
                      HolderCase{"AnotherPromptAhead", {}, {2, 8000, 9000}, {}, 1},
                      HolderCase{"Behind", {}, {16, 200000, 200000}, {}, 2},
                      HolderCase{"BothBehind", {}, {16, 200000, 200000}, {16, 200000, 200000}, 0}),
    [](const auto& instance) { return instance.param.name; });

// Guards against a prefix that is read at several replicas without need, such as for a small difference of
// the expected time, and against its owner being filled while others idle.
TEST_P(HolderTest, APrefixIsKeptUntilItsOwnerIsMateriallyWorse) {
  LearnSpeeds();
  query.prompt_tokens = 6000;
  query.prefix_tokens = 2500;
  query.prefix_key = 42;
  const std::string owner = OnlyChoice();
  const auto first = registry.Find(owner);
  ASSERT_TRUE(first);
  query.excluded_replicas = {owner};
  // Without the first owner the second one becomes the first.
  const std::string second = OnlyChoice();
  ASSERT_NE(second, "several");
  query.excluded_replicas.clear();
  registry.BeginAttempt(*first, GetParam().work, 0, kStart);
  registry.BeginAttempt(Replica(second), GetParam().work_of_second, 0, kStart);
  if (GetParam().percent) registry.RecordLoad(*first, {0, 0, 16, GetParam().percent}, kStart);
  const auto chosen = Draw(200);
  if (GetParam().expected == 0) {
    EXPECT_FALSE(chosen.contains(owner));
    EXPECT_FALSE(chosen.contains(second));
    EXPECT_GT(chosen.size(), 1U);
    return;
  }
  EXPECT_EQ(chosen.size(), 1U);
  EXPECT_TRUE(chosen.contains(GetParam().expected == 1 ? owner : second)) << chosen.begin()->first;
}

struct FullCase {
  const char* name;
  bool engine;
  std::optional<double> percent;
  milliseconds later;
  std::optional<uint32_t> running;  // stated after the refusal
  bool blocked;
};

struct FullTest : PacedPlacementTest, ::testing::WithParamInterface<FullCase> {};

INSTANTIATE_TEST_SUITE_P(Cases, FullTest,
                         ::testing::Values(FullCase{"AtOnce", false, 100, milliseconds(0), {}, true},
                                           FullCase{"Later", false, 100, milliseconds(51), {}, false},
                                           FullCase{"FreeSlot", false, 100, milliseconds(5), 15, false},
                                           FullCase{"StillFull", false, 100, milliseconds(5), 16, true},
                                           FullCase{"WithQueue", true, 100, milliseconds(0), {}, false},
                                           FullCase{"SpeedUnknown", false, {}, milliseconds(0), {}, false}),
                         [](const auto& instance) { return instance.param.name; });

// Guards against requests to a replica without queue that has just refused one as full, and against replicas
// that are left alone although they have stated a free slot.
TEST_P(FullTest, AReplicaThatRefusedIsLeftAloneUntilItHasRoom) {
  auto config = std::make_shared<RoutingConfig>(*registry.config());
  if (!GetParam().engine) config->services["llm"].engine.reset();
  registry.SetConfig(config);
  for (const auto& [id, replica] : registry.replicas()) {
    registry.RecordLoad(*replica, {16, 0, 16, GetParam().percent}, kStart);
    registry.RecordFull(*replica, kStart);
    if (GetParam().running) {
      registry.RecordLoad(*replica, {*GetParam().running, 0, 16, GetParam().percent}, kStart);
    }
  }
  const auto placement = placer.Choose(query, registry, hops, kStart + GetParam().later, &reason);
  EXPECT_EQ(!placement, GetParam().blocked);
  if (GetParam().blocked) {
    EXPECT_EQ(reason, RefusalReason::kFull);
  }
}

struct TimeCase {
  const char* name;
  milliseconds time_left;
  bool sent_before;
  bool remote;
  const char* expected;  // "": a replica of the own region
  RefusalReason reason;
};

struct TimeTest : PacedPlacementTest, ::testing::WithParamInterface<TimeCase> {};

INSTANTIATE_TEST_SUITE_P(Cases, TimeTest,
                         ::testing::Values(TimeCase{"Enough", milliseconds(3000), false, true, "", {}},
                                           TimeCase{"NoneAnywhere", milliseconds(120), false, true, "none",
                                                    RefusalReason::kNoTime},
                                           TimeCase{"SentBefore", milliseconds(120), true, false, "", {}},
                                           TimeCase{
                                               "InAnotherRegion", milliseconds(1800), false, true, "far", {}},
                                           TimeCase{"NoOtherRegion", milliseconds(1800), false, false, "none",
                                                    RefusalReason::kNoTime}),
                         [](const auto& instance) { return instance.param.name; });

// Guards against requests that hold a slot until their deadline without a chance to end before it, and
// against refusals while another region can serve them or after they have been sent.
TEST_P(TimeTest, RequestsThatCannotEndInTimeGoElsewhereOrAreRefused) {
  LearnSpeeds();
  query.time_left = GetParam().time_left;
  query.may_run_already = GetParam().sent_before;
  if (GetParam().remote) hops.remote_regions = {{"far", milliseconds(10), milliseconds(165)}};
  if (GetParam().time_left == milliseconds(1800)) {  // long queues in the own region
    for (const auto& [id, replica] : registry.replicas()) {
      registry.BeginAttempt(*replica, {20, 1000000, 100000}, 0, kStart);
    }
  }
  const auto chosen = Draw(20);
  if (*GetParam().expected == 0) {
    for (const auto& [id, count] : chosen) EXPECT_EQ(id.size(), 1U) << id;
    return;
  }
  EXPECT_EQ(chosen.size(), 1U);
  EXPECT_TRUE(chosen.contains(GetParam().expected)) << chosen.begin()->first;
  if (GetParam().reason != RefusalReason::kNone) {
    EXPECT_EQ(reason, GetParam().reason);
  }
}

}  // namespace
}  // namespace cornelplank::serving
