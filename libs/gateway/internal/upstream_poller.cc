#include "libs/gateway/internal/upstream_poller.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <thread>

namespace cornelplank::gateway {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStopCheckInterval{50};        // while waiting for the next poll
constexpr milliseconds kPollTimeout{500};             // for each call of an engine
constexpr size_t kMaxCacheEvents = 1000;              // applied from one answer
constexpr std::chrono::seconds kFullPollInterval{5};  // between two polls of all engines of the zone

/// Reads a number that is encoded as a JSON number or as a string; 0 when it is neither.
uint64_t ParseUnsigned(const json& value) {
  if (value.is_number_unsigned()) return value.get<uint64_t>();
  uint64_t number = 0;
  if (value.is_string()) {
    const auto& text = value.get_ref<const std::string&>();
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

/// Returns a text member of an object; `fallback` when it is missing or of another type.
std::string TextMember(const json& object, const char* key, const char* fallback) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>() : fallback;
}

/// The prefix hash of a cache event, which is encoded as 16 hexadecimal digits; 0 when it is missing.
uint64_t PrefixOf(const json& event) {
  const std::string name = TextMember(event, "prefix", "");
  uint64_t prefix = 0;
  std::from_chars(name.data(), name.data() + name.size(), prefix, 16);
  return prefix;
}

/// Returns an unsigned member of an object, at most the greatest of 32 bits; 0 when it is missing or of
/// another type.
uint32_t UnsignedMember(const json& load, const char* key) {
  const auto found = load.find(key);
  if (found == load.end() || !found->is_number_unsigned()) return 0;
  return static_cast<uint32_t>(
      std::min<uint64_t>(found->get<uint64_t>(), std::numeric_limits<uint32_t>::max()));
}

/// Returns the models and versions that a load report lists as loaded.
std::set<orders::ModelVersion> ModelsOf(const json& load) {
  std::set<orders::ModelVersion> models;
  const auto found = load.find("models");
  if (found == load.end() || !found->is_array()) return models;
  for (const json& entry : *found) {
    if (entry.is_object() && entry.contains("model") && entry["model"].is_string()) {
      models.emplace(entry["model"].get<std::string>(), TextMember(entry, "version", ""));
    }
  }
  return models;
}

membership::ReplicaState ToGossip(upstreams::EngineState state) {
  if (state == upstreams::EngineState::kLeaving) return membership::ReplicaState::kLeaving;
  if (state == upstreams::EngineState::kLoading) return membership::ReplicaState::kLoading;
  return membership::ReplicaState::kReady;
}

upstreams::EngineState FromGossip(membership::ReplicaState state) {
  if (state == membership::ReplicaState::kLeaving) return upstreams::EngineState::kLeaving;
  if (state == membership::ReplicaState::kLoading) return upstreams::EngineState::kLoading;
  return upstreams::EngineState::kReady;
}

uint16_t Clamp16(uint32_t value) { return static_cast<uint16_t>(std::min<uint32_t>(value, 0xffff)); }

}  // namespace

UpstreamPoller::UpstreamPoller(SharedState* shared)
    : shared_(shared), http_(http::Client::Create()), planner_({}, shared->settings.zone) {}

void UpstreamPoller::Run() {
  while (!stopping_.load()) {
    const base::TimePoint next = shared_->clock.Now() + shared_->settings.poll_interval;
    const ServingView view = shared_->View();
    if (view.routing_snapshot) {
      const std::vector<Engine> engines = OwnZoneEngines(view);
      std::vector<std::string> ids;
      for (const Engine& engine : engines) ids.push_back(engine.id);
      {
        const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
        ids = membership::ReplicaPollerSelector::OwnReplicas(shared_->fleet.table, ids);
      }
      // Gossip does not carry the models of an engine, so the planner of the zone also polls the engines that
      // are assigned to other VMs.
      const bool poll_all = shared_->clock.Now() >= next_full_poll_ && MakeSendContext().is_planner;
      if (poll_all) next_full_poll_ = shared_->clock.Now() + kFullPollInterval;
      for (const Engine& engine : engines) {
        const bool own = std::find(ids.begin(), ids.end(), engine.id) != ids.end();
        if ((own || poll_all) && !stopping_.load()) PollEngine(engine, own);
      }
      ApplyGossipLoads(engines);
      ApplyZoneSums(view);
      UpdateShare();
      SendOrders(view, engines);
      const std::lock_guard<std::mutex> lock(shared_->replicas.mutex);
      shared_->replicas.table.Tick(shared_->clock.Now());
    }
    while (!stopping_.load() && shared_->clock.Now() < next) std::this_thread::sleep_for(kStopCheckInterval);
  }
}

std::vector<UpstreamPoller::Engine> UpstreamPoller::OwnZoneEngines(const ServingView& view) const {
  std::vector<Engine> engines;
  const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
  const auto& names = shared_->fleet.gossip.names().replicas;
  for (size_t i = 0; i < names.size(); ++i) {
    const auto upstream = view.document->upstreams.find(names[i]);
    if (upstream == view.document->upstreams.end()) continue;
    engines.push_back(
        {names[i], upstream->second.address, upstream->second.models, static_cast<uint16_t>(i)});
  }
  return engines;
}

void UpstreamPoller::PollEngine(const Engine& engine, bool own) {
  http::ClientRequest request;
  request.url = "http://" + engine.address + "/load";
  request.connect_timeout = shared_->settings.connect_limit;
  request.timeout = kPollTimeout;
  const auto response = http_->Send(request, nullptr, nullptr);
  const auto load = response ? base::ParseJson(response->body) : json();
  const base::TimePoint now = shared_->clock.Now();
  if (!load.is_object() || response->status != 200) {
    if (!own) return;
    {
      const std::lock_guard<std::mutex> lock(shared_->replicas.mutex);
      shared_->replicas.table.OnResult(engine.id, upstreams::RequestOutcome::kFailure, false, now);
    }
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    shared_->fleet.gossip.SetOwnLoad(engine.index, 0, 0, membership::ReplicaState::kUnreachable, now);
    return;
  }
  upstreams::UpstreamLoadReport report;
  report.upstream = engine.id;
  report.incarnation = load.contains("incarnation") ? ParseUnsigned(load["incarnation"]) : 0;
  report.running = UnsignedMember(load, "running");
  report.queued = UnsignedMember(load, "queued");
  report.age = milliseconds{UnsignedMember(load, "age_ms")};
  const std::string state = TextMember(load, "state", "ready");
  if (state == "leaving") report.state = upstreams::EngineState::kLeaving;
  if (state == "loading") report.state = upstreams::EngineState::kLoading;
  const auto models = ModelsOf(load);
  for (const auto& [model, version] : models) report.models.push_back(model);
  {
    const std::lock_guard<std::mutex> lock(shared_->replicas.mutex);
    shared_->replicas.table.OnLoadReport(report, now);
  }
  planner_.RecordReport({engine.id, std::to_string(report.incarnation),
                         report.state == upstreams::EngineState::kLeaving, models},
                        now);
  if (!own) return;
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    shared_->fleet.gossip.SetOwnLoad(engine.index, Clamp16(report.running), Clamp16(report.queued),
                                     ToGossip(report.state), now);
  }
  PollCacheEvents(engine, report.incarnation);
}

void UpstreamPoller::PollCacheEvents(const Engine& engine, uint64_t incarnation) {
  uint64_t after = 0;
  {
    const std::lock_guard<std::mutex> lock(shared_->replicas.mutex);
    after = shared_->replicas.table.CacheCursor(engine.id);
  }
  http::ClientRequest request;
  request.url = "http://" + engine.address + "/cache-events?after=" + std::to_string(after);
  request.connect_timeout = shared_->settings.connect_limit;
  request.timeout = kPollTimeout;
  const auto response = http_->Send(request, nullptr, nullptr);
  const auto body = response ? base::ParseJson(response->body) : json();
  if (!body.is_object() || !body.contains("events") || !body["events"].is_array()) return;
  std::vector<upstreams::PrefixCacheEvent> events;
  for (const json& entry : body["events"]) {
    if (!entry.is_object() || events.size() >= kMaxCacheEvents) break;
    upstreams::PrefixCacheEvent event;
    event.seq = entry.contains("seq") ? ParseUnsigned(entry["seq"]) : 0;
    event.operation = TextMember(entry, "op", "") == "evict" ? upstreams::CacheOperation::kEvict
                                                             : upstreams::CacheOperation::kAdd;
    event.prefix = PrefixOf(entry);
    event.tokens = UnsignedMember(entry, "tokens");
    events.push_back(event);
  }
  if (events.empty()) return;
  const std::lock_guard<std::mutex> lock(shared_->replicas.mutex);
  shared_->replicas.table.OnCacheEvents(engine.id, incarnation, events);
}

/// Applies the load of the engines that other VMs of the zone poll, as gossip reports it.
void UpstreamPoller::ApplyGossipLoads(const std::vector<Engine>& engines) {
  const base::TimePoint now = shared_->clock.Now();
  for (const Engine& engine : engines) {
    std::optional<membership::ReplicaLoad> load;
    {
      const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
      load = shared_->fleet.gossip.FindReplicaLoad(engine.index, now);
    }
    if (!load || load->age == membership::kNoAge) continue;
    if (load->state == membership::ReplicaState::kUnreachable) continue;
    planner_.RecordAlive(engine.id, now);
    upstreams::UpstreamLoadReport report;
    report.upstream = engine.id;
    report.state = FromGossip(load->state);
    report.running = load->running;
    report.queued = load->queued;
    report.models = engine.models;
    report.age = membership::DecodeAge(load->age);
    const std::lock_guard<std::mutex> lock(shared_->replicas.mutex);
    shared_->replicas.table.OnLoadReport(report, now);
  }
}

void UpstreamPoller::ApplyZoneSums(const ServingView& view) {
  const base::TimePoint now = shared_->clock.Now();
  const auto& zones = view.routing_snapshot->Names().Zones();
  for (size_t i = 0; i < zones.size(); ++i) {
    if (zones[i].zone == shared_->settings.zone) continue;
    std::optional<membership::ZoneLoadSum> sum;
    bool known = false;
    bool usable = false;
    {
      const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
      for (const membership::Vm* vm : shared_->fleet.table.VmsInZone(zones[i].zone)) {
        known = true;
        usable = usable || vm->usable();
      }
      const auto& names = shared_->fleet.gossip.names().zones;
      const auto found = std::find(names.begin(), names.end(), zones[i].zone);
      if (found != names.end()) {
        sum = shared_->fleet.gossip.FindZoneSum(static_cast<uint8_t>(found - names.begin()), now);
      }
    }
    const std::lock_guard<std::mutex> lock(shared_->replicas.mutex);
    shared_->replicas.table.OnZoneReachable(zones[i].region, zones[i].zone, known && usable);
    if (!sum || sum->age == membership::kNoAge) continue;
    upstreams::LastReportedZoneLoad load;
    load.slots = sum->slots;
    load.running = sum->running;
    for (const uint16_t queued : sum->queued) load.queued += queued;
    shared_->replicas.table.OnZoneSum(zones[i].region, zones[i].zone, load, membership::DecodeAge(sum->age),
                                      now);
  }
}

/// Publishes this VM's demand, in requests/s, to the zone's gossip, and sets its share of the zone's
/// capacity.
void UpstreamPoller::UpdateShare() {
  const base::TimePoint now = shared_->clock.Now();
  const double seconds = std::chrono::duration<double>(now - share_updated_at_).count();
  share_updated_at_ = now;
  const auto offered = shared_->admission.TakeOfferedCounts();
  double own_demand = 0;
  for (const auto& [flow, count] : offered) own_demand += static_cast<double>(count);
  own_demand /= std::max(seconds, 0.1);
  std::vector<admission::ZonePeer> peers;
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    auto& fleet = shared_->fleet;
    std::vector<membership::ClassDemand> demand(fleet.gossip.names().classes.size());
    for (size_t i = 0; i < demand.size(); ++i) {
      const std::string& name = fleet.gossip.names().classes[i];
      const size_t slash = name.find('/');
      const auto found = offered.find({name.substr(0, slash), name.substr(slash + 1)});
      if (found == offered.end()) continue;
      demand[i].rate =
          Clamp16(static_cast<uint32_t>(static_cast<double>(found->second) / std::max(seconds, 0.1)));
    }
    fleet.gossip.SetOwnDemand(std::move(demand), now);
    const auto known = fleet.gossip.DemandByVm();
    for (const membership::Vm* vm : fleet.table.VmsInZone(shared_->settings.zone)) {
      if (vm->entry.id == shared_->settings.vm) continue;
      admission::ZonePeer peer{vm->entry.id, 0, vm->last_heard};
      if (const auto found = known.find(vm->entry.id); found != known.end()) {
        for (const membership::ClassDemand& entry : found->second) peer.demand += entry.rate;
      }
      peers.push_back(std::move(peer));
    }
  }
  shared_->admission.SetFraction(node_share_.Update(own_demand, peers, now));
}

orders::SendContext UpstreamPoller::MakeSendContext() const {
  orders::SendContext context;
  context.now = shared_->clock.Now();
  context.config_seq = shared_->View().version.seq;
  const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
  context.highest_known_seq = shared_->fleet.gossip.confirmation().head_seq();
  context.confirmed = shared_->fleet.gossip.IsConfirmed(shared_->fleet.table, context.now);
  context.is_planner = membership::ReplicaPollerSelector::Planner(
                           shared_->fleet.table, shared_->settings.zone) == shared_->settings.vm;
  return context;
}

void UpstreamPoller::SendOrders(const ServingView& view, const std::vector<Engine>& engines) {
  if (view.version.seq != planned_seq_) planner_.SetConfig(view.document, view.version.seq);
  planned_seq_ = view.version.seq;
  const orders::SendContext context = MakeSendContext();
  for (const orders::EngineOrder& order : planner_.Plan(context.confirmed, context.is_planner, context.now)) {
    SendOrder(order, engines);
  }
  pending_orders_.store(planner_.pending());
}

void UpstreamPoller::SendOrder(const orders::EngineOrder& order, const std::vector<Engine>& engines) {
  const auto engine = std::find_if(engines.begin(), engines.end(), [&order](const Engine& candidate) {
    return candidate.id == order.engine;
  });
  if (engine == engines.end()) return;
  http::ClientRequest request;
  request.method = "POST";
  request.url = "http://" + engine->address + "/orders";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = json{
      {"order_id", order.id},
      {"fence", order.fence},
      {"orderer", shared_->settings.vm},
      {"action", orders::ActionName(order.action)},
      {"model", order.model},
      {"version", order.version},
      {"role", ""}}.dump();
  request.connect_timeout = shared_->settings.connect_limit;
  request.timeout = kPollTimeout;
  // Checked last before the send: this process may have been paused since the order was planned.
  if (orders::SendGate::Check(order, MakeSendContext()) != orders::GateVerdict::kSend) {
    planner_.RecordNotSent(order);
    return;
  }
  const auto response = http_->Send(request, nullptr, nullptr);
  auto answer = orders::OrderAnswer::kNoAnswer;
  if (response && response->status == 200) answer = orders::OrderAnswer::kAccepted;
  if (response && response->status == 409) answer = orders::OrderAnswer::kOldFence;
  planner_.RecordAnswer(order, answer);
  CP_LOG(INFO, "orders") << "Ordered " << orders::ActionName(order.action) << " of " << order.model << " "
                         << order.version << " at engine " << order.engine << " with fence " << order.fence
                         << ".";
}

}  // namespace cornelplank::gateway
