#include "tests/routing/routing_fuzz.h"

#include <deque>

#include "tests/fuzz/fuzz_target.h"
#include "tests/routing/decision_oracle.h"

namespace cornelplank::routing {
namespace {

using upstreams::EngineState;
using upstreams::UpstreamLoadReport;

enum Op {
  kArrive,
  kRetry,
  kSend,
  kDeliver,
  kDuplicate,
  kDie,
  kLeave,
  kReturn,
  kPartition,
  kHeal,
  kHomeOnly,
  kChange,
  kCacheEvents,
  kZoneSum,
  kClock,
  kOps
};

constexpr const char* kOpNames[] = {"arrive",    "retry",         "send-report",  "deliver",   "duplicate",
                                    "die",       "leave",         "return",       "partition", "heal",
                                    "home-only", "change-config", "cache-events", "zone-sum",  "clock"};

struct Command {
  int op = 0;
  int node = 0;
  int target = 0;
  int value = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << kOpNames[command.op] << "(node " << command.node << ", " << command.target << ", "
             << command.value << ")";
}

constexpr int kRegions = 3;
constexpr int kZones = 2;
constexpr int kNodes = kRegions * kZones;
constexpr int kReplicas = 4;

std::string Name(char letter, int number) { return {letter, static_cast<char>('0' + number)}; }

config::Document InitialDocument() {
  config::Document document;
  document.partners["p0"] = {config::Objective::kLatency, 200, {}, {{"p1", 0.5}}};
  document.partners["p1"] = {config::Objective::kCost, 50, {}, {}};
  document.models["m0"] = {"p0", "1", 10, 1};
  document.models["m1"] = {"p0", "1", 10, 1};
  document.residency["any"] = {"p0", {"r0", "r1", "r2"}};
  document.residency["home"] = {"p0", {"home"}};
  document.residency["pair"] = {"p0", {"home", "r1"}};
  for (int node = 0; node < kNodes; ++node) {
    const std::string region = Name('r', node / kZones);
    const std::string zone = Name('z', node % kZones);
    document.regions[region].zones.push_back(zone);
    for (int e = 0; e < kReplicas; ++e) {
      config::Upstream upstream;
      upstream.partner = Name('p', e == 3 ? 1 : 0);
      upstream.region = region;
      upstream.zone = zone;
      upstream.slots = e == 0 ? 20 : 2;
      upstream.models = {"m0"};
      if (e % 2 == 0) upstream.models.emplace_back("m1");
      document.upstreams[region + zone + Name('e', e)] = upstream;
    }
  }
  for (const auto& [a, b] : {std::pair{"r0", "r1"}, std::pair{"r0", "r2"}, std::pair{"r1", "r2"}}) {
    document.links.push_back({a, b, 140, std::chrono::milliseconds{80}});
  }
  return document;
}

/// One entry VM with its own state, and the oracle's record of the reports and responses that it received.
struct Node {
  OwnNode view;
  config::Document document = InitialDocument();
  std::shared_ptr<LinkBudget> links = std::make_shared<LinkBudget>(upstreams::kMaxRegions);
  upstreams::UpstreamTable table;
  std::unique_ptr<const RoutingSnapshot> snapshot;
  DecisionOracle::Upstreams state;
  std::map<std::string, std::set<std::string>> models;
  std::map<std::string, base::TimePoint> models_measured;
  std::set<std::string> unreachable;
};

/// A load report on its way to the nodes.
struct Message {
  UpstreamLoadReport report;  // the age is set at delivery
  base::TimePoint measured;
};

/// The nodes of all zones, the messages between them and the engines, and a clock.
class Fleet {
 public:
  explicit Fleet(const Router& router) : router_(router) {
    for (int i = 0; i < kNodes; ++i) {
      nodes_[i].view = {Name('r', i / kZones), Name('z', i % kZones), false, 2, 4};
      Configure(nodes_[i], InitialDocument());
    }
  }

  std::string Apply(const Command& command) {
    Node& node = nodes_[command.node];
    const std::string id = UpstreamId(command.target);
    switch (command.op) {
      case kArrive:
      case kRetry:
        return RouteToEnd(command);
      case kSend:
        Send(id, command.value % 9 == 0 ? EngineState::kLeaving : EngineState::kReady, command.value);
        break;
      case kDeliver:
      case kDuplicate:
        Deliver(node, command);
        break;
      case kDie:
        for (int i = 0; i < 5; ++i) Finish(node, id, upstreams::RequestOutcome::kFailure, false);
        break;
      case kLeave:
        if (node.document.upstreams.count(id) > 0) {
          node.table.OnLeavingResponse(id, now_);
          node.state[id].LeavingResponse(now_);
        }
        break;
      case kReturn:
        ++incarnations_[id];
        Send(id, EngineState::kReady, command.value);
        break;
      case kPartition:
      case kHeal:
        Partition(node, command.target, command.op == kHeal);
        break;
      case kHomeOnly:
        node.view.home_only = command.value % 2 == 0;
        Rebuild(node);
        break;
      case kChange:
        Change(node, command);
        break;
      case kCacheEvents:
        CacheEvents(node, id, command.value);
        break;
      case kZoneSum:
        node.table.OnZoneSum(Name('r', command.target % kRegions), Name('z', command.value % kZones),
                             {100, static_cast<uint32_t>(command.value * 4), 0, 0, {}},
                             std::chrono::milliseconds{command.value * 100}, now_);
        break;
      default:
        now_ += std::chrono::milliseconds{command.value * command.value * 20};
    }
    return "";
  }

 private:
  static std::string UpstreamId(int target) {
    const int node = target % kNodes;
    return Name('r', node / kZones) + Name('z', node % kZones) + Name('e', target / kNodes % kReplicas);
  }

  void Rebuild(Node& node) {
    node.snapshot = RoutingSnapshot::Build(node.document, node.table.TakeSnapshot(), node.view, node.links);
  }

  void Configure(Node& node, config::Document document) {
    const auto same_names = [](const auto& a, const auto& b) { return a.first == b.first; };
    const bool model_indices_changed =
        !std::equal(document.models.begin(), document.models.end(), node.document.models.begin(),
                    node.document.models.end(), same_names);
    node.document = std::move(document);
    node.table.Configure(node.document, now_);
    std::erase_if(node.state,
                  [&](const auto& entry) { return node.document.upstreams.count(entry.first) == 0; });
    for (const auto& [id, upstream] : node.document.upstreams) {
      const bool added = node.state.count(id) == 0;
      node.state[id].config_leaving = upstream.leaving;
      if (added || model_indices_changed) node.models_measured.erase(id);
      if (node.models_measured.count(id) == 0) {
        node.models[id] = {upstream.models.begin(), upstream.models.end()};
      }
    }
    for (auto& [id, state] : node.state) {
      if (!state.ejected || 10 * Ejected(node, id) <= 3 * ZoneSize(node, id)) continue;
      state.ejected = false;
      state.suspect_until = now_ + state.NextBackOff(now_);
    }
    Rebuild(node);
  }

  static size_t ZoneSize(const Node& node, const std::string& id) {
    return std::count_if(node.state.begin(), node.state.end(),
                         [&](const auto& entry) { return entry.first.compare(0, 4, id, 0, 4) == 0; });
  }
  static size_t Ejected(const Node& node, const std::string& id) {
    return std::count_if(node.state.begin(), node.state.end(), [&](const auto& entry) {
      return entry.second.ejected && entry.first.compare(0, 4, id, 0, 4) == 0;
    });
  }

  void Send(const std::string& id, EngineState state, int value) {
    const uint64_t incarnation = incarnations_[id] + 1;
    std::vector<std::string> models{"m0"};
    if (value % 3 == 0) models = {"m1"};
    messages_.push_back({{id, incarnation, state, static_cast<uint32_t>(value), 0, models, {}}, now_});
  }

  // Delivers an arbitrary message, so that reports arrive late, out of order and twice.
  void Deliver(Node& node, const Command& command) {
    if (messages_.empty()) return;
    const auto position = messages_.begin() + command.target % static_cast<int>(messages_.size());
    Message message = *position;
    if (command.op == kDeliver) messages_.erase(position);
    UpstreamLoadReport& report = message.report;
    report.age = now_ - message.measured;
    node.table.OnLoadReport(report, now_);
    if (node.document.upstreams.count(report.upstream) == 0) return;
    upstreams::UpstreamOracle& state = node.state[report.upstream];
    if (report.incarnation < state.incarnation) return;
    const bool younger =
        report.incarnation > state.incarnation || !state.has_report || message.measured > state.measured;
    state.Report(report.incarnation, report.state, report.running, message.measured);
    if (!younger) return;
    node.models_measured[report.upstream] = message.measured;
    node.models[report.upstream] = {};
    for (const std::string& model : report.models) {
      if (node.document.models.count(model) > 0) node.models[report.upstream].insert(model);
    }
  }

  void Finish(Node& node, const std::string& id, upstreams::RequestOutcome result, bool probe) {
    if (node.document.upstreams.count(id) == 0) return;
    const bool may_eject = upstreams::MayEjectOneMore(ZoneSize(node, id), Ejected(node, id));
    if (result == upstreams::RequestOutcome::kFailure) {
      node.state[id].Failure(probe, may_eject, now_);
    } else {
      node.state[id].Success(probe, now_);
    }
    node.table.OnResult(id, result, probe, now_);
  }

  void Partition(Node& node, int target, bool heal) {
    const std::string region = Name('r', target % kRegions);
    const std::string zone = Name('z', target / kRegions % kZones);
    node.table.OnZoneReachable(region, zone, heal);
    if (heal) {
      node.unreachable.erase(region + "/" + zone);
    } else {
      node.unreachable.insert(region + "/" + zone);
    }
  }

  // Changes that move indices (a region, a model), that narrow residency, and that touch one upstream.
  void Change(Node& node, const Command& command) {
    config::Document document = node.document;
    const std::string id = UpstreamId(command.target);
    switch (command.value % 6) {
      case 0:
        if (document.regions.erase("a") == 0) document.regions["a"] = {"p0", {"z0"}};
        break;
      case 1:
        if (document.models.erase("a") == 0) document.models["a"] = {"p0", "1", 1, 1};
        break;
      case 2:
        document.residency["any"].allow = {Name('r', command.target % kRegions)};
        break;
      case 3:
        if (document.upstreams.count(id) > 0) {
          document.upstreams[id].leaving = !document.upstreams[id].leaving;
        }
        break;
      case 4:
        if (document.upstreams.erase(id) == 0) document.upstreams[id] = InitialDocument().upstreams[id];
        break;
      default:
        document.partners["p0"].lends["p1"] = command.target % 2;
    }
    Configure(node, std::move(document));
  }

  void CacheEvents(Node& node, const std::string& id, int value) {
    std::vector<upstreams::PrefixCacheEvent> events;
    for (int i = 0; i < 3; ++i) {
      events.push_back({static_cast<uint64_t>(1 + i * (1 + value % 2)), upstreams::CacheOperation::kAdd,
                        static_cast<uint64_t>(value), 100});
    }
    node.table.OnCacheEvents(id, incarnations_[id] + 1, events);
  }

  // Routes one request until it reaches an upstream or is refused: at the first node, then at the node of
  // each zone that it is forwarded to. Returns the broken rule or an empty text.
  std::string RouteToEnd(const Command& command) {
    static constexpr const char* kRules[] = {"any", "home", "pair", "missing"};
    if (command.op == kArrive) {
      last_ = NamedRequest{Name('p', command.target % 2),
                           Name('m', command.value % 2),
                           kRules[command.value / 2 % 4],
                           Name('r', command.value % kRegions),
                           {},
                           {},
                           command.value % 5 != 0};
    }
    NamedRequest request = last_;
    int index = command.node;
    for (size_t hop = 0; hop <= kNodes; ++hop) {
      Node& node = nodes_[index];
      const DecisionOracle oracle(node.document, node.state, node.models, node.view, node.unreachable);
      const auto decision = Decide(node, request);
      if (!decision) return CheckRefusal(oracle, request);
      if (decision->target == RouteTarget::kUpstream) {
        return BeginAtUpstream(node, oracle, request, *decision, command);
      }
      const auto& zone = node.snapshot->Names().Zones()[decision->zone];
      if (std::string broken = oracle.CheckZone(request, zone.region, zone.zone); !broken.empty()) {
        return broken;
      }
      request.visited.insert(node.view.region + "/" + node.view.zone);
      index = (zone.region[1] - '0') * kZones + (zone.zone[1] - '0');
    }
    return "the request never reached an upstream";
  }

  std::optional<RouteDecision> Decide(const Node& node, const NamedRequest& named) {
    const RoutingSnapshot& snapshot = *node.snapshot;
    RouteRequest request = snapshot.Resolve({named.partner, named.model, "", named.rule, named.home});
    request.now = now_;
    request.prompt_tokens = 500;
    request.prefix = 1;
    request.prefix_tokens = 400;
    request.idempotent = named.idempotent;
    for (const std::string& id : named.tried) request.excluded.AddReplica(base::Hash64(id));
    std::vector<Index> zones;
    for (const std::string& zone : named.visited) {
      zones.push_back(snapshot.Names().Zone(zone.substr(0, 2), zone.substr(3)));
    }
    const auto route = HopPath::FromZones(zones);
    if (!route) return std::nullopt;
    request.hop_path = *route;
    return router_.Choose(request, snapshot, random_, &reason_);
  }

  std::string CheckRefusal(const DecisionOracle& oracle, const NamedRequest& request) const {
    const bool soft = reason_.code == RouteCode::kWaitForSpare || reason_.code == RouteCode::kDeadline;
    return !soft && oracle.IsServableInOwnZone(request) ? "refused although the own zone can serve it" : "";
  }

  std::string BeginAtUpstream(Node& node, const DecisionOracle& oracle, const NamedRequest& request,
                              const RouteDecision& decision, const Command& command) {
    const upstreams::ReplicaRecord& replica = node.snapshot->Upstreams().Replicas()[decision.upstream];
    if (std::string broken = oracle.CheckUpstream(request, replica.id, decision.breakdown.probe);
        !broken.empty()) {
      return broken;
    }
    const auto guard = upstreams::InFlightRequest::Begin(replica.live, now_, nullptr);
    if (!guard) return "the chosen upstream takes no work: " + replica.id;
    const bool fails = command.value % 4 == 0;
    last_.tried.insert(replica.id);
    if (last_.tried.size() > ExcludeSet::kCapacity) last_.tried.clear();
    Finish(node, replica.id,
           fails ? upstreams::RequestOutcome::kFailure : upstreams::RequestOutcome::kSuccess,
           guard->IsProbe());
    return "";
  }

  const Router& router_;
  base::TimePoint now_{std::chrono::hours{1}};
  base::Random random_{1};
  RouteReason reason_;
  Node nodes_[kNodes];
  std::deque<Message> messages_;
  std::map<std::string, uint64_t> incarnations_;
  NamedRequest last_{"p0", "m0", "any", "r0", {}, {}, true};
};

rc::Gen<Command> AnyCommand() {
  const auto op = rc::gen::oneOf(rc::gen::inRange(0, static_cast<int>(kOps)),
                                 rc::gen::element<int>(kArrive, kArrive, kRetry, kDeliver));
  return rc::gen::build<Command>(rc::gen::set(&Command::op, op),
                                 rc::gen::set(&Command::node, rc::gen::inRange(0, kNodes)),
                                 rc::gen::set(&Command::target, rc::gen::inRange(0, kNodes * kReplicas)),
                                 rc::gen::set(&Command::value, rc::gen::inRange(0, 40)));
}

}  // namespace

std::optional<std::string> FuzzRouting(uint64_t seed, uint64_t steps, const Router& router) {
  constexpr int kCommands = 200;
  return fuzz::CheckProperty(seed, std::max<uint64_t>(steps * 2 / kCommands, 1), kCommands, [&router] {
    Fleet fleet(router);
    for (const Command& command : *rc::gen::container<std::vector<Command>>(AnyCommand())) {
      const std::string violation = fleet.Apply(command);
      if (!violation.empty()) RC_FAIL(violation);
    }
  });
}

namespace {

const bool kRegistered = fuzz::RegisterFuzzTarget(
    {"routing", [](uint64_t seed, uint64_t steps) { return FuzzRouting(seed, steps, ScoredRouter()); }});

}  // namespace
}  // namespace cornelplank::routing
