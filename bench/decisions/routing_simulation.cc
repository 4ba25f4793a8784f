#include "bench/decisions/routing_simulation.h"

#include <algorithm>

namespace cornelplank::bench {
namespace {

constexpr int64_t kNsPerMs = 1000000;
constexpr int64_t kNsPerSecond = 1000 * kNsPerMs;
constexpr int64_t kStartNs = 3600 * kNsPerSecond;  // not 0, because the libraries read the epoch as "never"
// Network delays: one way between client and entry VM, round trip within a zone, one way between regions.
constexpr int64_t kClientDelayMs = 3;
constexpr int64_t kZoneRoundTripMs = 1;
constexpr int64_t kRegionDelayMs = 80;
constexpr double kPrefillMsPerToken = 0.1;
// A full batch slows the prefill of a new request by half.
constexpr double kPrefillSlowdown = 0.5;
// Time limits of a request for its first token; the second is that of classes that wait for spare capacity.
constexpr int64_t kDeadlineNs = 20 * kNsPerSecond;
constexpr int64_t kWaitingDeadlineNs = 180 * kNsPerSecond;
// Time from a failed attempt until the next one is routed.
constexpr int64_t kConnectFailureNs = 5 * kNsPerMs;
constexpr uint32_t kMaxFailures = 8;
// Bytes on the wire per token of a request and of a streamed response.
constexpr uint64_t kBytesPerPromptToken = 4;
constexpr uint64_t kBytesPerOutputToken = 120;

double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto position = static_cast<int64_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + position, values.end());
  return values[static_cast<size_t>(position)];
}

}  // namespace

RoutingSimulation::RoutingSimulation(const Deployment& deployment, const Scenario& scenario,
                                     const std::vector<Arrival>& arrivals, const routing::Router& router)
    : deployment_(deployment), scenario_(scenario), arrivals_(arrivals), router_(router), now_ns_(kStartNs) {
  const upstreams::Topology topology = upstreams::Topology::FromDocument(deployment.document);
  for (uint32_t zone = 0; zone < topology.ZoneCount(); ++zone) {
    first_node_.push_back(static_cast<uint32_t>(nodes_.size()));
    for (uint32_t i = 0; i < deployment.nodes[zone]; ++i) {
      auto node = std::make_unique<Node>();
      node->zone = zone;
      node->random = base::Random(zone * 100 + i + 1);
      node->table.Configure(deployment.document, Now());
      routing::OwnNode own_node{topology.Zones()[zone].region, topology.Zones()[zone].zone, false,
                                deployment.nodes[zone], deployment.nodes[zone]};
      node->snapshot =
          routing::RoutingSnapshot::Build(deployment.document, node->table.TakeSnapshot(), own_node,
                                          std::make_shared<routing::LinkBudget>(topology.Regions().size()));
      Schedule(now_ns_ + static_cast<int64_t>(nodes_.size()) * kNsPerMs, EventKind::kTick,
               static_cast<uint32_t>(nodes_.size()));
      nodes_.push_back(std::move(node));
    }
    Schedule(now_ns_ + 10 * kNsPerMs, EventKind::kSendZoneLoad, zone);
  }
  // The engines are in the order of the snapshot's replicas, so that an upstream index is also an engine
  // index.
  for (const upstreams::ReplicaRecord& replica : nodes_[0]->snapshot->Upstreams().Replicas()) {
    Engine engine;
    engine.id = replica.id;
    engine.zone = replica.zone;
    engine.slots = replica.slots;
    engine.price = replica.price;
    engine.cache_capacity = deployment.cached_prefixes;
    Schedule(now_ns_ + static_cast<int64_t>(random_.Below(kNsPerSecond)), EventKind::kSendReport,
             static_cast<uint32_t>(engines_.size()));
    engines_.push_back(std::move(engine));
  }
  requests_.resize(arrivals.size());
  for (uint32_t i = 0; i < arrivals.size(); ++i) {
    requests_[i].node = EntryNode(arrivals[i]);
    Schedule(kStartNs + arrivals[i].time_ns + kClientDelayMs * kNsPerMs, EventKind::kRoute, i);
  }
  if (scenario.lost_zone) {
    Schedule(kStartNs + static_cast<int64_t>(scenario.lost_s * 1e9), EventKind::kLoseZone, 0);
    Schedule(kStartNs + static_cast<int64_t>(scenario.returned_s * 1e9), EventKind::kRestoreZone, 0);
  }
}

RoutingResults RoutingSimulation::Run() {
  const int64_t end = kStartNs + static_cast<int64_t>((scenario_.duration_s + 300) * 1e9);
  while (!events_.empty() && events_.top().time_ns < end) {
    const Event event = events_.top();
    events_.pop();
    now_ns_ = event.time_ns;
    Dispatch(event);
  }
  results_.requests = first_token_ms_.size() + waiting_first_token_ms_.size() + lost_;
  results_.lost_share =
      static_cast<double>(lost_) / static_cast<double>(std::max<uint64_t>(results_.requests, 1));
  results_.p50_ms = Quantile(first_token_ms_, 0.5);
  results_.p95_ms = Quantile(first_token_ms_, 0.95);
  results_.p99_ms = Quantile(first_token_ms_, 0.99);
  double waiting_sum_ms = 0;
  for (const double value : waiting_first_token_ms_) waiting_sum_ms += value;
  results_.waiting_first_token_s =
      waiting_first_token_ms_.empty()
          ? 0
          : waiting_sum_ms / static_cast<double>(waiting_first_token_ms_.size()) / 1000;
  const auto served = static_cast<double>(std::max<uint64_t>(served_, 1));
  results_.cost /= served;
  results_.away_share = static_cast<double>(served_away_) / served;
  results_.hit_share = prefix_tokens_ > 0 ? hit_tokens_ / prefix_tokens_ : 0;
  results_.refused_share =
      static_cast<double>(refused_) / static_cast<double>(std::max<uint64_t>(results_.requests, 1));
  return results_;
}

void RoutingSimulation::Dispatch(const Event& event) {
  const bool is_attempt_event = event.kind == EventKind::kArrive || event.kind == EventKind::kFirstToken ||
                                event.kind == EventKind::kCompleted;
  // The attempt has ended since the event was scheduled.
  if (is_attempt_event && event.node_or_attempt != requests_[event.subject].attempt) return;
  switch (event.kind) {
    case EventKind::kRoute:
      return Route(event.subject);
    case EventKind::kArrive:
      return ArriveAtEngine(event.subject);
    case EventKind::kFirstToken:
      return OnFirstToken(event.subject);
    case EventKind::kCompleted:
      return OnCompleted(event.subject);
    case EventKind::kSendReport:
      return SendReport(event.subject);
    case EventKind::kDeliverReport:
    case EventKind::kDeliverZoneLoad:
      return Deliver(event.subject, event.node_or_attempt);
    case EventKind::kSendZoneLoad:
      return SendZoneLoad(event.subject);
    case EventKind::kTick:
      nodes_[event.subject]->table.Tick(Now());
      return Schedule(now_ns_ + kNsPerSecond, EventKind::kTick, event.subject);
    case EventKind::kLoseZone:
      return SetLostZoneAlive(false);
    case EventKind::kRestoreZone:
      return SetLostZoneAlive(true);
  }
}

int64_t RoutingSimulation::DeadlineNs(const Arrival& arrival) const {
  return kStartNs + arrival.time_ns + (arrival.waits_for_spare ? kWaitingDeadlineNs : kDeadlineNs);
}

routing::RouteRequest RoutingSimulation::MakeRouteRequest(uint32_t request) const {
  const Arrival& arrival = arrivals_[request];
  const RequestState& state = requests_[request];
  const routing::RoutingSnapshot& snapshot = *nodes_[state.node]->snapshot;
  routing::RouteRequest route_request =
      snapshot.Resolve({deployment_.partner, "m", "", arrival.home_bound ? "home" : "any",
                        snapshot.Names().Zones()[arrival.zone].region});
  route_request.may_wait = arrival.waits_for_spare;
  route_request.prefix = arrival.prefix;
  route_request.prefix_tokens = arrival.prefix_tokens;
  route_request.prompt_tokens = arrival.prompt_tokens;
  route_request.request_bytes = arrival.prompt_tokens * kBytesPerPromptToken;
  route_request.response_bytes = route_request.output_tokens * kBytesPerOutputToken;
  route_request.now = Now();
  // A stream that is resumed after its first token has no deadline for it.
  if (!state.has_first_token) route_request.deadline = base::TimePoint{base::Duration{DeadlineNs(arrival)}};
  route_request.hop_path = state.hop_path;
  route_request.excluded = state.excluded;
  return route_request;
}

void RoutingSimulation::Route(uint32_t request) {
  Node& node = *nodes_[requests_[request].node];
  const routing::RouteRequest route_request = MakeRouteRequest(request);
  routing::RouteReason reason;
  const auto decision = router_.Choose(route_request, *node.snapshot, node.random, &reason);
  if (!decision) return OnRefused(request, reason);
  if (decision->target == routing::RouteTarget::kUpstream) return SendToReplica(request, *decision);
  ForwardTo(request, route_request, decision->zone);
}

void RoutingSimulation::SendToReplica(uint32_t request, const routing::RouteDecision& decision) {
  RequestState& state = requests_[request];
  const upstreams::ReplicaRecord& replica =
      nodes_[state.node]->snapshot->Upstreams().Replicas()[decision.upstream];
  state.in_flight.emplace(upstreams::InFlightRequest::Begin(replica.live, Now(), nullptr).value());
  state.engine = decision.upstream;
  Schedule(now_ns_ + kZoneRoundTripMs * kNsPerMs / 2, EventKind::kArrive, request, state.attempt);
}

void RoutingSimulation::ForwardTo(uint32_t request, const routing::RouteRequest& route_request,
                                  uint32_t zone) {
  RequestState& state = requests_[request];
  const Node& node = *nodes_[state.node];
  auto forward = node.snapshot->BeginForward(route_request, static_cast<upstreams::Index>(zone));
  state.forward.reset();
  state.forward.emplace(std::move(forward.value()));
  state.hop_path = state.hop_path.Extend(static_cast<upstreams::Index>(node.zone)).value();
  state.node = first_node_[zone] + static_cast<uint32_t>(random_.Below(deployment_.nodes[zone]));
  Schedule(now_ns_ + kRegionDelayMs * kNsPerMs, EventKind::kRoute, request);
}

void RoutingSimulation::OnRefused(uint32_t request, const routing::RouteReason& reason) {
  RequestState& state = requests_[request];
  const Arrival& arrival = arrivals_[request];
  if (state.hop_path.Hops() > 0) {
    // The refusal returns to the entry VM, which then excludes the zone and routes again.
    state.excluded.AddZone(static_cast<upstreams::Index>(nodes_[state.node]->zone));
    state.hop_path = routing::HopPath{};
    state.forward.reset();
    state.node = EntryNode(arrival);
    ++results_.retries;
    return Schedule(now_ns_ + kRegionDelayMs * kNsPerMs, EventKind::kRoute, request);
  }
  if (reason.code == routing::RouteCode::kWaitForSpare) {
    state.excluded = routing::ExcludeSet{};
    return Schedule(now_ns_ + reason.retry_after.count(), EventKind::kRoute, request);
  }
  const bool final =
      reason.code == routing::RouteCode::kDeadline || now_ns_ + kNsPerSecond > DeadlineNs(arrival);
  if (!final) {
    state.excluded = routing::ExcludeSet{};
    return Schedule(now_ns_ + kNsPerSecond / 2, EventKind::kRoute, request);
  }
  GiveUp(request);
}

void RoutingSimulation::GiveUp(uint32_t request) {
  const Arrival& arrival = arrivals_[request];
  if (requests_[request].has_first_token || !IsCounted(arrival)) return;
  if (arrival.home_bound && !engines_[FirstEngineOfZone(arrival.zone)].alive) {
    ++lost_;
    return;
  }
  ++refused_;
  RecordFirstToken(arrival, static_cast<double>(DeadlineNs(arrival) - kStartNs - arrival.time_ns) / kNsPerMs);
}

uint32_t RoutingSimulation::FirstEngineOfZone(uint32_t zone) const {
  return nodes_[0]->snapshot->Upstreams().Zone(static_cast<upstreams::Index>(zone)).begin;
}

void RoutingSimulation::ArriveAtEngine(uint32_t request) {
  Engine& engine = engines_[requests_[request].engine];
  if (!engine.alive) return OnAttemptFailed(request);
  if (engine.running.size() < engine.slots) return StartOnEngine(engine, request);
  engine.queue.push_back(request);
  if (IsCounted(arrivals_[request])) {
    results_.peak_queue = std::max<uint64_t>(results_.peak_queue, engine.queue.size());
  }
}

void RoutingSimulation::StartOnEngine(Engine& engine, uint32_t request) {
  const Arrival& arrival = arrivals_[request];
  RequestState& state = requests_[request];
  const double utilization = static_cast<double>(engine.running.size()) / engine.slots;
  engine.running.push_back(request);
  const bool hit = engine.UsePrefix(arrival.prefix, arrival.prefix_tokens);
  const uint32_t prefill_tokens = arrival.prompt_tokens - (hit ? arrival.prefix_tokens : 0);
  if (IsCounted(arrival)) {
    prefix_tokens_ += arrival.prefix_tokens;
    hit_tokens_ += hit ? arrival.prefix_tokens : 0;
    results_.cost += engine.price * (prefill_tokens + arrival.output_tokens) / 1000;
    ++served_;
    served_away_ += engine.zone != arrival.zone ? 1 : 0;
  }
  const double prefill_ms = prefill_tokens * kPrefillMsPerToken * (1 + kPrefillSlowdown * utilization);
  const int64_t first_token_ns = now_ns_ + static_cast<int64_t>(prefill_ms * kNsPerMs);
  Schedule(first_token_ns, EventKind::kFirstToken, request, state.attempt);
  Schedule(first_token_ns + static_cast<int64_t>(arrival.output_tokens * kTokenMs * kNsPerMs),
           EventKind::kCompleted, request, state.attempt);
}

void RoutingSimulation::RecordFirstToken(const Arrival& arrival, double milliseconds) {
  (arrival.waits_for_spare ? waiting_first_token_ms_ : first_token_ms_).push_back(milliseconds);
}

void RoutingSimulation::OnFirstToken(uint32_t request) {
  RequestState& state = requests_[request];
  const Arrival& arrival = arrivals_[request];
  const Engine& engine = engines_[state.engine];
  Node& node = *nodes_[state.node];
  const std::string header =
      "running=" + std::to_string(engine.running.size()) + ", queued=" + std::to_string(engine.queue.size());
  node.table.OnLoadHeader(engine.id, header, Now());
  node.table.OnPrefixServed(engine.id, arrival.prefix, arrival.prefix_tokens);
  if (state.has_first_token) return;
  state.has_first_token = true;
  if (!IsCounted(arrival)) return;
  const int64_t return_delay_ms = (state.hop_path.Hops() > 0 ? kRegionDelayMs : 0) + kClientDelayMs;
  RecordFirstToken(arrival, static_cast<double>(now_ns_ - kStartNs - arrival.time_ns) / kNsPerMs +
                                static_cast<double>(return_delay_ms));
}

void RoutingSimulation::OnCompleted(uint32_t request) {
  RequestState& state = requests_[request];
  Engine& engine = engines_[state.engine];
  ++state.attempt;
  nodes_[state.node]->table.OnResult(engine.id, upstreams::RequestOutcome::kSuccess,
                                     state.in_flight->IsProbe(), Now());
  state.in_flight.reset();
  state.forward.reset();
  engine.running.erase(std::find(engine.running.begin(), engine.running.end(), request));
  if (engine.queue.empty()) return;
  const uint32_t next_request = engine.queue.front();
  engine.queue.pop_front();
  StartOnEngine(engine, next_request);
}

void RoutingSimulation::OnAttemptFailed(uint32_t request) {
  RequestState& state = requests_[request];
  const Engine& engine = engines_[state.engine];
  const Arrival& arrival = arrivals_[request];
  ++state.attempt;
  ++results_.retries;
  Node& node = *nodes_[state.node];
  node.table.OnResult(engine.id, upstreams::RequestOutcome::kFailure, state.in_flight->IsProbe(), Now());
  state.in_flight.reset();
  state.excluded.AddReplica(node.snapshot->Upstreams().Replicas()[state.engine].key);
  // Only the entry VM retries, so the failure first returns to it.
  const int64_t return_delay_ns = state.hop_path.Hops() > 0 ? kRegionDelayMs * kNsPerMs : 0;
  state.forward.reset();
  state.hop_path = routing::HopPath{};
  state.node = EntryNode(arrival);
  if (++state.failures < kMaxFailures) {
    return Schedule(now_ns_ + return_delay_ns + kConnectFailureNs, EventKind::kRoute, request);
  }
  GiveUp(request);
}

void RoutingSimulation::SetLostZoneAlive(bool alive) {
  for (Engine& engine : engines_) {
    if (engine.zone != *scenario_.lost_zone) continue;
    if (alive) {
      engine.Restart();
      continue;
    }
    engine.alive = false;
    std::vector<uint32_t> interrupted = std::move(engine.running);
    interrupted.insert(interrupted.end(), engine.queue.begin(), engine.queue.end());
    engine.running.clear();
    engine.queue.clear();
    for (const uint32_t request : interrupted) OnAttemptFailed(request);
  }
}

void RoutingSimulation::SendReport(uint32_t index) {
  Engine& engine = engines_[index];
  Schedule(now_ns_ + kNsPerSecond, EventKind::kSendReport, index);
  if (!engine.alive) return;
  uint32_t slot = static_cast<uint32_t>(messages_.size());
  if (free_messages_.empty()) {
    messages_.emplace_back();
    pending_deliveries_.push_back(0);
  } else {
    slot = free_messages_.back();
    free_messages_.pop_back();
  }
  LoadMessage& message = messages_[slot];
  message.report = {engine.id,
                    engine.incarnation,
                    upstreams::EngineState::kReady,
                    static_cast<uint32_t>(engine.running.size()),
                    static_cast<uint32_t>(engine.queue.size()),
                    {"m"},
                    {}};
  message.events = std::move(engine.events);
  engine.events.clear();
  message.zone = upstreams::kNone;
  message.measured_ns = now_ns_;
  pending_deliveries_[slot] = deployment_.nodes[engine.zone];
  for (uint32_t i = 0; i < deployment_.nodes[engine.zone]; ++i) {
    const int64_t delay = static_cast<int64_t>(scenario_.report_delay_s * 1e9) +
                          static_cast<int64_t>(random_.Below(100 * kNsPerMs));
    Schedule(now_ns_ + delay, EventKind::kDeliverReport, slot, first_node_[engine.zone] + i);
  }
}

void RoutingSimulation::SendZoneLoad(uint32_t zone) {
  Schedule(now_ns_ + 2 * kNsPerSecond, EventKind::kSendZoneLoad, zone);
  const Node& sender = *nodes_[first_node_[zone]];
  for (uint32_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->zone == zone) continue;
    uint32_t slot = static_cast<uint32_t>(messages_.size());
    if (free_messages_.empty()) {
      messages_.emplace_back();
      pending_deliveries_.push_back(0);
    } else {
      slot = free_messages_.back();
      free_messages_.pop_back();
    }
    messages_[slot].zone_load = sender.table.SumOfZone(static_cast<upstreams::Index>(zone), Now());
    messages_[slot].zone = zone;
    messages_[slot].measured_ns = now_ns_;
    pending_deliveries_[slot] = 1;
    // One node of a zone receives the sum from the other zone; gossip spreads it to its peers within 2 s
    // more.
    const int64_t delay = kRegionDelayMs * kNsPerMs + static_cast<int64_t>(scenario_.report_delay_s * 1e9) +
                          static_cast<int64_t>(random_.Below(2 * kNsPerSecond));
    Schedule(now_ns_ + delay, EventKind::kDeliverZoneLoad, slot, i);
  }
}

void RoutingSimulation::Deliver(uint32_t slot, uint32_t index) {
  LoadMessage& message = messages_[slot];
  upstreams::UpstreamTable& table = nodes_[index]->table;
  const base::Duration age{now_ns_ - message.measured_ns};
  if (message.zone == upstreams::kNone) {
    message.report.age = age;
    table.OnLoadReport(message.report, Now());
    table.OnCacheEvents(message.report.upstream, message.report.incarnation, message.events);
  } else {
    const auto& name = nodes_[index]->snapshot->Names().Zones()[message.zone];
    table.OnZoneSum(name.region, name.zone, message.zone_load, age, Now());
  }
  if (--pending_deliveries_[slot] == 0) free_messages_.push_back(slot);
}

}  // namespace cornelplank::bench
