#pragma once

#include <memory>
#include <optional>
#include <queue>
#include <vector>

#include "bench/decisions/engine.h"
#include "bench/decisions/scenario.h"
#include "libs/routing/routing.h"

namespace cornelplank::bench {

/// Results of one run, over the requests that arrived after the warm-up.
struct Metrics {
  uint64_t requests = 0;
  double p50_ms = 0;  // time to the first token of the classes that don't wait
  double p95_ms = 0;
  double p99_ms = 0;
  double cost = 0;           // mean cost units per request
  double away_share = 0;     // served outside the home region
  double hit_share = 0;      // prefix tokens found in the cache
  uint64_t peak_queue = 0;   // longest queue of one replica
  double refused_share = 0;  // counted in the quantiles with their deadline
  double lost_share = 0;     // bound to a home whose engines were lost; in no other figure
  uint64_t retries = 0;
  double waited_s = 0;  // mean time to the first token of the classes that wait
};

/// Plays the arrivals in virtual time. Each node decides from its own table, which learns of loads by late
/// reports and by the headers of its own responses.
class Model {
 public:
  Model(const Deployment& deployment, const Scenario& scenario, const std::vector<Arrival>& arrivals,
        const routing::Router& router);
  Metrics Run();

 private:
  enum class Kind {
    kDecide,
    kArrive,
    kFirstToken,
    kDone,
    kReport,
    kDeliver,
    kSum,
    kDeliverSum,
    kTick,
    kLose,
    kReturn
  };
  struct Event {
    int64_t time = 0;
    uint64_t order = 0;
    Kind kind = Kind::kTick;
    uint32_t a = 0;  // request, engine, zone or message
    uint32_t b = 0;  // node or attempt
    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  struct Node {
    uint32_t zone = 0;
    upstreams::UpstreamTable table;
    std::unique_ptr<const routing::RoutingSnapshot> world;
    base::Random random{0};
  };
  struct Request {
    uint32_t node = 0;  // that decides now
    uint32_t attempt = 0;
    uint32_t engine = 0;
    uint32_t tries = 0;
    bool started = false;  // has its first token
    routing::HopPath route;
    routing::ExcludeSet excluded;
    std::optional<upstreams::InFlightRequest> guard;
    std::optional<routing::InFlightForward> forward;
  };
  struct Message {
    upstreams::UpstreamLoadReport report;
    std::vector<upstreams::PrefixCacheEvent> events;
    upstreams::LastReportedZoneLoad sum;
    uint32_t zone = 0;
    int64_t measured = 0;
  };

  base::TimePoint Time() const { return base::TimePoint{base::Duration{now_}}; }
  void Push(int64_t time, Kind kind, uint32_t a, uint32_t b = 0) {
    events_.push({time, ++order_, kind, a, b});
  }
  uint32_t Origin(const Arrival& arrival) const { return first_node_[arrival.zone] + arrival.node; }
  int64_t DeadlineOf(const Arrival& arrival) const;
  bool IsCounted(const Arrival& arrival) const {
    return arrival.time_ns >= static_cast<int64_t>(scenario_.warmup_s * 1e9);
  }

  void Dispatch(const Event& event);
  void Decide(uint32_t request);
  void Enter(uint32_t request, const routing::RouteDecision& decision);
  void ForwardTo(uint32_t request, const routing::RouteRequest& query, uint32_t zone);
  void Refused(uint32_t request, const routing::RouteReason& reason);
  void GiveUp(uint32_t request);
  uint32_t EngineOfZone(uint32_t zone) const;
  void ArriveAtEngine(uint32_t request);
  void Start(Engine& engine, uint32_t request);
  void FirstToken(uint32_t request);
  void Done(uint32_t request);
  void Fail(uint32_t request);
  void SendReport(uint32_t engine);
  void Deliver(uint32_t message, uint32_t node);
  void SendSum(uint32_t zone);
  void SetAlive(bool alive);
  void RecordFirstToken(const Arrival& arrival, double milliseconds);
  routing::RouteRequest Query(uint32_t request) const;

  const Deployment& deployment_;
  const Scenario& scenario_;
  const std::vector<Arrival>& arrivals_;
  const routing::Router& router_;
  int64_t now_ = 0;
  uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Engine> engines_;
  std::vector<uint32_t> first_node_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Request> requests_;
  std::vector<Message> messages_;
  std::vector<uint32_t> free_messages_;
  std::vector<uint32_t> readers_;  // of each message
  base::Random random_{99};

  std::vector<double> first_token_ms_;
  std::vector<double> waited_ms_;
  Metrics metrics_;
  uint64_t away_ = 0;
  uint64_t served_ = 0;
  uint64_t refused_ = 0;
  uint64_t lost_ = 0;
  double hit_tokens_ = 0;
  double prefix_tokens_ = 0;
};

}  // namespace cornelplank::bench
