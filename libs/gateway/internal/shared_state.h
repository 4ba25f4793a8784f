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
#include "libs/gateway/internal/gateway_metrics.h"
#include "libs/gateway/internal/gateway_settings.h"
#include "libs/gateway/internal/identity_monitor.h"
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

/// Replica states under their lock. Request threads read the cells in the node view instead.
struct ReplicaTableState {
  std::mutex mutex;
  upstreams::UpstreamTable table;
};

/// Budgets of extra attempts.
struct RetryState {
  std::mutex mutex;
  retry::RetryBudget retries;
  retry::HedgeBudget hedges;
  std::map<std::string, retry::HedgeDelay> delays;  // by "PARTNER/CLASS"
};

struct TicketState {
  TicketState(const std::string& zone, const std::string& vm, uint64_t incarnation)
      : table(tickets::TicketCodec(zone, vm, incarnation, tickets::TicketCodec::RandomKey()), {}) {}
  std::mutex mutex;
  tickets::TicketTable table;
};

/// Which VMs there are, and what gossip says.
struct FleetState {
  FleetState(const membership::VmListEntry& own, uint64_t seed, base::TimePoint now)
      : table(own, now), gossip({}, {}, table, seed, now) {}
  std::mutex mutex;
  membership::VmTable table;
  membership::GossipState gossip;
};

struct ConfigState {
  std::mutex mutex;
  std::optional<config::ConfigStore> store;
  std::string last_reason;  // of the last entry or snapshot that was not taken
};

/// The state of one entry VM, shared by its request threads and control loops.
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
  IdentityMonitor identity_monitor;
  routing::ScoredRouter router;
  std::unique_ptr<http::Client> http;
  std::unique_ptr<rpc::Node> node;  // set once, before the first request
  std::atomic<bool> draining{false};
  std::atomic<uint64_t> next_request{1};

  /// A number that is unique over VMs and restarts with overwhelming probability.
  std::string NewRequestId();
  /// The current view's parts, kept alive by the caller.
  ServingView View() const { return *view.Read(); }
};

}  // namespace cornelplank::gateway
