#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "libs/gateway/internal/shared_state.h"
#include "libs/orders/orders.h"

namespace cornelplank::gateway {

/// Polls the load of the replicas that this VM is responsible for, joins it with what gossip says of the
/// others and of the other zones, and gives the engine orders of its zone. Blocks; runs on a thread of its
/// own.
class UpstreamPoller {
 public:
  explicit UpstreamPoller(SharedState* shared);

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

  std::vector<Engine> OwnZoneEngines(const ServingView& view) const;
  /// `own`: this VM is the one that tells the zone of this engine.
  void PollEngine(const Engine& engine, bool own);
  void PollCacheEvents(const Engine& engine, uint64_t incarnation);
  void ApplyGossipLoads(const std::vector<Engine>& engines);
  void ApplyZoneSums(const ServingView& view);
  void UpdateShare();
  void SendOrders(const ServingView& view, const std::vector<Engine>& engines);
  void SendOrder(const orders::EngineOrder& order, const std::vector<Engine>& engines);
  orders::SendContext MakeSendContext() const;

  SharedState* shared_;
  std::unique_ptr<http::Client> http_;
  orders::OrderPlanner planner_;
  admission::NodeShare node_share_;
  uint64_t planned_seq_ = 0;
  base::TimePoint share_updated_at_{};
  base::TimePoint next_full_poll_{};
  std::atomic<size_t> pending_orders_{0};
  std::atomic<bool> stopping_{false};
};

}  // namespace cornelplank::gateway
