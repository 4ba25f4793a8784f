#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "libs/base/base.h"
#include "libs/config/config.h"
#include "libs/gateway/internal/admission_gate.h"
#include "libs/gateway/internal/client_table.h"
#include "libs/gateway/internal/drain_clock.h"
#include "libs/gateway/internal/gateway_metrics.h"
#include "libs/gateway/internal/gateway_settings.h"
#include "libs/gateway/internal/incarnation_monitor.h"
#include "libs/gateway/internal/serving_view.h"
#include "libs/gateway/internal/upstream_limits.h"
#include "libs/http/http.h"
#include "libs/membership/membership.h"
#include "libs/retry/retry.h"
#include "libs/routing/routing.h"
#include "libs/rpc/rpc.h"
#include "libs/tickets/tickets.h"
#include "libs/upstreams/upstreams.h"

namespace cornelplank::gateway {

/// The replica table and its lock. Request threads read the replicas through the serving view instead.
struct ReplicaTableState {
  std::mutex mutex;
  upstreams::UpstreamTable table;
};

/// Budgets of retries and hedges, and the delays after which hedges start.
struct RetryState {
  std::mutex mutex;
  retry::RetryBudget retries;
  retry::HedgeBudget hedges;
  std::map<std::string, retry::HedgeDelay> delays;  // by "PARTNER/CLASS"; learnt from first-token times
};

/// The tickets that this VM minted.
struct TicketState {
  TicketState(const std::string& zone, const std::string& vm, uint64_t incarnation)
      : table(tickets::TicketCodec(zone, vm, incarnation, tickets::TicketCodec::RandomKey()), {}) {}
  std::mutex mutex;
  tickets::TicketTable table;
};

/// The VMs of the fleet and the state that gossip exchanges between them.
struct FleetState {
  FleetState(const membership::VmListEntry& own, uint64_t seed, base::TimePoint now)
      : table(own, now), gossip({}, {}, table, seed, now) {}
  std::mutex mutex;
  membership::VmTable table;
  membership::GossipState gossip;
};

/// The configuration store; empty until a configuration has been received.
struct ConfigState {
  std::mutex mutex;
  std::optional<config::ConfigStore> store;
  std::string last_reason;  // of the last entry decided, or of the last entry or snapshot not applied
};

/// The state of one entry VM, shared by its request threads and background threads. Each part that
/// changes has its own lock or is thread-safe.
struct SharedState {
  SharedState(GatewaySettings node_settings, const base::Clock& node_clock,
              const membership::VmListEntry& own);

  const GatewaySettings settings;
  const base::Clock& clock;
  const uint64_t incarnation;
  GatewayMetrics metrics;
  base::RcuPointer<ServingView> view;
  ClientTable clients;
  ReplicaTableState replicas;
  RetryState retry;
  TicketState tickets;
  FleetState fleet;
  ConfigState config;
  AdmissionGate admission;
  UpstreamLimits limits;
  IncarnationMonitor incarnation_monitor;
  routing::ScoredRouter router;
  std::unique_ptr<http::Client> http;
  std::unique_ptr<rpc::Node> node;  // set once, before the first request
  std::atomic<bool> draining{false};
  DrainClock drain;
  std::atomic<uint64_t> next_request{1};

  /// Returns 16 hexadecimal digits, unique over all VMs and restarts with overwhelming probability.
  std::string NewRequestId();
  /// Returns a copy of the current serving view; it keeps the configuration that it refers to alive.
  ServingView View() const { return *view.Read(); }
};

}  // namespace cornelplank::gateway
