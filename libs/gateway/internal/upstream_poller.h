#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "libs/gateway/internal/shared_state.h"
#include "libs/orders/orders.h"

namespace cornelplank::gateway {

/// Polls the load of the engines of the own zone that are assigned to this VM, adds what gossip reports of
/// the zone's other engines and of other zones, updates this VM's share of the zone's capacity, and sends the
/// engine orders of the zone while this VM is its planner. Blocks, and so runs on a thread of its own.
class UpstreamPoller {
 public:
  explicit UpstreamPoller(SharedState* shared);

  /// Polls once per poll interval until `Stop` is called; returns after the poll in progress.
  void Run();
  void Stop() { stopping_.store(true); }
  /// Number of orders that the engines have not yet carried out, for the dump.
  size_t pending_orders() const { return pending_orders_.load(); }

 private:
  struct Engine {
    std::string id;
    std::string address;
    std::vector<std::string> models;  // as configured
    uint16_t index = 0;               // position in gossip's name index
  };

  std::vector<Engine> OwnZoneEngines(const ServingView& view) const;
  /// Polls one engine. `own`: the engine is assigned to this VM, which therefore reports its load and
  /// failures; otherwise only an answer counts.
  void PollEngine(const Engine& engine, bool own);
  /// Reads the engine's cache events after the last known one.
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
