#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "tests/soak/client.h"
#include "tests/soak/endless.h"
#include "tests/soak/replica.h"

namespace cornelplank::soak {
namespace {

namespace asio = net::asio;
namespace po = boost::program_options;
namespace wire = testing::wire;
using Mode = testing::FakeStore::Mode;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kClientsPerZone = 8;
constexpr seconds kReadyLimit{15};
// After the last event: time to recover, and time for which the share of served requests is then measured.
constexpr seconds kRecoveryTime{10};
constexpr seconds kMeasuredTime{3};
constexpr double kServedShare = 0.9;
constexpr milliseconds kDrainTime{4000};       // for which a replica serves on after it has announced its end
constexpr milliseconds kUnregisterTime{2500};  // from a replica's crash to the removal of its entry

constexpr size_t kPageSize = 3;  // of the store's listings
// Names of another writer's entries among those of the replicas.
const char* const kOddIds[] = {"&",   "a&after=b", "i+1",   "i #",       "r%2F",
                               "s t", "s%zz",      "s\r\n", "s\xc3\xa9", "s\xff"};

/// Address 127.B.C.n of this run. It depends on the process id, so that runs at the same time don't collide.
asio::ip::address_v4 RunAddress(uint32_t n) {
  const auto pid = static_cast<uint32_t>(getpid());
  return asio::ip::address_v4(0x7f400000 | ((pid & 0x3fff) << 8) | n);
}

/// One run: the store, the replicas, the VMs, the clients and the schedule of events.
class Soak {
 public:
  /// `routes`: number of routes without requests in each configuration.
  Soak(uint64_t seed, Duration duration, int vms, int replicas, int routes)
      : schedule_random_(seed),
        config_random_(seed + 1),
        replica_random_(seed + 2),
        event_random_(seed),
        duration_(duration),
        unused_routes_(routes),
        folder_(std::filesystem::temp_directory_path() / ("cornelplank-soak-" + std::to_string(getpid()))),
        store_(loop_, {RunAddress(250), harness::FreePort()}),
        fleet_(loop_, vms, RunAddress(0), MakeFolder(), StoreAddress()),
        ledger_(fleet_) {
    fleet_.SetLedger(ledger_);
    store_.SetPageSize(kPageSize);
    for (const char* id : kOddIds) store_.Put(wire::ReplicaKey(id), "{}");
    uint32_t number = 0;
    for (const Zone& zone : Zones()) {
      for (const char* service : {"simple", "stream"}) {
        for (int i = 0; i < replicas; ++i) {
          replicas_.push_back(std::make_unique<Replica>(loop_, ledger_, store_, replica_random_, service,
                                                        zone.name, zone.region,
                                                        net::Tcp::endpoint(RunAddress(100 + number++), 0)));
        }
      }
    }
  }

  /// Sets the program that the VMs run, a path, and the memory that each may use.
  void SetProgram(const std::string& program, size_t memory_mb) { fleet_.SetProgram(program, memory_mb); }
  /// Sets the file descriptors that each VM may use.
  void SetDescriptors(size_t descriptors) { fleet_.SetDescriptors(descriptors); }
  /// Returns the number of checks that failed.
  uint64_t Run();

 private:
  std::string MakeFolder() const {
    std::filesystem::create_directories(folder_);
    return folder_;
  }
  net::Tcp::endpoint StoreAddress() const { return {RunAddress(250), store_.Endpoint().port()}; }

  net::Task<> RunAll();
  net::Task<> RunEvents();
  net::Task<> ChangeConfigs();
  net::Task<> MeasureLag();
  /// Starts an event that suits the present state.
  void StartEvent();
  void StartVmEvent();
  net::Task<> CrashReplica(Replica& replica, Duration pause, bool same_id);
  net::Task<> DrainReplica(Replica& replica, Duration pause, bool announced);
  /// All replicas that share the load with `like` state a limit of requests a second.
  net::Task<> LimitReplicas(const Replica& like, double per_second, Duration time);
  /// The replica sends bytes without end, or cuts its answers, for `time`.
  net::Task<> MisbehaveAtReplica(Replica& replica, bool endless, Duration time);
  /// Sends requests without end to a VM, on several connections.
  net::Task<> FloodVm(const VmFleet::Vm& vm);
  net::Task<> PushBackAtReplica(Replica& replica, Duration retry_after, Duration time);
  net::Task<> DisturbStore(Mode mode, Duration time);
  net::Task<> EvacuateZone(std::string zone, Duration time);
  net::Task<> Tracked(net::Task<> event);
  void PutConfig();
  static milliseconds Between(base::Random& random, int64_t low, int64_t high) {
    return milliseconds(low + static_cast<int64_t>(random.Below(static_cast<uint64_t>(high - low))));
  }
  static bool Chance(base::Random& random, uint64_t percent) { return random.Below(100) < percent; }

  asio::io_context loop_{1};
  // Separate sequences, so that the schedule doesn't depend on how many requests the replicas have served.
  base::Random schedule_random_;
  base::Random config_random_;
  base::Random replica_random_;
  base::Random event_random_;  // seeded anew for each event
  Duration duration_;
  int unused_routes_;
  std::string folder_;
  testing::FakeStore store_;
  VmFleet fleet_;
  Ledger ledger_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::set<Replica*> leaving_;  // replicas in an event
  std::vector<std::unique_ptr<Client>> clients_;
  std::map<std::string, std::string> homes_;  // by route
  std::set<std::string> extra_routes_;
  std::set<std::string> evacuated_;
  uint64_t version_ = 0;
  int replica_starts_ = 0;
  int active_events_ = 0;
  bool store_disturbed_ = false;
  bool stop_configs_ = false;
  bool stop_clients_ = false;
  bool finished_ = false;
  Duration max_lag_{};
};

struct RouteShape {
  const char* name;  // "t...": streams; "...x": not part of every configuration
  serving::RequestKind kind;
  bool resumable;
  const char* home;       // region; none: the route has no homes
  uint64_t swap_percent;  // how often a new version moves the route to the other region
};

// Routes with homes that stay, that change every 20 s or so, and that change with every second version: only
// the first two have homes that bind for longer than the time that VMs may take to follow.
constexpr RouteShape kRoutes[] = {
    {"s0", serving::RequestKind::kIdempotent, false, "", 0},
    {"s1", serving::RequestKind::kIdempotent, false, "r1", 10},
    {"s2", serving::RequestKind::kIdempotent, false, "r2", 0},
    {"u0", serving::RequestKind::kAtMostOnce, false, "", 0},
    {"u1", serving::RequestKind::kAtMostOnce, false, "r2", 10},
    {"u2", serving::RequestKind::kAtMostOnce, false, "r1", 0},
    {"u3", serving::RequestKind::kAtMostOnce, false, "r1", 50},
    {"t0", serving::RequestKind::kStream, false, "r1", 10},
    {"t1", serving::RequestKind::kStream, true, "", 0},
    {"t2", serving::RequestKind::kStream, true, "r2", 10},
    {"s3x", serving::RequestKind::kIdempotent, false, "", 0},
    {"u4x", serving::RequestKind::kAtMostOnce, false, "r2", 10},
    {"t3x", serving::RequestKind::kStream, false, "", 0},
};

void Soak::PutConfig() {
  serving::RoutingConfig config;
  config.version = (version_ += 1 + config_random_.Below(5));
  for (const RouteShape& shape : kRoutes) {
    const std::string name = shape.name;
    std::string& home = homes_.try_emplace(name, shape.home).first->second;
    if (!home.empty() && Chance(config_random_, shape.swap_percent)) home = home == "r1" ? "r2" : "r1";
    if (name.ends_with("x") && Chance(config_random_, 20) && extra_routes_.erase(name) == 0) {
      extra_routes_.insert(name);
    }
    if (name.ends_with("x") && !extra_routes_.contains(name)) continue;
    serving::RouteConfig route;
    route.name = name;
    route.host = "h.example";
    route.path_prefix = "/" + name + "/";
    route.kind = shape.kind;
    route.resumable = shape.resumable;
    route.timeout = kRouteTimeout;
    route.target_latency = milliseconds(600);
    route.target_gap = milliseconds(300);
    route.priority = 1;
    route.attempts = 3;
    if (!home.empty()) route.home_regions = {home};
    route.services = {{name.front() == 't' ? "stream" : "simple", 1}};
    config.routes.push_back(route);
  }
  for (const char* name : {"simple", "stream"}) {
    serving::ServiceConfig service;
    service.name = name;
    service.health_path = "/health";
    service.connection_limit = 100;
    config.services[name] = service;
  }
  ledger_.AddConfig(config);
  serving::RouteConfig unused = config.routes.front();
  unused.host = "unused.example";
  for (int i = 0; i < unused_routes_; ++i) {
    unused.name = "unused-" + std::to_string(i);
    unused.path_prefix = "/" + std::to_string(config_random_.Next()) + "/";
    config.routes.push_back(unused);
  }
  fleet_.config_lag().OnPublished(config.version);
  store_.Put(wire::kConfigKey, wire::EncodeConfig(config));
}

net::Task<> Soak::ChangeConfigs() {
  while (!stop_configs_) {
    co_await net::Sleep(loop_, Between(config_random_, 300, 3000));
    if (!stop_configs_) PutConfig();
  }
}

net::Task<> Soak::MeasureLag() {
  while (true) {
    const TimePoint begin = Now();
    co_await net::Sleep(loop_, milliseconds(10));
    max_lag_ = std::max<Duration>(max_lag_, Now() - begin - milliseconds(10));
  }
}

net::Task<> Soak::CrashReplica(Replica& replica, Duration pause, bool same_id) {
  leaving_.insert(&replica);
  replica.Crash();
  co_await net::Sleep(loop_, kUnregisterTime);
  if (!same_id) replica.Unregister();
  co_await net::Sleep(loop_, pause);
  replica.Start(same_id ? replica.id() : "i-" + std::to_string(++replica_starts_));
  leaving_.erase(&replica);
}

net::Task<> Soak::DrainReplica(Replica& replica, Duration pause, bool announced) {
  leaving_.insert(&replica);
  replica.Drain(announced);
  if (!announced) replica.Unregister();
  co_await net::Sleep(loop_,
                      kDrainTime + milliseconds(1500));  // replicas serve a little longer than they say
  replica.Crash();
  if (announced) replica.Unregister();
  co_await net::Sleep(loop_, pause);
  replica.Start("i-" + std::to_string(++replica_starts_));
  leaving_.erase(&replica);
}

net::Task<> Soak::LimitReplicas(const Replica& like, double per_second, Duration time) {
  // All of them, as the VMs avoid limited replicas while there are others.
  std::vector<std::pair<Replica*, std::string>> limited;
  for (const auto& replica : replicas_) {
    if (!replica->running() || !replica->SharesLoadWith(like)) continue;
    replica->SetLimit(per_second);
    limited.emplace_back(replica.get(), replica->id());
  }
  co_await net::Sleep(loop_, time);
  for (const auto& [replica, id] : limited) {
    if (replica->id() == id) replica->SetLimit(std::nullopt);
  }
}

net::Task<> Soak::PushBackAtReplica(Replica& replica, Duration retry_after, Duration time) {
  const std::string id = replica.id();
  replica.SetPushBack(retry_after);
  co_await net::Sleep(loop_, time);
  if (replica.id() == id) replica.SetPushBack(std::nullopt);
}

net::Task<> Soak::MisbehaveAtReplica(Replica& replica, bool endless, Duration time) {
  const std::string id = replica.id();
  endless ? replica.SetEndless(true) : replica.SetCutting(true);
  co_await net::Sleep(loop_, time);
  if (replica.id() == id) endless ? replica.SetEndless(false) : replica.SetCutting(false);
}

net::Task<> Soak::FloodVm(const VmFleet::Vm& vm) {
  constexpr int kConnections = 4;
  for (int i = 0; i < kConnections; ++i) {
    auto socket = std::make_shared<net::Tcp::socket>(loop_);
    net::Error error;
    co_await socket->async_connect(fleet_.EndpointOf(vm, "clients"), net::Into(error));
    const std::string head = "POST /s0/flood HTTP/1.1\r\nHost: h.example\r\n";
    if (!error) net::Spawn(loop_, "flood", SendEndless(loop_, socket, MakeEndless(event_random_, head)));
  }
}

net::Task<> Soak::DisturbStore(Mode mode, Duration time) {
  store_disturbed_ = true;
  if (mode != Mode::kHistoryGone) fleet_.SetStoreServing(false);
  store_.SetMode(mode);
  co_await net::Sleep(loop_, time);
  store_.SetMode(Mode::kServe);
  if (mode != Mode::kHistoryGone) fleet_.SetStoreServing(true);
  store_disturbed_ = false;
}

net::Task<> Soak::EvacuateZone(std::string zone, Duration time) {
  evacuated_.insert(zone);
  store_.Put(wire::EvacuationKey(zone), "{}");
  co_await net::Sleep(loop_, time);
  store_.Remove(wire::EvacuationKey(zone));
  evacuated_.erase(zone);
}

net::Task<> Soak::Tracked(net::Task<> event) {
  ++active_events_;
  co_await std::move(event);
  --active_events_;
}

void Soak::StartVmEvent() {
  auto& vm = fleet_.vms()[event_random_.Below(fleet_.vms().size())];
  // At least half of the VMs stay up, so that the checks see traffic.
  if (vm.state != VmFleet::State::kUp || fleet_.CountUp() * 2 <= fleet_.vms().size()) return;
  const Duration pause = Between(event_random_, 0, 3000);
  switch (event_random_.Below(9)) {
    case 0:
    case 1:
    case 2:
      ledger_.Count("event_sigterm");
      return net::Spawn(loop_, "restart", Tracked(fleet_.Restart(vm.index, pause)));
    case 3:
      ledger_.Count("event_sigkill");
      return net::Spawn(loop_, "kill", Tracked(fleet_.KillAndRestart(vm.index, pause)));
    case 4:
    case 5:
      ledger_.Count("event_freeze");
      return net::Spawn(loop_, "freeze", Tracked(fleet_.Freeze(vm.index, Between(event_random_, 500, 6000))));
    case 6:
      ledger_.Count("event_settings_replaced");
      return net::Spawn(loop_, "settings",
                        Tracked(fleet_.ReplaceSettings(vm.index, Between(event_random_, 0, 2000))));
    default:
      ledger_.Count("event_sighup");
      return fleet_.Reload(vm, 20 + static_cast<int>(event_random_.Below(200)), Chance(event_random_, 70));
  }
}

void Soak::StartEvent() {
  Replica& replica = *replicas_[event_random_.Below(replicas_.size())];
  const bool steady = !leaving_.contains(&replica);
  const std::string zone = Zones()[event_random_.Below(Zones().size())].name;
  const uint64_t kind = event_random_.Below(25);
  if (kind < 11) {
    StartVmEvent();
  } else if (kind < 14 && steady) {
    ledger_.Count("event_replica_crash");
    net::Spawn(loop_, "crash",
               Tracked(CrashReplica(replica, Between(event_random_, 0, 3000), Chance(event_random_, 30))));
  } else if (kind < 17 && steady) {
    ledger_.Count("event_replica_drain");
    net::Spawn(loop_, "drain",
               Tracked(DrainReplica(replica, Between(event_random_, 0, 2000), Chance(event_random_, 70))));
  } else if (kind == 17 && !store_disturbed_) {
    ledger_.Count("event_store");
    const Mode mode = Chance(event_random_, 50)   ? Mode::kHistoryGone
                      : Chance(event_random_, 50) ? Mode::kBusy
                                                  : Mode::kSilent;
    net::Spawn(loop_, "store", Tracked(DisturbStore(mode, Between(event_random_, 500, 4000))));
  } else if (kind == 18 && evacuated_.empty()) {
    ledger_.Count("event_evacuation");
    net::Spawn(loop_, "evacuation", Tracked(EvacuateZone(zone, Between(event_random_, 2000, 10000))));
  } else if (kind == 20 && steady) {
    ledger_.Count("event_push_back");
    net::Spawn(loop_, "push_back",
               Tracked(PushBackAtReplica(replica, Between(event_random_, 500, 3000),
                                         Between(event_random_, 4000, 8000))));
  } else if (kind >= 21 && kind < 24 && steady) {
    const bool endless = kind == 21;
    ledger_.Count(endless ? "event_endless_answers" : "event_cut_answers");
    net::Spawn(loop_, "misbehave",
               Tracked(MisbehaveAtReplica(replica, endless, Between(event_random_, 1000, 4000))));
  } else if (kind == 24) {
    ledger_.Count("event_endless_requests");
    net::Spawn(loop_, "flood", FloodVm(fleet_.vms()[event_random_.Below(fleet_.vms().size())]));
  } else if (kind == 19) {
    ledger_.Count("event_limit");
    const double per_second = static_cast<double>(5 + event_random_.Below(80)) / 10;
    net::Spawn(loop_, "limit",
               Tracked(LimitReplicas(replica, per_second, Between(event_random_, 8000, 20000))));
  }
}

net::Task<> Soak::RunEvents() {
  const TimePoint end = Now() + duration_ - kRecoveryTime - kMeasuredTime;
  while (Now() < end) {
    co_await net::Sleep(loop_, Between(schedule_random_, 100, 1200));
    event_random_ = base::Random(schedule_random_.Next());
    StartEvent();
  }
  while (active_events_ > 0) {
    co_await net::Sleep(loop_, milliseconds(20));
  }
  // Restores settings that the last SIGHUP may have left faulty.
  for (auto& vm : fleet_.vms()) fleet_.Reload(vm, 100, true);
}

net::Task<> Soak::RunAll() {
  for (const auto& replica : replicas_) replica->Start("i-" + std::to_string(++replica_starts_));
  PutConfig();
  for (auto& vm : fleet_.vms()) net::Spawn(loop_, "start", fleet_.Start(vm.index));
  const TimePoint begin = Now();
  while (fleet_.CountUp() < fleet_.vms().size() && Now() - begin < kReadyLimit) {
    co_await net::Sleep(loop_, milliseconds(50));
  }
  co_await net::Sleep(loop_, seconds(2));  // until the VMs know each other and have read the store
  net::Spawn(loop_, "watch", fleet_.Watch());
  net::Spawn(loop_, "configs", ChangeConfigs());
  for (const Zone& zone : Zones()) {
    for (int i = 0; i < kClientsPerZone; ++i) {
      clients_.push_back(std::make_unique<Client>(loop_, ledger_, fleet_, schedule_random_.Next(),
                                                  "c" + std::to_string(clients_.size()), zone));
      net::Spawn(loop_, "client", clients_.back()->Run(&stop_clients_));
    }
  }
  co_await RunEvents();
  stop_configs_ = true;
  co_await net::Sleep(loop_, kRecoveryTime);
  const uint64_t requests = ledger_.count("requests");
  const uint64_t answered = ledger_.count("answered");
  co_await net::Sleep(loop_, kMeasuredTime);
  const auto sent = static_cast<double>(ledger_.count("requests") - requests);
  const auto served = static_cast<double>(ledger_.count("answered") - answered);
  if (sent == 0 || served < kServedShare * sent) {
    ledger_.Fail("recovery", "-",
                 std::to_string(served) + " of " + std::to_string(sent) + " requests served");
  }
  stop_clients_ = true;
  co_await net::Sleep(loop_, seconds(5));  // the last answers, and runs after a refusal
  finished_ = true;
}

uint64_t Soak::Run() {
  asio::signal_set signals(loop_, SIGTERM, SIGINT);
  signals.async_wait([this](net::Error error, int) {
    if (!error) ledger_.Fail("interrupted", "-", "by a signal");
    loop_.stop();
  });
  net::Spawn(loop_, "lag", MeasureLag());
  net::Spawn(loop_, "soak", [](Soak& soak) -> net::Task<> {
    co_await soak.RunAll();
    soak.loop_.stop();
  }(*this));
  // The longest events last as long as their own waits: a drain, a restart or an evacuation.
  loop_.run_for(duration_ + seconds(60));
  if (!finished_) ledger_.Fail("duration", "-", "the run did not end in time");
  fleet_.CheckEnds();
  const TimePoint end = Now();
  for (auto& vm : fleet_.vms()) vm.process.reset();
  for (auto& vm : fleet_.vms()) fleet_.config_lag().Check(vm.index, folder_, end, ledger_);
  ledger_.PrintCounts();
  std::cout << "largest delay of the event loop: "
            << std::chrono::duration_cast<milliseconds>(max_lag_).count()
            << " ms\nlongest time until a version was in force at a VM without trouble of its own: "
            << std::chrono::duration_cast<milliseconds>(fleet_.config_lag().max_lag()).count()
            << " ms\nmost requests that a replica with a limit got in 4 s: " << ledger_.rates().max_part()
            << " of what is tolerated\nmost memory of a VM: " << fleet_.peak_memory() / 1000 << " kB"
            << std::endl;
  if (ledger_.failures() > 0) {
    std::cout << "the VMs' logs are in " << folder_ << std::endl;
  } else {
    std::filesystem::remove_all(folder_);
  }
  return ledger_.failures();
}

std::optional<seconds> ParseSeconds(const std::string& text) {
  size_t length = 0;
  const int value = std::atoi(text.c_str());
  while (length < text.size() && std::isdigit(static_cast<unsigned char>(text[length])) != 0) ++length;
  if (length == 0 || text.substr(length) != "s") return std::nullopt;
  return seconds(value);
}

}  // namespace
}  // namespace cornelplank::soak

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("cornelplank-soak [options]");
  options.add_options()("help", "print this text")("seed", po::value<uint64_t>()->default_value(1),
                                                   "seed of the schedule")(
      "duration", po::value<std::string>()->default_value("60s"), "length of the run, at least 20s")(
      "vms", po::value<int>()->default_value(6), "number of VMs, 3 to 90")(
      "replicas", po::value<int>()->default_value(2), "replicas of each service in each zone, 1 to 20")(
      "routes", po::value<int>()->default_value(0),
      "routes without requests in each configuration, 0 to 3000")(
      "entry", po::value<std::string>(), "path of the program of the VMs, such as one built with sanitizers")(
      "memory-mb", po::value<size_t>()->default_value(cornelplank::soak::kMemoryMb),
      "memory that a VM may use; more only for sanitizers")(
      "descriptors", po::value<size_t>()->default_value(cornelplank::soak::kDescriptors),
      "file descriptors that a VM may use, 64 to 3900");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  if (values.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  const auto duration = cornelplank::soak::ParseSeconds(values["duration"].as<std::string>());
  const int vms = values["vms"].as<int>();
  const int replicas = values["replicas"].as<int>();
  const int routes = values["routes"].as<int>();
  const auto descriptors = values["descriptors"].as<size_t>();
  if (!duration || duration->count() < 20 || descriptors < 64 ||
      descriptors > cornelplank::soak::kDescriptors || vms < 3 || vms > 90 || replicas < 1 || replicas > 20 ||
      routes < 0 || routes > 3000) {
    std::cerr << "--duration, --vms, --replicas, --routes or --descriptors is out of range; --help prints "
                 "the ranges\n";
    return 2;
  }
  const auto seed = values["seed"].as<uint64_t>();
  std::cout << "seed " << seed << std::endl;
  std::signal(SIGPIPE, SIG_IGN);
  // The suspended coroutines refer to the run, so it is not destroyed.
  auto* soak = new cornelplank::soak::Soak(seed, *duration, vms, replicas, routes);
  const auto entry = values.count("entry") > 0 ? std::filesystem::absolute(values["entry"].as<std::string>())
                                               : std::filesystem::path("cornelplank-entry");
  soak->SetProgram(entry.string(), values["memory-mb"].as<size_t>());
  soak->SetDescriptors(descriptors);
  std::_Exit(soak->Run() > 0 ? 1 : 0);
}
