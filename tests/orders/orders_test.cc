#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libs/orders/orders.h"
#include "tests/orders/engine_model.h"

namespace cornelplank::orders {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{std::chrono::hours{1}};

std::shared_ptr<const config::Document> Shared(config::Document document) {
  return std::make_shared<const config::Document>(std::move(document));
}

OrderPlanner PlannerAt(const std::string& version, uint64_t seq, const std::vector<EngineModel>& engines) {
  OrderPlanner planner(PlannerSettings{}, "ost-1");
  planner.SetConfig(Shared(EngineDocument(2, version)), seq);
  for (const EngineModel& engine : engines) planner.RecordReport(engine.Report(), kStart);
  return planner;
}

/// Plans, sends and reports once a second for `count` seconds. Returns the orders that were sent.
std::vector<EngineOrder> Drive(OrderPlanner& planner, std::vector<EngineModel>& engines, base::TimePoint from,
                               int count) {
  std::vector<EngineOrder> sent;
  for (int i = 0; i < count; ++i) {
    const base::TimePoint now = from + seconds{i};
    for (const EngineOrder& order : planner.Plan(true, true, now)) {
      sent.push_back(order);
      for (EngineModel& engine : engines) {
        if (engine.id() == order.engine) planner.RecordAnswer(order, engine.Receive(order));
      }
    }
    for (const EngineModel& engine : engines) planner.RecordReport(engine.Report(), now);
  }
  return sent;
}

// Guards against a desired state that lacks a listed model because a planner sees fewer engines, which would
// make two planners undo each other's orders.
TEST(DesiredStateTest, MissingEnginesOnlyAdd) {
  const config::Document document = EngineDocument(4, "1");
  const DesiredState full = ComputeDesiredState(document, "ost-1", {"e0", "e1", "e2", "e3"});
  int with_x = 0;
  for (const auto& [id, models] : full) {
    EXPECT_EQ(models.at("m"), "1");
    with_x += models.contains("x") ? 1 : 0;
  }
  EXPECT_EQ(with_x, 2);
  for (const std::set<std::string>& live :
       {std::set<std::string>{"e1", "e2", "e3"}, {"e0", "e3"}, {"e2"}, {}}) {
    const DesiredState fewer = ComputeDesiredState(document, "ost-1", live);
    for (const auto& [id, models] : full) {
      for (const auto& [model, version] : models) {
        const bool extra = model == "x" && id != "e0";
        EXPECT_TRUE(extra || fewer.at(id).contains(model)) << id << " " << model;
      }
    }
  }
  EXPECT_TRUE(ComputeDesiredState(document, "vest-1", {"e0"}).empty());
}

// Guards against orders that are repeated too often, not at all, or after they have taken effect.
TEST(OrderPlannerTest, RepeatsDoublingUntilInForce) {
  std::vector<EngineModel> engines{{"e1", false}};
  OrderPlanner planner = PlannerAt("1", 7, engines);
  std::vector<int> sent_at;
  for (int second = 0; second < 200; ++second) {
    planner.RecordAlive("e1", kStart + seconds{second});
    for (const EngineOrder& order : planner.Plan(true, true, kStart + seconds{second})) {
      if (order.model != "m") continue;
      EXPECT_EQ(order.fence, 7U);
      sent_at.push_back(second);
    }
  }
  EXPECT_EQ(sent_at, (std::vector<int>{0, 1, 3, 7, 15, 31, 63, 123, 183}));
  Drive(planner, engines, kStart + seconds{300}, 100);
  EXPECT_EQ(engines[0].models().at("m"), "1");
  EXPECT_EQ(planner.pending(), 0U);
  EXPECT_TRUE(Drive(planner, engines, kStart + seconds{400}, 100).empty());
}

// Guards against an order that waits for up to a minute because SendGate refused it before: it was never
// sent, so its retry delay must not grow.
TEST(OrderPlannerTest, RefusedOrderIsDueAgain) {
  std::vector<EngineModel> engines{{"e1", false}};
  OrderPlanner planner = PlannerAt("1", 7, engines);
  const std::string id = planner.Plan(true, true, kStart).at(0).id;
  const auto due = [&](base::Duration after) {
    for (const EngineOrder& order : planner.Plan(true, true, kStart + after)) {
      if (order.id == id) return true;
    }
    return false;
  };
  EXPECT_FALSE(due(seconds{0}));
  for (int attempt = 0; attempt < 5; ++attempt) {
    planner.RecordNotSent(MakeEngineOrder("e1", OrderAction::kLoad, "m", "1", 7, kStart));
    EXPECT_TRUE(due(seconds{0}));
  }
  EXPECT_FALSE(due(milliseconds{900}));
  EXPECT_TRUE(due(seconds{1}));
}

// Guards against orders from nodes that are unconfirmed or not the planner, and against orders to engines
// without a report for 10 s.
TEST(OrderPlannerTest, SendsOnlyAsConfirmedPlannerToLiveEngines) {
  std::vector<EngineModel> engines{{"e0", true}, {"e1", false}};
  OrderPlanner planner = PlannerAt("1", 7, engines);
  EXPECT_TRUE(planner.Plan(false, true, kStart).empty());
  EXPECT_TRUE(planner.Plan(true, false, kStart).empty());
  EXPECT_TRUE(planner.Plan(true, true, kStart + seconds{10}).empty());
}

// Guards against transfers beyond the rate of the weight store or of the link to it.
TEST(OrderPlannerTest, LimitsTransfers) {
  config::Document document = EngineDocument(8, "1");
  document.models["m"].size_gb = 10;
  PlannerSettings settings;
  settings.link_gb_per_s = 0.0175;  // 140 Mbit/s
  OrderPlanner planner(settings, "ost-1");
  planner.SetConfig(Shared(document), 3);
  std::set<std::string> started;
  for (int second = 0; second < 1000; ++second) {
    const base::TimePoint now = kStart + seconds{second};
    for (int i = 0; i < 8; ++i) planner.RecordReport({EngineId(i), "1", false, {{"x", "1"}}}, now);
    for (const EngineOrder& order : planner.Plan(true, true, now)) started.insert(order.engine);
  }
  EXPECT_EQ(started.size(), 2U) << "a transfer occupies the link for 570 s";
}

struct GateCase {
  const char* name;
  SendContext context;
  GateVerdict expected;
};

class SendGateTest : public testing::TestWithParam<GateCase> {};

// Guards against an order that is sent after a pause, with an older configuration, by an unconfirmed node or
// by one that isn't the planner.
TEST_P(SendGateTest, ChecksTheMomentOfSending) {
  const EngineOrder order = MakeEngineOrder("e0", OrderAction::kLoad, "m", "1", 7, kStart);
  EXPECT_EQ(SendGate::Check(order, GetParam().context), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SendGateTest,
    testing::Values(GateCase{"Fresh", {kStart + milliseconds{1}, 7, 7, true, true}, GateVerdict::kSend},
                    GateCase{"Paused", {kStart + seconds{2}, 7, 7, true, true}, GateVerdict::kPlanTooOld},
                    GateCase{"NewerConfig", {kStart, 8, 8, true, true}, GateVerdict::kOtherConfig},
                    GateCase{"NewerHeadKnown", {kStart, 7, 8, true, true}, GateVerdict::kOtherConfig},
                    GateCase{"Unconfirmed", {kStart, 7, 7, false, true}, GateVerdict::kUnconfirmed},
                    GateCase{"NotPlanner", {kStart, 7, 7, true, false}, GateVerdict::kNotPlanner}),
    [](const auto& info) { return info.param.name; });

/// Runs with an engine that checks fences (true) and with one that ignores them (false).
class EngineKindTest : public testing::TestWithParam<bool> {
 protected:
  std::string Id() const { return GetParam() ? "e0" : "e1"; }
};

// Guards against two planners whose orders for one configuration differ, so that they conflict.
TEST_P(EngineKindTest, TwoPlannersSendTheSameOrders) {
  std::vector<EngineModel> engines{{Id(), GetParam()}};
  OrderPlanner first = PlannerAt("1", 7, engines);
  OrderPlanner second = PlannerAt("1", 7, engines);
  const auto a = first.Plan(true, true, kStart);
  const auto b = second.Plan(true, true, kStart + seconds{1});
  ASSERT_FALSE(a.empty());
  ASSERT_EQ(a.size(), b.size());
  for (size_t i = 0; i < a.size(); ++i) EXPECT_EQ(a[i].id, b[i].id);
  for (const auto* orders : {&a, &b, &a}) {
    for (const EngineOrder& order : *orders) EXPECT_EQ(engines[0].Receive(order), OrderAnswer::kAccepted);
  }
  EXPECT_EQ(engines[0].models().at("m"), "1");
}

// Guards against a late order of an older configuration whose effect stays: engines that check fences refuse
// it, and for others the planner corrects it after the next report.
TEST_P(EngineKindTest, LateOrderOfAnOlderConfiguration) {
  std::vector<EngineModel> engines{{Id(), GetParam()}};
  OrderPlanner old_planner = PlannerAt("1", 7, engines);
  const auto late = old_planner.Plan(true, true, kStart);
  OrderPlanner planner = PlannerAt("2", 9, engines);
  Drive(planner, engines, kStart, 5);
  ASSERT_EQ(engines[0].models().at("m"), "2");
  for (const EngineOrder& order : late) {
    const OrderAnswer answer = engines[0].Receive(order);
    EXPECT_EQ(answer, GetParam() ? OrderAnswer::kOldFence : OrderAnswer::kAccepted);
    old_planner.RecordAnswer(order, answer);
  }
  EXPECT_EQ(engines[0].models().at("m"), GetParam() ? "2" : "1");
  EXPECT_EQ(old_planner.Plan(true, true, kStart + seconds{9}).empty(), GetParam());
  Drive(planner, engines, kStart + seconds{5}, 5);
  EXPECT_EQ(engines[0].models().at("m"), "2") << "the planner did not correct the late order";
}

// Guards against an engine that has nothing to change between two configurations, so that its fence stays low
// and it accepts a late order of a configuration in between.
TEST_P(EngineKindTest, UnchangedStateStillRaisesTheFence) {
  std::vector<EngineModel> engines{{Id(), GetParam()}};
  OrderPlanner planner = PlannerAt("2", 7, engines);
  Drive(planner, engines, kStart, 5);
  OrderPlanner between = PlannerAt("1", 8, engines);
  const auto late = between.Plan(true, true, kStart);
  planner.SetConfig(Shared(EngineDocument(2, "2")), 9);
  Drive(planner, engines, kStart + seconds{5}, 5);
  for (const EngineOrder& order : late) engines[0].Receive(order);
  EXPECT_EQ(engines[0].models().at("m"), GetParam() ? "2" : "1");
}

// Guards against an engine that lost its models and fence in a restart and doesn't get the configured models
// back, whatever late order reaches it first.
TEST_P(EngineKindTest, RestartIsRepaired) {
  std::vector<EngineModel> engines{{Id(), GetParam()}};
  OrderPlanner old_planner = PlannerAt("1", 7, engines);
  const auto late = old_planner.Plan(true, true, kStart);
  OrderPlanner planner = PlannerAt("2", 9, engines);
  Drive(planner, engines, kStart, 5);
  engines[0].Restart();
  for (const EngineOrder& order : late) {
    EXPECT_EQ(engines[0].Receive(order), OrderAnswer::kAccepted) << "a restarted engine has no fence";
  }
  Drive(planner, engines, kStart + seconds{5}, 5);
  EXPECT_EQ(engines[0].models().at("m"), "2");
}

INSTANTIATE_TEST_SUITE_P(Kinds, EngineKindTest, testing::Values(true, false),
                         [](const auto& info) { return info.param ? "HonoursFence" : "IgnoresFence"; });

}  // namespace
}  // namespace cornelplank::orders
