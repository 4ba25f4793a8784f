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

/// Intervals and limits of one zone's planner.
struct PlannerSettings {
  /// Time after which an order that hasn't taken effect is sent again; it doubles up to `max_retry_delay`.
  base::Duration first_retry_delay = std::chrono::seconds{1};
  base::Duration max_retry_delay = std::chrono::seconds{60};
  /// Time without a report after which an engine counts as dead.
  base::Duration report_timeout = std::chrono::seconds{10};
  /// The zone's share of the weight store's rate, in GB/s.
  double store_gb_per_s = 1.0;
  /// The zone's share of the link to the weight store, in GB/s; empty when the store is in the same zone.
  std::optional<double> link_gb_per_s;
  size_t max_orders_per_plan = 16;
};

/// Plans the orders that bring the engines of one zone to the state that the configuration asks for. Its
/// state follows from the configuration and from later reports, so another VM can take over the planning at
/// any time. Not thread-safe.
class OrderPlanner {
 public:
  OrderPlanner(PlannerSettings settings, std::string zone);

  /// Sets the configuration with the sequence number `seq`; one that isn't newer than the current is ignored.
  void SetConfig(std::shared_ptr<const config::Document> document, uint64_t seq);
  /// Records a new load report of an engine.
  void RecordReport(const EngineReport& report, base::TimePoint now);
  /// Records a sign of life of the engine other than a full report, such as a recent load in the zone's
  /// gossip. The engine counts as live, with the models of its last report. An engine without a report is
  /// ignored.
  void RecordAlive(const std::string& engine, base::TimePoint now);
  /// Returns the orders to send now; none unless this node's configuration is confirmed and it is the zone's
  /// planner. Each order must pass SendGate before it is sent, and then `RecordAnswer` or `RecordNotSent`
  /// must be called.
  std::vector<EngineOrder> Plan(bool confirmed, bool is_planner, base::TimePoint now);
  /// Records the outcome of an order that was sent.
  void RecordAnswer(const EngineOrder& order, OrderAnswer answer);

  /// Records that SendGate refused the order. It is due again at once, and its retry delay doesn't grow.
  void RecordNotSent(const EngineOrder& order);

  uint64_t config_seq() const { return seq_; }
  /// Number of orders that haven't taken effect yet.
  size_t pending() const { return pending_.size(); }

 private:
  struct Engine {
    EngineReport report;
    base::TimePoint reported_at{};
    uint64_t accepted_fence = 0;  // highest fence that this incarnation accepted from this planner
    uint64_t refused_fence = 0;   // highest fence that this incarnation refused as old
  };
  struct Pending {
    base::TimePoint next_at{};       // when the order is due; the default value means at once
    base::Duration interval{};       // between the last two sendings; 0 before the first one
    bool transfer_reserved = false;  // the transfer counts only once against the rate limits
    std::string incarnation;         // of the engine; after its restart the order starts anew
  };
  /// Token bucket that limits the rate of model transfers. A transfer may start while the level isn't
  /// negative, and takes its whole size from it.
  struct TransferBucket {
    double level_gb = 0;
    base::TimePoint refilled_at{};
    void Refill(double rate, base::TimePoint now);
  };

  /// Returns every order that the reported state of the engines calls for, whether it is due or not.
  std::vector<EngineOrder> ComputeOrders(base::TimePoint now) const;
  void AddEngineOrders(const std::string& id, const Engine& engine, const EngineModels& desired,
                       base::TimePoint now, std::vector<EngineOrder>& orders) const;
  /// Takes the size of the order's model from the buckets, or nothing for an order without a transfer.
  /// Returns false, and takes nothing, while one of them is overdrawn.
  bool ReserveTransfer(const EngineOrder& order, const Engine& engine);

  PlannerSettings settings_;
  std::string zone_;
  std::shared_ptr<const config::Document> document_;
  uint64_t seq_ = 0;
  std::map<std::string, Engine> engines_;
  std::map<std::string, Pending> pending_;  // by order id
  TransferBucket store_bucket_;
  TransferBucket link_bucket_;
};

}  // namespace cornelplank::orders
