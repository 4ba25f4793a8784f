#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "libs/gateway/internal/core.h"
#include "libs/orders/orders.h"

namespace cornelplank::gateway {

/// Polls the load of the replicas that this VM is responsible for, joins it with what gossip says of the
/// others and of the other zones, and gives the engine orders of its zone. Blocks; runs on a thread of its
/// own.
class UpstreamPoller {
 public:
  explicit UpstreamPoller(Core* core);

  /// Returns soon after `Stop`.
  void Run();
  void Stop() { stopping_.store(true); }
  /// Orders that are not yet in force, for the dump.
  size_t pending_orders() const { return pending_orders_.load(); }

 private:
  struct Engine {
    std::string id;
    std::string address;
    std::vector<std::string> models;  // as configured
    uint16_t index = 0;               // in the name index of gossip
  };

  std::vector<Engine> OwnZoneEngines(const NodeView& view) const;
  /// `own`: this VM is the one that tells the zone of this engine.
  void Poll(const Engine& engine, bool own);
  void PollCache(const Engine& engine, uint64_t incarnation);
  void TakeGossip(const std::vector<Engine>& engines);
  void TakeZoneSums(const NodeView& view);
  void ShareFraction();
  void GiveOrders(const NodeView& view, const std::vector<Engine>& engines);
  void Send(const orders::EngineOrder& order, const std::vector<Engine>& engines);
  orders::SendContext Context() const;

  Core* core_;
  std::unique_ptr<http::Client> http_;
  orders::OrderPlanner planner_;
  admission::NodeShare share_;
  uint64_t planned_seq_ = 0;
  base::TimePoint shared_at_{};
  base::TimePoint next_full_poll_{};
  std::atomic<size_t> pending_orders_{0};
  std::atomic<bool> stopping_{false};
};

}  // namespace cornelplank::gateway
