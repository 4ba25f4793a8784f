#pragma once

#include <memory>
#include <optional>
#include <queue>
#include <vector>

#include "bench/decisions/engine.h"
#include "bench/decisions/scenario.h"
#include "libs/routing/routing.h"

namespace cornelplank::bench {

/// Results of one run, over the requests that arrived after the warm-up. "Waiting" requests are those of a
/// class that waits for spare capacity.
struct RoutingResults {
  uint64_t requests = 0;  // that were served, refused or lost
  double p50_ms = 0;      // time to the first token of the requests that are not waiting
  double p95_ms = 0;
  double p99_ms = 0;
  double cost = 0;          // mean cost units per served request
  double away_share = 0;    // of the served requests: served outside the home region, which has one zone here
  double hit_share = 0;     // of the prefix tokens: found in the replica's cache
  uint64_t peak_queue = 0;  // requests in the longest queue of one replica
  double refused_share = 0;  // refused requests count as a first token at their deadline
  // Requests that were lost because their data may not leave a home whose engines are down. They are part of
  // `requests`, but of no other figure.
  double lost_share = 0;
  uint64_t retries = 0;              // attempts after a failure or after another zone's refusal
  double waiting_first_token_s = 0;  // mean time to the first token of waiting requests
};

/// Simulates the routing of all arrivals in virtual time, with the real router and upstream tables. Each node
/// decides from its own table, which learns the load of replicas from delayed reports and from the headers of
/// its own responses.
class RoutingSimulation {
 public:
  RoutingSimulation(const Deployment& deployment, const Scenario& scenario,
                    const std::vector<Arrival>& arrivals, const routing::Router& router);
  /// Runs until no event is left, or until 300 s of virtual time after the scenario's duration. Called once.
  RoutingResults Run();

 private:
  enum class EventKind {
    kRoute,            // a node chooses a replica or zone for a request
    kArrive,           // a request reaches its replica
    kFirstToken,       // of a request
    kCompleted,        // a request has its last token
    kSendReport,       // an engine reports its load and cache events to the nodes of its zone
    kDeliverReport,    // such a report reaches a node
    kSendZoneLoad,     // a zone sends the sum of its load to all nodes of other zones
    kDeliverZoneLoad,  // such a sum reaches a node
    kTick,             // a node updates its table
    kLoseZone,         // all engines of the scenario's zone fail
    kRestoreZone       // and return with empty caches
  };
  struct Event {
    int64_t time_ns = 0;
    uint64_t order = 0;  // events at the same time happen in the order in which they were scheduled
    EventKind kind = EventKind::kTick;
    uint32_t subject = 0;          // index of the request, engine, zone, node or message
    uint32_t node_or_attempt = 0;  // node that a message is delivered to, or attempt of the request
    bool operator>(const Event& other) const {
      return time_ns != other.time_ns ? time_ns > other.time_ns : order > other.order;
    }
  };
  struct Node {
    uint32_t zone = 0;
    upstreams::UpstreamTable table;
    std::unique_ptr<const routing::RoutingSnapshot> snapshot;
    base::Random random{0};
  };
  struct RequestState {
    uint32_t node = 0;     // that routes the request now
    uint32_t attempt = 0;  // attempts that have ended; events of earlier attempts are ignored
    uint32_t engine = 0;
    uint32_t failures = 0;  // attempts that failed
    bool has_first_token = false;
    routing::HopPath hop_path;
    routing::ExcludeSet excluded;
    std::optional<upstreams::InFlightRequest> in_flight;
    std::optional<routing::InFlightForward> forward;
  };
  /// The load report of an engine or the load of a zone, on its way to one or more nodes.
  struct LoadMessage {
    upstreams::UpstreamLoadReport report;
    std::vector<upstreams::PrefixCacheEvent> events;
    upstreams::LastReportedZoneLoad zone_load;
    uint32_t zone = 0;  // of `zone_load`; upstreams::kNone for the report of an engine
    int64_t measured_ns = 0;
  };

  base::TimePoint Now() const { return base::TimePoint{base::Duration{now_ns_}}; }
  void Schedule(int64_t time_ns, EventKind kind, uint32_t subject, uint32_t node_or_attempt = 0) {
    events_.push({time_ns, ++last_order_, kind, subject, node_or_attempt});
  }
  /// The node that the client sends the request to.
  uint32_t EntryNode(const Arrival& arrival) const { return first_node_[arrival.zone] + arrival.node; }
  int64_t DeadlineNs(const Arrival& arrival) const;
  /// False for arrivals of the warm-up.
  bool IsCounted(const Arrival& arrival) const {
    return arrival.time_ns >= static_cast<int64_t>(scenario_.warmup_s * 1e9);
  }

  void Dispatch(const Event& event);
  void Route(uint32_t request);
  void SendToReplica(uint32_t request, const routing::RouteDecision& decision);
  void ForwardTo(uint32_t request, const routing::RouteRequest& route_request, uint32_t zone);
  void OnRefused(uint32_t request, const routing::RouteReason& reason);
  /// Counts the request as refused, or as lost when its data may not leave a zone whose engines are down.
  void GiveUp(uint32_t request);
  uint32_t FirstEngineOfZone(uint32_t zone) const;
  void ArriveAtEngine(uint32_t request);
  /// Takes a slot of the engine and schedules the first and the last token.
  void StartOnEngine(Engine& engine, uint32_t request);
  void OnFirstToken(uint32_t request);
  void OnCompleted(uint32_t request);
  void OnAttemptFailed(uint32_t request);
  void SendReport(uint32_t engine);
  void Deliver(uint32_t message, uint32_t node);
  void SendZoneLoad(uint32_t zone);
  /// Fails or restores the engines of the scenario's lost zone.
  void SetLostZoneAlive(bool alive);
  void RecordFirstToken(const Arrival& arrival, double milliseconds);
  routing::RouteRequest MakeRouteRequest(uint32_t request) const;

  const Deployment& deployment_;
  const Scenario& scenario_;
  const std::vector<Arrival>& arrivals_;
  const routing::Router& router_;
  int64_t now_ns_ = 0;
  uint64_t last_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Engine> engines_;       // in the order of the snapshots' replicas
  std::vector<uint32_t> first_node_;  // index of each zone's first node
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<RequestState> requests_;  // parallel to arrivals_
  std::vector<LoadMessage> messages_;
  std::vector<uint32_t> free_messages_;       // indexes of messages_ that can be reused
  std::vector<uint32_t> pending_deliveries_;  // of each message
  base::Random random_{99};

  std::vector<double> first_token_ms_;
  std::vector<double> waiting_first_token_ms_;
  RoutingResults results_;
  uint64_t served_away_ = 0;
  uint64_t served_ = 0;
  uint64_t refused_ = 0;
  uint64_t lost_ = 0;
  double hit_tokens_ = 0;
  double prefix_tokens_ = 0;
};

}  // namespace cornelplank::bench
