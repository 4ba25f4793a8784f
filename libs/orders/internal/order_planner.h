#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/config/config.h"
#include "libs/orders/internal/desired_state.h"
#include "libs/orders/internal/order.h"

namespace cornelplank::orders {

/// Limits of one zone's planner.
struct PlannerSettings {
  base::Duration first_retry_delay = std::chrono::seconds{1};
  base::Duration max_retry_delay = std::chrono::seconds{60};
  base::Duration report_timeout =
      std::chrono::seconds{10};  // an engine without a report for this long is dead
  double store_gb_per_s = 1.0;   // this zone's part of the weight store's rate, GB/s
  std::optional<double>
      link_gb_per_s;  // this zone's part of the link to the weight store, GB/s; none if local
  size_t max_orders_per_plan = 16;
};

/// Plans the orders for the engines of one zone. It keeps no state that another planner would need: all of it
/// follows from the configuration and from later reports. Not thread-safe.
class OrderPlanner {
 public:
  OrderPlanner(PlannerSettings settings, std::string zone);

  /// Takes over a configuration; an older one than the current is ignored.
  void SetConfig(std::shared_ptr<const config::Document> document, uint64_t seq);
  /// A fresh load report of an engine.
  void RecordReport(const EngineReport& report, base::TimePoint now);
  /// The engine answered something else, for example its load is young in the zone's gossip. Keeps it live
  /// without a full report; its models are taken from the last one.
  void RecordAlive(const std::string& engine, base::TimePoint now);
  /// Orders to send now; none unless the node is confirmed and is the zone's planner. Each must pass SendGate
  /// and be followed by `RecordAnswer` or `RecordNotSent`.
  std::vector<EngineOrder> Plan(bool confirmed, bool is_planner, base::TimePoint now);
  void RecordAnswer(const EngineOrder& order, OrderAnswer answer);

  /// The gate refused the order; it is due again at once and its interval doesn't grow.
  void RecordNotSent(const EngineOrder& order);

  uint64_t config_seq() const { return seq_; }
  /// Orders that are not yet in force.
  size_t pending() const { return pending_.size(); }

 private:
  struct Engine {
    EngineReport report;
    base::TimePoint reported_at{};
    uint64_t accepted_fence = 0;  // highest fence that this incarnation accepted from this planner
    uint64_t refused_seq = 0;     // this configuration is too old for the engine
  };
  struct Pending {
    base::TimePoint next_at{};
    base::Duration wait{};
    bool paid = false;        // the transfer counts only once against the limits
    std::string incarnation;  // of the engine; a restarted one starts anew
  };
  /// Tokens in GB; a transfer may start while the level isn't negative and takes its whole size.
  struct Bucket {
    double level = 0;
    base::TimePoint filled_at{};
    void Fill(double rate, base::TimePoint now);
  };

  std::vector<EngineOrder> Wanted(base::TimePoint now) const;
  void AddEngineOrders(const std::string& id, const Engine& engine, const EngineModels& desired,
                       base::TimePoint now, std::vector<EngineOrder>& orders) const;
  bool Pay(const EngineOrder& order, const Engine& engine);

  PlannerSettings settings_;
  std::string zone_;
  std::shared_ptr<const config::Document> document_;
  uint64_t seq_ = 0;
  std::map<std::string, Engine> engines_;
  std::map<std::string, Pending> pending_;  // by order id
  Bucket store_;
  Bucket link_;
};

}  // namespace cornelplank::orders
