#include "bench/decisions/model.h"

#include <algorithm>

namespace cornelplank::bench {
namespace {

constexpr int64_t kMs = 1000000;
constexpr int64_t kSecond = 1000 * kMs;
constexpr int64_t kStart = 3600 * kSecond;  // the epoch means "never" in the libraries
constexpr int64_t kClientMs = 3;
constexpr int64_t kZoneMs = 1;
constexpr int64_t kRegionMs = 80;
constexpr double kPrefillMsPerToken = 0.1;
// A full batch slows the prefill of a new request by half.
constexpr double kPrefillSlowdown = 0.5;
constexpr int64_t kDeadline = 20 * kSecond;
constexpr int64_t kWaitingDeadline = 180 * kSecond;
constexpr int64_t kConnectFailure = 5 * kMs;
constexpr uint32_t kMaxTries = 8;
constexpr uint64_t kBytesPerPromptToken = 4;
constexpr uint64_t kBytesPerOutputToken = 120;

double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto position = static_cast<int64_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + position, values.end());
  return values[static_cast<size_t>(position)];
}

}  // namespace

Model::Model(const Deployment& deployment, const Scenario& scenario, const std::vector<Arrival>& arrivals,
             const routing::Router& router)
    : deployment_(deployment), scenario_(scenario), arrivals_(arrivals), router_(router), now_(kStart) {
  const upstreams::Topology names = upstreams::Topology::FromDocument(deployment.document);
  for (uint32_t zone = 0; zone < names.ZoneCount(); ++zone) {
    first_node_.push_back(static_cast<uint32_t>(nodes_.size()));
    for (uint32_t i = 0; i < deployment.nodes[zone]; ++i) {
      auto node = std::make_unique<Node>();
      node->zone = zone;
      node->random = base::Random(zone * 100 + i + 1);
      node->table.Configure(deployment.document, Time());
      routing::OwnNode view{names.Zones()[zone].region, names.Zones()[zone].zone, false,
                            deployment.nodes[zone], deployment.nodes[zone]};
      node->world =
          routing::RoutingSnapshot::Build(deployment.document, node->table.TakeSnapshot(), view,
                                          std::make_shared<routing::LinkBudget>(names.Regions().size()));
      Push(now_ + static_cast<int64_t>(nodes_.size()) * kMs, Kind::kTick,
           static_cast<uint32_t>(nodes_.size()));
      nodes_.push_back(std::move(node));
    }
    Push(now_ + 10 * kMs, Kind::kSum, zone);
  }
  // The engines stand in the order of the snapshot, so that an upstream index names an engine.
  for (const upstreams::ReplicaRecord& replica : nodes_[0]->world->Upstreams().Replicas()) {
    Engine engine;
    engine.id = replica.id;
    engine.zone = replica.zone;
    engine.slots = replica.slots;
    engine.price = replica.price;
    engine.cache_capacity = deployment.cached_prefixes;
    Push(now_ + static_cast<int64_t>(random_.Below(kSecond)), Kind::kReport,
         static_cast<uint32_t>(engines_.size()));
    engines_.push_back(std::move(engine));
  }
  requests_.resize(arrivals.size());
  for (uint32_t i = 0; i < arrivals.size(); ++i) {
    requests_[i].node = Origin(arrivals[i]);
    Push(kStart + arrivals[i].time_ns + kClientMs * kMs, Kind::kDecide, i);
  }
  if (scenario.lost_zone) {
    Push(kStart + static_cast<int64_t>(scenario.lost_s * 1e9), Kind::kLose, 0);
    Push(kStart + static_cast<int64_t>(scenario.returned_s * 1e9), Kind::kReturn, 0);
  }
}

Metrics Model::Run() {
  const int64_t end = kStart + static_cast<int64_t>((scenario_.duration_s + 300) * 1e9);
  while (!events_.empty() && events_.top().time < end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    Dispatch(event);
  }
  metrics_.requests = first_token_ms_.size() + waited_ms_.size() + lost_;
  metrics_.lost_share =
      static_cast<double>(lost_) / static_cast<double>(std::max<uint64_t>(metrics_.requests, 1));
  metrics_.p50_ms = Quantile(first_token_ms_, 0.5);
  metrics_.p95_ms = Quantile(first_token_ms_, 0.95);
  metrics_.p99_ms = Quantile(first_token_ms_, 0.99);
  double waited = 0;
  for (const double value : waited_ms_) waited += value;
  metrics_.waited_s = waited_ms_.empty() ? 0 : waited / static_cast<double>(waited_ms_.size()) / 1000;
  const auto served = static_cast<double>(std::max<uint64_t>(served_, 1));
  metrics_.cost /= served;
  metrics_.away_share = static_cast<double>(away_) / served;
  metrics_.hit_share = prefix_tokens_ > 0 ? hit_tokens_ / prefix_tokens_ : 0;
  metrics_.refused_share =
      static_cast<double>(refused_) / static_cast<double>(std::max<uint64_t>(metrics_.requests, 1));
  return metrics_;
}

void Model::Dispatch(const Event& event) {
  const bool of_request =
      event.kind == Kind::kArrive || event.kind == Kind::kFirstToken || event.kind == Kind::kDone;
  // Events of an attempt that has failed since are void.
  if (of_request && event.b != requests_[event.a].attempt) return;
  switch (event.kind) {
    case Kind::kDecide:
      return Decide(event.a);
    case Kind::kArrive:
      return ArriveAtEngine(event.a);
    case Kind::kFirstToken:
      return FirstToken(event.a);
    case Kind::kDone:
      return Done(event.a);
    case Kind::kReport:
      return SendReport(event.a);
    case Kind::kDeliver:
    case Kind::kDeliverSum:
      return Deliver(event.a, event.b);
    case Kind::kSum:
      return SendSum(event.a);
    case Kind::kTick:
      nodes_[event.a]->table.Tick(Time());
      return Push(now_ + kSecond, Kind::kTick, event.a);
    case Kind::kLose:
      return SetAlive(false);
    case Kind::kReturn:
      return SetAlive(true);
  }
}

int64_t Model::DeadlineOf(const Arrival& arrival) const {
  return kStart + arrival.time_ns + (arrival.waits ? kWaitingDeadline : kDeadline);
}

routing::RouteRequest Model::Query(uint32_t request) const {
  const Arrival& arrival = arrivals_[request];
  const Request& state = requests_[request];
  const routing::RoutingSnapshot& world = *nodes_[state.node]->world;
  routing::RouteRequest query = world.Resolve({deployment_.partner, "m", "", arrival.bound ? "home" : "any",
                                               world.Names().Zones()[arrival.zone].region});
  query.may_wait = arrival.waits;
  query.prefix = arrival.prefix;
  query.prefix_tokens = arrival.prefix_tokens;
  query.prompt_tokens = arrival.prompt_tokens;
  query.request_bytes = arrival.prompt_tokens * kBytesPerPromptToken;
  query.response_bytes = query.output_tokens * kBytesPerOutputToken;
  query.now = Time();
  // A stream that resumes has no deadline for its first token any more.
  if (!state.started) query.deadline = base::TimePoint{base::Duration{DeadlineOf(arrival)}};
  query.hop_path = state.route;
  query.excluded = state.excluded;
  return query;
}

void Model::Decide(uint32_t request) {
  Node& node = *nodes_[requests_[request].node];
  const routing::RouteRequest query = Query(request);
  routing::RouteReason reason;
  const auto decision = router_.Choose(query, *node.world, node.random, &reason);
  if (!decision) return Refused(request, reason);
  if (decision->target == routing::RouteTarget::kUpstream) return Enter(request, *decision);
  ForwardTo(request, query, decision->zone);
}

void Model::Enter(uint32_t request, const routing::RouteDecision& decision) {
  Request& state = requests_[request];
  const upstreams::ReplicaRecord& replica =
      nodes_[state.node]->world->Upstreams().Replicas()[decision.upstream];
  state.guard.emplace(upstreams::InFlightRequest::Begin(replica.live, Time(), nullptr).value());
  state.engine = decision.upstream;
  Push(now_ + kZoneMs * kMs / 2, Kind::kArrive, request, state.attempt);
}

void Model::ForwardTo(uint32_t request, const routing::RouteRequest& query, uint32_t zone) {
  Request& state = requests_[request];
  const Node& node = *nodes_[state.node];
  auto forward = node.world->BeginForward(query, static_cast<upstreams::Index>(zone));
  state.forward.reset();
  state.forward.emplace(std::move(forward.value()));
  state.route = state.route.Extend(static_cast<upstreams::Index>(node.zone)).value();
  state.node = first_node_[zone] + static_cast<uint32_t>(random_.Below(deployment_.nodes[zone]));
  Push(now_ + kRegionMs * kMs, Kind::kDecide, request);
}

void Model::Refused(uint32_t request, const routing::RouteReason& reason) {
  Request& state = requests_[request];
  const Arrival& arrival = arrivals_[request];
  if (state.route.Hops() > 0) {
    // The first node hears of the refusal and looks elsewhere.
    state.excluded.AddZone(static_cast<upstreams::Index>(nodes_[state.node]->zone));
    state.route = routing::HopPath{};
    state.forward.reset();
    state.node = Origin(arrival);
    ++metrics_.retries;
    return Push(now_ + kRegionMs * kMs, Kind::kDecide, request);
  }
  if (reason.code == routing::RouteCode::kWaitForSpare) {
    state.excluded = routing::ExcludeSet{};
    return Push(now_ + reason.retry_after.count(), Kind::kDecide, request);
  }
  const bool final = reason.code == routing::RouteCode::kDeadline || now_ + kSecond > DeadlineOf(arrival);
  if (!final) {
    state.excluded = routing::ExcludeSet{};
    return Push(now_ + kSecond / 2, Kind::kDecide, request);
  }
  GiveUp(request);
}

void Model::GiveUp(uint32_t request) {
  const Arrival& arrival = arrivals_[request];
  if (requests_[request].started || !IsCounted(arrival)) return;
  if (arrival.bound && !engines_[EngineOfZone(arrival.zone)].alive) {
    ++lost_;
    return;
  }
  ++refused_;
  RecordFirstToken(arrival, static_cast<double>(DeadlineOf(arrival) - kStart - arrival.time_ns) / kMs);
}

uint32_t Model::EngineOfZone(uint32_t zone) const {
  return nodes_[0]->world->Upstreams().Zone(static_cast<upstreams::Index>(zone)).begin;
}

void Model::ArriveAtEngine(uint32_t request) {
  Engine& engine = engines_[requests_[request].engine];
  if (!engine.alive) return Fail(request);
  if (engine.running.size() < engine.slots) return Start(engine, request);
  engine.queue.push_back(request);
  if (IsCounted(arrivals_[request])) {
    metrics_.peak_queue = std::max<uint64_t>(metrics_.peak_queue, engine.queue.size());
  }
}

void Model::Start(Engine& engine, uint32_t request) {
  const Arrival& arrival = arrivals_[request];
  Request& state = requests_[request];
  const double use = static_cast<double>(engine.running.size()) / engine.slots;
  engine.running.push_back(request);
  const bool hit = engine.Touch(arrival.prefix, arrival.prefix_tokens);
  const uint32_t missing = arrival.prompt_tokens - (hit ? arrival.prefix_tokens : 0);
  if (IsCounted(arrival)) {
    prefix_tokens_ += arrival.prefix_tokens;
    hit_tokens_ += hit ? arrival.prefix_tokens : 0;
    metrics_.cost += engine.price * (missing + arrival.output_tokens) / 1000;
    ++served_;
    away_ += engine.zone != arrival.zone ? 1 : 0;
  }
  const double prefill = missing * kPrefillMsPerToken * (1 + kPrefillSlowdown * use);
  const int64_t first = now_ + static_cast<int64_t>(prefill * kMs);
  Push(first, Kind::kFirstToken, request, state.attempt);
  Push(first + static_cast<int64_t>(arrival.output_tokens * kTokenMs * kMs), Kind::kDone, request,
       state.attempt);
}

void Model::RecordFirstToken(const Arrival& arrival, double milliseconds) {
  (arrival.waits ? waited_ms_ : first_token_ms_).push_back(milliseconds);
}

void Model::FirstToken(uint32_t request) {
  Request& state = requests_[request];
  const Arrival& arrival = arrivals_[request];
  const Engine& engine = engines_[state.engine];
  Node& node = *nodes_[state.node];
  const std::string header =
      "running=" + std::to_string(engine.running.size()) + ", queued=" + std::to_string(engine.queue.size());
  node.table.OnLoadHeader(engine.id, header, Time());
  node.table.OnPrefixServed(engine.id, arrival.prefix, arrival.prefix_tokens);
  if (state.started) return;
  state.started = true;
  if (!IsCounted(arrival)) return;
  const int64_t back = (state.route.Hops() > 0 ? kRegionMs : 0) + kClientMs;
  RecordFirstToken(arrival,
                   static_cast<double>(now_ - kStart - arrival.time_ns) / kMs + static_cast<double>(back));
}

void Model::Done(uint32_t request) {
  Request& state = requests_[request];
  Engine& engine = engines_[state.engine];
  ++state.attempt;
  nodes_[state.node]->table.OnResult(engine.id, upstreams::RequestOutcome::kSuccess, state.guard->IsProbe(),
                                     Time());
  state.guard.reset();
  state.forward.reset();
  engine.running.erase(std::find(engine.running.begin(), engine.running.end(), request));
  if (engine.queue.empty()) return;
  const uint32_t next = engine.queue.front();
  engine.queue.pop_front();
  Start(engine, next);
}

void Model::Fail(uint32_t request) {
  Request& state = requests_[request];
  const Engine& engine = engines_[state.engine];
  const Arrival& arrival = arrivals_[request];
  ++state.attempt;
  ++metrics_.retries;
  Node& node = *nodes_[state.node];
  node.table.OnResult(engine.id, upstreams::RequestOutcome::kFailure, state.guard->IsProbe(), Time());
  state.guard.reset();
  state.excluded.AddReplica(node.world->Upstreams().Replicas()[state.engine].key);
  // Only the entry VM retries.
  const int64_t back = state.route.Hops() > 0 ? kRegionMs * kMs : 0;
  state.forward.reset();
  state.route = routing::HopPath{};
  state.node = Origin(arrival);
  if (++state.tries < kMaxTries) return Push(now_ + back + kConnectFailure, Kind::kDecide, request);
  GiveUp(request);
}

void Model::SetAlive(bool alive) {
  for (Engine& engine : engines_) {
    if (engine.zone != *scenario_.lost_zone) continue;
    if (alive) {
      engine.Restart();
      continue;
    }
    engine.alive = false;
    std::vector<uint32_t> open = std::move(engine.running);
    open.insert(open.end(), engine.queue.begin(), engine.queue.end());
    engine.running.clear();
    engine.queue.clear();
    for (const uint32_t request : open) Fail(request);
  }
}

void Model::SendReport(uint32_t index) {
  Engine& engine = engines_[index];
  Push(now_ + kSecond, Kind::kReport, index);
  if (!engine.alive) return;
  uint32_t slot = static_cast<uint32_t>(messages_.size());
  if (free_messages_.empty()) {
    messages_.emplace_back();
    readers_.push_back(0);
  } else {
    slot = free_messages_.back();
    free_messages_.pop_back();
  }
  Message& message = messages_[slot];
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
  message.measured = now_;
  readers_[slot] = deployment_.nodes[engine.zone];
  for (uint32_t i = 0; i < deployment_.nodes[engine.zone]; ++i) {
    const int64_t delay =
        static_cast<int64_t>(scenario_.report_delay_s * 1e9) + static_cast<int64_t>(random_.Below(100 * kMs));
    Push(now_ + delay, Kind::kDeliver, slot, first_node_[engine.zone] + i);
  }
}

void Model::SendSum(uint32_t zone) {
  Push(now_ + 2 * kSecond, Kind::kSum, zone);
  const Node& source = *nodes_[first_node_[zone]];
  for (uint32_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->zone == zone) continue;
    uint32_t slot = static_cast<uint32_t>(messages_.size());
    if (free_messages_.empty()) {
      messages_.emplace_back();
      readers_.push_back(0);
    } else {
      slot = free_messages_.back();
      free_messages_.pop_back();
    }
    messages_[slot].sum = source.table.SumOfZone(static_cast<upstreams::Index>(zone), Time());
    messages_[slot].zone = zone;
    messages_[slot].measured = now_;
    readers_[slot] = 1;
    // One node of a zone hears the sum; its peers hear it by gossip within two further seconds.
    const int64_t delay = kRegionMs * kMs + static_cast<int64_t>(scenario_.report_delay_s * 1e9) +
                          static_cast<int64_t>(random_.Below(2 * kSecond));
    Push(now_ + delay, Kind::kDeliverSum, slot, i);
  }
}

void Model::Deliver(uint32_t slot, uint32_t index) {
  Message& message = messages_[slot];
  upstreams::UpstreamTable& table = nodes_[index]->table;
  const base::Duration age{now_ - message.measured};
  if (message.zone == upstreams::kNone) {
    message.report.age = age;
    table.OnLoadReport(message.report, Time());
    table.OnCacheEvents(message.report.upstream, message.report.incarnation, message.events);
  } else {
    const auto& name = nodes_[index]->world->Names().Zones()[message.zone];
    table.OnZoneSum(name.region, name.zone, message.sum, age, Time());
  }
  if (--readers_[slot] == 0) free_messages_.push_back(slot);
}

}  // namespace cornelplank::bench
