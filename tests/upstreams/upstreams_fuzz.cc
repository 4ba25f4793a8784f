#include "tests/upstreams/upstreams_fuzz.h"

#include <list>

#include "tests/fuzz/fuzz_target.h"
#include "tests/upstreams/upstream_oracle.h"

namespace cornelplank::upstreams {
namespace {

enum Op {
  kSuccess,
  kFailure,
  kFailFive,
  kFlaky,
  kBegin,
  kEnd,
  kReport,
  kResponse,
  kResize,
  kToggle,
  kClock,
  kOps
};

struct Command {
  int op = 0;
  int replica = 0;
  int value = 0;
  int time = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command) {
  static constexpr const char* kNames[] = {"success", "failure",       "fail-five", "flaky",
                                           "begin",   "end",           "report",    "response",
                                           "resize",  "toggle-config", "clock"};
  return out << kNames[command.op] << "(e" << command.replica << ", " << command.value << ", " << command.time
             << ")";
}

constexpr int kReplicas = 12;
constexpr int kDropped = -1;  // the upstream was removed from the configuration during the request

/// A request in flight.
struct Open {
  int replica;
  InFlightRequest guard;
};

/// The table and its oracles, in a configuration of two zones of up to six replicas each; replica i is in
/// zone i % 2.
class Model {
 public:
  explicit Model(TableFault fault) : fault_(fault) { Configure(); }

  std::string Apply(const Command& command) {
    const std::string id = Id(command.replica);
    const bool present = command.replica < size_;
    UpstreamOracle& oracle = oracles_[command.replica];
    switch (command.op) {
      case kSuccess:
        for (int i = 0; present && i < 1 + command.value / 2; ++i) {
          Finish(command.replica, RequestOutcome::kSuccess, false);
        }
        break;
      case kFailure:
      case kFailFive:
        for (int i = 0; present && i < (command.op == kFailFive ? 5 : 1 + command.value % 4); ++i) {
          Finish(command.replica, RequestOutcome::kFailure, false);
        }
        break;
      case kFlaky:  // enough results to compare the success rate, never five consecutive failures
        for (int i = 0; present && i < 36; ++i) {
          Finish(command.replica, i % 3 == 0 ? RequestOutcome::kSuccess : RequestOutcome::kFailure, false);
        }
        break;
      case kBegin:
        return present ? Begin(command.replica) : "";
      case kEnd:
        End(command);
        break;
      case kReport:
        if (present) Report(command, oracle);
        break;
      case kResponse:
        if (fault_ != TableFault::kForgetsLeavingResponse) table_.OnLeavingResponse(id, now_);
        if (present) oracle.LeavingResponse(now_);
        break;
      case kResize:
        size_ = 1 + command.value % kReplicas;
        Configure();
        break;
      case kToggle:
        oracle.config_leaving = present && !oracle.config_leaving;
        Configure();
        break;
      default:
        now_ += std::chrono::milliseconds{command.time * command.time * 10};
        Tick();
    }
    return Check();
  }

 private:
  static std::string Id(int replica) {
    std::string id = "e";
    return id += static_cast<char>('a' + replica);
  }

  size_t Ejected(int zone) const {
    return std::count_if(oracles_.begin(), oracles_.end(),
                         [&](const auto& entry) { return entry.first % 2 == zone && entry.second.ejected; });
  }
  size_t ZoneSize(int zone) const { return (size_ + 1 - zone) / 2; }
  ReplicaLiveState& LiveState(int replica) { return *table_.TakeSnapshot()->Find(Id(replica))->live; }

  void Configure() {
    config::Document document;
    document.regions["r"] = {"p", {"0", "1"}};
    document.partners["p"] = {};
    document.models["m"] = {"p", "1", 1, 1};
    for (int i = 0; i < size_; ++i) {
      config::Upstream upstream;
      upstream.partner = "p";
      upstream.region = "r";
      upstream.zone = i % 2 == 0 ? "0" : "1";
      upstream.models = {"m"};
      upstream.leaving = oracles_[i].config_leaving;
      document.upstreams[Id(i)] = upstream;
    }
    table_.Configure(document, now_);
    for (int i = size_; i < kReplicas; ++i) oracles_.erase(i);
    for (Open& open : open_) {
      if (open.replica >= size_) open.replica = kDropped;
    }
    for (auto& [replica, oracle] : oracles_) {
      const int zone = replica % 2;
      if (!oracle.ejected || 10 * Ejected(zone) <= 3 * ZoneSize(zone)) continue;
      oracle.ejected = false;
      oracle.suspect_until = now_ + oracle.NextBackOff(now_);
    }
  }

  void Finish(int replica, RequestOutcome result, bool probe) {
    UpstreamOracle& oracle = oracles_[replica];
    const int zone = replica % 2;
    if (result == RequestOutcome::kSuccess) {
      oracle.Success(probe, now_);
    } else {
      oracle.Failure(probe, MayEjectOneMore(ZoneSize(zone), Ejected(zone)), now_);
    }
    table_.OnResult(Id(replica), result, probe, now_);
    if (fault_ == TableFault::kEjectsWithoutBound && oracle.failures >= 5) {
      LiveState(replica).Eject(now_ + std::chrono::seconds{1});
    }
  }

  // Compares success rates within each zone, then halves old results every 10 s.
  void Tick() {
    if (fault_ != TableFault::kIgnoresSuccessRates) table_.Tick(now_);
    std::map<int, std::pair<double, double>> totals;
    for (const auto& [replica, oracle] : oracles_) {
      totals[replica % 2].first += oracle.recent_successes;
      totals[replica % 2].second += oracle.recent_failures;
    }
    for (auto& [replica, oracle] : oracles_) {
      const double peer_successes = totals[replica % 2].first - oracle.recent_successes;
      const double peer_failures = totals[replica % 2].second - oracle.recent_failures;
      const bool enough =
          oracle.recent_successes + oracle.recent_failures >= 20 && peer_successes + peer_failures >= 20;
      if (oracle.ejected || !enough) continue;
      const bool far_below =
          oracle.recent_successes / (oracle.recent_successes + oracle.recent_failures) + 0.3 <=
          peer_successes / (peer_successes + peer_failures);
      if (far_below) {
        oracle.EjectOrSuspect(MayEjectOneMore(ZoneSize(replica % 2), Ejected(replica % 2)), now_);
      }
    }
    if (now_ - results_halved_at_ < std::chrono::seconds{10}) return;
    results_halved_at_ = now_;
    for (auto& [replica, oracle] : oracles_) {
      oracle.recent_successes /= 2;
      oracle.recent_failures /= 2;
    }
  }

  std::string Begin(int replica) {
    const UpstreamOracle& oracle = oracles_[replica];
    const auto live = table_.TakeSnapshot()->Find(Id(replica))->live;
    const bool probing = std::any_of(open_.begin(), open_.end(), [&](const Open& open) {
      return open.replica == replica && open.guard.IsProbe();
    });
    const bool expected = !oracle.Leaving() && (!oracle.ejected || (now_ >= oracle.retry_at && !probing));
    if (fault_ == TableFault::kProbesTwice && oracle.ejected) live->Readmit();
    auto guard = InFlightRequest::Begin(live, now_, nullptr);
    if (guard.has_value() != expected) return guard ? "work was given to " + Id(replica) : "work was refused";
    if (guard && guard->IsProbe() != oracle.ejected) return "a probe was not marked as one";
    if (guard) open_.push_back(Open{replica, std::move(*guard)});
    return "";
  }

  void End(const Command& command) {
    if (open_.empty()) return;
    const auto open = std::next(open_.begin(), command.replica % static_cast<int>(open_.size()));
    const int replica = open->replica;
    const bool probe = open->guard.IsProbe();
    if (command.value % 3 != 0 && replica != kDropped) {
      Finish(replica, command.value % 3 == 1 ? RequestOutcome::kSuccess : RequestOutcome::kFailure, probe);
    }
    open_.erase(open);
  }

  void Report(const Command& command, UpstreamOracle& oracle) {
    const std::chrono::milliseconds age{command.time * 100};
    const auto incarnation = static_cast<uint64_t>(1 + command.value % 4);
    const EngineState state = command.value % 7 == 0 ? EngineState::kLeaving : EngineState::kReady;
    const auto running = static_cast<uint32_t>(command.value);
    table_.OnLoadReport({Id(command.replica), incarnation, state, running, 0, {"m"}, age}, now_);
    if (fault_ == TableFault::kTakesOldReports) {
      LiveState(command.replica).SetLoad(LastReportedLoad{running, 0, 0, now_ - age});
    }
    oracle.Report(incarnation, state, running, now_ - age);
  }

  std::string Check() {
    const auto snapshot = table_.TakeSnapshot();
    for (int zone = 0; zone < 2; ++zone) {
      size_t ejected = 0;
      for (int i = zone; i < size_; i += 2) ejected += LiveState(i).Ejected() ? 1 : 0;
      if (10 * ejected > 3 * ZoneSize(zone)) return "more than 30% of a zone is ejected";
    }
    for (int i = 0; i < size_; ++i) {
      const UpstreamOracle& oracle = oracles_[i];
      const ReplicaLiveState& live = LiveState(i);
      if (live.Leaving() != oracle.Leaving()) return "leaving state of " + Id(i);
      if (live.Ejected() != oracle.ejected) return "ejection of " + Id(i);
      if (live.Suspect(now_) != (now_ < oracle.suspect_until)) return "suspicion of " + Id(i);
      if (oracle.has_report && live.Load().running != oracle.running) return "load of " + Id(i);
    }
    return "";
  }

  TableFault fault_;
  base::TimePoint now_{std::chrono::hours{1}};
  base::TimePoint results_halved_at_{};
  int size_ = kReplicas;
  UpstreamTable table_;
  std::map<int, UpstreamOracle> oracles_;
  std::list<Open> open_;
};

rc::Gen<Command> AnyCommand() {
  return rc::gen::build<Command>(rc::gen::set(&Command::op, rc::gen::inRange(0, static_cast<int>(kOps))),
                                 rc::gen::set(&Command::replica, rc::gen::inRange(0, kReplicas)),
                                 rc::gen::set(&Command::value, rc::gen::inRange(0, 60)),
                                 rc::gen::set(&Command::time, rc::gen::inRange(0, 60)));
}

}  // namespace

std::optional<std::string> FuzzUpstreams(uint64_t seed, uint64_t steps, TableFault fault) {
  constexpr int kCommands = 200;
  return fuzz::CheckProperty(seed, std::max<uint64_t>(steps * 2 / kCommands, 1), kCommands, [fault] {
    Model model(fault);
    for (const Command& command : *rc::gen::container<std::vector<Command>>(AnyCommand())) {
      const std::string violation = model.Apply(command);
      if (!violation.empty()) RC_FAIL(violation);
    }
  });
}

namespace {

const bool kRegistered = fuzz::RegisterFuzzTarget({"upstreams", [](uint64_t seed, uint64_t steps) {
                                                     return FuzzUpstreams(seed, steps, TableFault::kNone);
                                                   }});

}  // namespace
}  // namespace cornelplank::upstreams
