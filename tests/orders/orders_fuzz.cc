#include "tests/orders/orders_fuzz.h"

#include <algorithm>
#include <memory>
#include <vector>

#include "libs/orders/orders.h"
#include "tests/fuzz/fuzz_target.h"
#include "tests/membership/command_sequence.h"
#include "tests/orders/engine_model.h"

namespace cornelplank::orders {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kPlanners = 3;
constexpr int kEngines = 4;
constexpr base::Duration kConfirmedFor = seconds{14};

struct PlannerNode {
  OrderPlanner planner{PlannerSettings{}, "ost-1"};
  base::TimePoint confirmed_at{};
  bool paused = false;
  base::TimePoint paused_at{};
  base::TimePoint resumed_at{};
  std::vector<EngineOrder> unsent;  // planned but not yet sent
};

struct InFlight {
  EngineOrder order;
  int planner = 0;
};

class OrdersSimulation {
 public:
  explicit OrdersSimulation(OrdersFault fault) : fault_(fault) {
    for (int i = 0; i < kEngines; ++i) engines_.emplace_back(EngineId(i), i % 2 == 0);
    Publish(1);
    for (int i = 0; i < kPlanners; ++i) Update(i);
  }

  std::optional<std::string> Step(fuzz::CommandWord word) {
    const int command = word.Take(16);
    const int planner = word.Take(kPlanners);
    const auto engine = static_cast<size_t>(word.Take(kEngines));
    if (command == 0) Publish(head_ + 1 + static_cast<uint64_t>(word.Take(3)));
    if (command == 1 || command == 2) Update(planner);
    if (command == 3 || command == 4) ReportAll(planner);
    if (command >= 5 && command <= 7) Plan(planner);
    if (command == 8 || command == 9) Send(planner);
    if (command == 10 || command == 11) {
      Deliver(static_cast<size_t>(word.Take(64)), word.Take(3) == 0, word.Take(2) == 0);
    }
    if (command == 12) Pause(planner);
    if (command == 13) Resume(planner);
    if (command == 14) Restart(engine);
    if (command == 15) now_ += milliseconds{100 * (1 + word.Take(word.Take(8) == 0 ? 300 : 12))};
    return violation_;
  }

  /// Gives every planner the newest configuration and runs them all; the engines must reach the state that it
  /// asks for.
  std::optional<std::string> Finish() {
    for (int i = 0; i < kPlanners; ++i) Resume(i);
    while (!network_.empty()) Deliver(0, false, true);
    for (int round = 0; round < 30; ++round) {
      now_ += seconds{5};
      for (int i = 0; i < kPlanners; ++i) {
        Update(i);
        ReportAll(i);
        Plan(i);
        Send(i);
      }
      while (!network_.empty()) Deliver(0, false, true);
    }
    int with_x = 0;
    for (const EngineModel& engine : engines_) {
      const auto found = engine.models().find("m");
      if (found == engine.models().end() || found->second != std::to_string(head_)) {
        Fail(engine.id() + " did not reach the state of the newest configuration");
      }
      with_x += engine.models().contains("x") ? 1 : 0;
    }
    if (with_x < 2 || !engines_[0].models().contains("x")) Fail("model x lacks a replica");
    return violation_;
  }

 private:
  void Fail(std::string text) {
    if (!violation_) violation_ = std::move(text);
  }
  PlannerNode& Node(int i) { return nodes_[static_cast<size_t>(i)]; }

  void Restart(size_t engine) {
    engines_[engine].Restart();
    max_versions_[engine] = 0;
  }
  void Publish(uint64_t seq) {
    head_ = seq;
    document_ = std::make_shared<const config::Document>(EngineDocument(kEngines, std::to_string(seq)));
  }
  void Update(int i) {
    if (Node(i).paused) return;
    Node(i).planner.SetConfig(document_, head_);
    Node(i).confirmed_at = now_;
  }
  void ReportAll(int i) {
    if (Node(i).paused) return;
    for (const EngineModel& engine : engines_) Node(i).planner.RecordReport(engine.Report(), now_);
  }
  bool Confirmed(int i) { return now_ - Node(i).confirmed_at < kConfirmedFor; }
  void Plan(int i) {
    if (Node(i).paused) return;
    std::vector<EngineOrder> planned = Node(i).planner.Plan(Confirmed(i), true, now_);
    for (EngineOrder& order : planned) {
      if (fault_ == OrdersFault::kLowFence) order.fence = 1;
      Node(i).unsent.push_back(std::move(order));
    }
  }
  void Pause(int i) {
    if (!Node(i).paused) Node(i).paused_at = now_;
    Node(i).paused = true;
  }
  void Resume(int i) {
    if (Node(i).paused) Node(i).resumed_at = now_;
    Node(i).paused = false;
  }

  void Send(int i) {
    PlannerNode& node = Node(i);
    if (node.paused) return;
    for (const EngineOrder& order : node.unsent) {
      const uint64_t seq = node.planner.config_seq();
      EngineOrder checked = order;
      if (fault_ == OrdersFault::kLowFence) checked.fence = seq;
      const SendContext context{now_, seq, seq, Confirmed(i), true};
      const bool sent =
          fault_ == OrdersFault::kNoGate || SendGate::Check(checked, context) == GateVerdict::kSend;
      if (!sent) node.planner.RecordNotSent(order);
      if (!sent) continue;
      if (!Confirmed(i)) Fail("an unconfirmed node sent an order");
      const bool was_paused = order.planned_at <= node.paused_at && node.resumed_at > node.paused_at;
      if (was_paused && node.resumed_at - node.paused_at > seconds{1}) Fail("sent an order after a pause");
      network_.push_back({order, i});
    }
    node.unsent.clear();
  }

  void Deliver(size_t pick, bool keep, bool answer) {
    if (network_.empty()) return;
    const size_t index = pick % network_.size();
    const InFlight message = network_[index];
    if (!keep || network_.size() > 100) network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
    for (size_t i = 0; i < engines_.size(); ++i) {
      EngineModel& engine = engines_[i];
      if (engine.id() != message.order.engine) continue;
      const OrderAnswer result = engine.Receive(message.order);
      const bool answer_received = answer && !Node(message.planner).paused;
      if (answer_received) Node(message.planner).planner.RecordAnswer(message.order, result);
      const auto model = engine.models().find("m");
      const uint64_t version = model == engine.models().end() ? 0 : std::stoull(model->second);
      if (engine.honours_fence() && version < max_versions_[i]) {
        Fail(engine.id() + " replaced a model by an older version");
      }
      max_versions_[i] = std::max(max_versions_[i], version);
    }
  }

  OrdersFault fault_;
  base::TimePoint now_{std::chrono::hours{1}};
  uint64_t head_ = 0;
  std::shared_ptr<const config::Document> document_;
  std::vector<PlannerNode> nodes_{kPlanners};
  std::vector<EngineModel> engines_;
  std::vector<uint64_t> max_versions_ = std::vector<uint64_t>(kEngines, 0);
  std::vector<InFlight> network_;
  std::optional<std::string> violation_;
};

const bool kRegistered = fuzz::RegisterFuzzTarget(
    {"orders", [](uint64_t seed, uint64_t steps) { return FuzzOrders(OrdersFault::kNone, seed, steps); }});

}  // namespace

std::optional<std::string> FuzzOrders(OrdersFault fault, uint64_t seed, uint64_t steps) {
  return fuzz::RunCommands(seed, steps, fault == OrdersFault::kNone, [&] { return OrdersSimulation(fault); });
}

}  // namespace cornelplank::orders
