#include "apps/entry/entry_vm.h"

#include <csignal>
#include <ctime>
#include <filesystem>

namespace cornelplank::entry {
namespace {

namespace asio = net::asio;

// Descriptors kept for listeners, replicas and the store; the rest is for clients.
constexpr int64_t kOwnDescriptors = 900;
// Interval of the tables' upkeep; the shortest time they measure is the grace of unlisted replicas.
constexpr std::chrono::milliseconds kTick{100};
constexpr int kTicksPerSlowTick = 10;
// After SIGTERM clients still connect for the time that they keep a directory's answer.
constexpr std::chrono::milliseconds kLeavingAccept{2200};
// The process ends this long before the platform would kill it.
constexpr std::chrono::milliseconds kKillMargin{300};
constexpr std::chrono::milliseconds kDrainPoll{50};
// Leaving is told several times, as datagrams are lost at times.
constexpr int kLeavingBeats = 3;
// Share of the common burst of second sends that is dealt out; the rest covers VMs that don't know of others.
constexpr double kBurstDealt = 0.7;
// VMs that a fresh VM assumes to share with before it has heard of any.
constexpr double kLeastFleet = 4;
constexpr std::chrono::milliseconds kHopConnect{900};  // several round trips between regions
constexpr std::chrono::milliseconds kHopKeepAlive{20000};

uint64_t WallClockMs() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<uint64_t>(now.tv_sec) * 1000 + static_cast<uint64_t>(now.tv_nsec) / 1000000;
}

fleet::Member OwnMember(const EntrySettings& settings) {
  fleet::Member own;
  own.address = settings.ip;
  own.incarnation = WallClockMs();
  own.zone = fleet::NameKey(settings.zone);
  return own;
}

net::PoolSettings PeerPool() {
  net::PoolSettings pool;
  pool.connect_timeout = kHopConnect;
  pool.default_keep_alive = kHopKeepAlive;
  return pool;
}

}  // namespace

std::vector<serving::RemoteRegion> MemberHops::RemoteRegions(const std::string& service) const {
  return members_.RemoteRegions(service, clock_.Now());
}

std::optional<net::Tcp::endpoint> MemberHops::PickVm(const std::string& region) {
  const auto vm = members_.PickHopTarget(region, random_, clock_.Now());
  if (!vm) return std::nullopt;
  return net::Tcp::endpoint(asio::ip::address_v4(*vm), hop_port_);
}

void MemberHops::ReportHopFailure(const net::Tcp::endpoint& vm) {
  members_.ReportHopFailure(vm.address().to_v4().to_uint(), clock_.Now());
}

std::vector<std::string> MemberHops::OwnRegionVms() const {
  std::vector<std::string> names;
  for (const fleet::VmAddress vm : members_.OwnRegionVms(clock_.Now())) names.push_back(std::to_string(vm));
  return names;
}

EntryVm::EntryVm(asio::io_context& loop, std::string settings_path, const EntrySettings& settings)
    : loop_(loop),
      settings_path_(std::move(settings_path)),
      settings_(settings),
      members_(OwnMember(settings), settings.zone_regions),
      hops_(members_, clock_, settings.hops.port()),
      placer_(std::to_string(settings.ip), settings.zone_regions.at(settings.zone), {}, base::EntropySeed()),
      replica_pool_(loop, clock_, {}),
      peer_pool_(loop, clock_, PeerPool()),
      metrics_([this] { return Gauges(); }),
      engine_({loop, clock_, dialect_, table_, hops_, placer_, replica_pool_, peer_pool_, &metrics_}),
      hop_handler_(engine_),
      directory_(members_, table_, clock_, settings.clients.port(), [this] { return Ready(); }),
      store_(loop, clock_, {settings.store, settings.hops.port()}, members_, settings.zone_regions, table_,
             [this](const serving::RoutingConfig& config) { ApplyConfig(config); }),
      peer_handler_(store_.MakeMirrorServer(hop_handler_)),
      stop_signals_(loop, SIGTERM, SIGINT),
      reload_signals_(loop, SIGHUP) {}

std::unique_ptr<EntryVm> EntryVm::Start(asio::io_context& loop, const std::string& settings_path,
                                        const EntrySettings& settings, std::string* problem) {
  std::unique_ptr<EntryVm> vm(new EntryVm(loop, settings_path, settings));
  if (!vm->Listen(problem)) return nullptr;
  vm->ShareSecondSends();
  vm->store_.Start();
  net::Spawn(loop, "housekeeping", vm->Housekeeping());
  net::Spawn(loop, "silence", vm->engine_.RunSilenceChecks());
  net::Spawn(loop, "signals", vm->AwaitSignals());
  net::Spawn(loop, "reload", vm->AwaitReload());
  base::LogEvent("started")
      .Text("version", base::kVersion)
      .Text("vm", settings.name)
      .Text("zone", settings.zone)
      .Number("incarnation", static_cast<int64_t>(vm->members_.own().incarnation));
  return vm;
}

bool EntryVm::Listen(std::string* problem) {
  struct Listener {
    const char* name;
    net::Tcp::endpoint endpoint;
    net::RequestHandler& handler;
    std::unique_ptr<net::HttpServer>& server;
  };
  std::vector<Listener> listeners = {{"clients", settings_.clients, engine_, clients_},
                                     {"hops", settings_.hops, *peer_handler_, hop_server_},
                                     {"readiness", settings_.readiness, directory_, readiness_server_},
                                     {"directory", settings_.directory, directory_, directory_server_}};
  if (settings_.metrics) listeners.push_back({"metrics", *settings_.metrics, metrics_, metrics_server_});
  net::Error error;
  for (const Listener& listener : listeners) {
    listener.server = net::HttpServer::Listen(loop_, listener.endpoint, listener.handler, &error);
    if (!listener.server) {
      *problem = std::string("can't listen for ") + listener.name + ": " + error.message();
      return false;
    }
  }
  beats_ = fleet::HeartbeatLoop::Start(loop_, clock_, {}, settings_.beats, members_, table_, &error);
  if (!beats_) {
    *problem = "can't bind the port for beats: " + error.message();
    return false;
  }
  beats_->SetSeeds(settings_.seeds);
  beats_->SetWaitReportSource([this] { return OwnOffers(); });
  net::ServerLimits hop_limits;
  hop_limits.idle_timeout = kHopKeepAlive * 2;
  hop_server_->SetLimits(hop_limits);
  return true;
}

void EntryVm::ApplyConfig(const serving::RoutingConfig& config) {
  net::ServerLimits limits;
  limits.header_bytes = config.limits.header_bytes;
  limits.body_bytes = config.limits.body_bytes;
  limits.header_timeout = config.limits.header_timeout;
  limits.idle_timeout = config.limits.idle_timeout;
  limits.connections = static_cast<size_t>(std::max<int64_t>(64, settings_.descriptors - kOwnDescriptors));
  clients_->SetLimits(limits);
}

std::vector<fleet::RegionWaitReport> EntryVm::OwnOffers() const {
  std::vector<fleet::RegionWaitReport> offers;
  const serving::RoutingConfig* config = table_.config();
  if (config == nullptr) return offers;
  const std::string& region = settings_.zone_regions.at(settings_.zone);
  for (const auto& [name, service] : config->services) {
    const auto wait = placer_.EstimateRegionWait(name, table_, clock_.Now());
    if (wait) offers.push_back({fleet::NameKey(region), fleet::NameKey(name), *wait, base::Duration::zero()});
  }
  return offers;
}

EntryGauges EntryVm::Gauges() const {
  EntryGauges gauges;
  if (table_.config() != nullptr) gauges.config_version = table_.config()->version;
  gauges.replicas = table_.replicas().size();
  gauges.vms = members_.LiveCount(clock_.Now());
  gauges.active = clients_->Active() + hop_server_->Active();
  gauges.ready = Ready();
  gauges.second_sends = engine_.counters().second_sends;
  gauges.hops = engine_.counters().hops;
  gauges.store_calls = store_.StoreCalls();
  gauges.dropped_log_lines = base::DroppedLogLines();
  return gauges;
}

bool EntryVm::Ready() const { return !leaving_ && store_.Loaded(); }

void EntryVm::ShareSecondSends() {
  const double vms = std::max(kLeastFleet, static_cast<double>(members_.FleetSize()));
  engine_.SetSecondSendBurst(std::max(1.0, kBurstDealt * settings_.second_sends / vms));
}

net::Task<> EntryVm::Housekeeping() {
  auto changed = std::filesystem::last_write_time(settings_path_);
  for (int tick = 1;; ++tick) {
    co_await net::Sleep(loop_, kTick);
    table_.Tick(clock_.Now());
    if (!leaving_ && Ready() && members_.own().state == fleet::MemberState::kStarting) {
      members_.own().state = fleet::MemberState::kReady;
      beats_->BroadcastState();
      base::LogEvent("ready").Number("vms", static_cast<int64_t>(members_.LiveCount(clock_.Now())));
    }
    if (tick % kTicksPerSlowTick != 0) continue;
    replica_pool_.Tick();
    peer_pool_.Tick();
    ShareSecondSends();
    std::error_code error;
    const auto now_changed = std::filesystem::last_write_time(settings_path_, error);
    if (!error && now_changed != changed) {
      changed = now_changed;
      Reload();
    }
  }
}

net::Task<> EntryVm::AwaitReload() {
  while (true) {
    net::Error error;
    co_await reload_signals_.async_wait(net::Into(error));
    if (error) co_return;
    Reload();
  }
}

void EntryVm::Reload() {
  std::vector<base::SettingsFault> faults;
  const auto settings = LoadEntrySettings(settings_path_, &faults);
  for (const auto& fault : faults) base::LogEvent("settings_fault").Text("fault", fault.Text());
  if (!settings) return;  // the settings in force stay
  settings_.seeds = settings->seeds;
  settings_.second_sends = settings->second_sends;
  settings_.grace = settings->grace;
  beats_->SetSeeds(settings_.seeds);
  members_.SetZones(settings->zone_regions);
  base::LogEvent("reloaded").Text("vm", settings_.name);
}

net::Task<> EntryVm::AwaitSignals() {
  net::Error error;
  const int signal = co_await stop_signals_.async_wait(net::Into(error));
  if (error) co_return;
  base::LogEvent("stopping")
      .Number("signal", signal)
      .Number("active", static_cast<int64_t>(clients_->Active()));
  co_await Drain();
  base::LogEvent("stopped")
      .Number("active", static_cast<int64_t>(clients_->Active() + hop_server_->Active()))
      .Number("requests", static_cast<int64_t>(engine_.counters().requests))
      .Number("store_calls", static_cast<int64_t>(store_.StoreCalls()));
  loop_.stop();
}

net::Task<> EntryVm::Drain() {
  leaving_ = true;
  const base::TimePoint begin = clock_.Now();
  members_.own().state = fleet::MemberState::kLeaving;
  clients_->AnnounceClose();
  hop_server_->AnnounceClose();
  for (int i = 0; i < kLeavingBeats; ++i) {
    beats_->BroadcastState();
    co_await net::Sleep(loop_, kTick);
  }
  while (clock_.Now() - begin < kLeavingAccept) {
    co_await net::Sleep(loop_, kDrainPoll);
  }
  clients_->StopAccepting();
  hop_server_->StopAccepting();
  while (clock_.Now() - begin < settings_.grace - kKillMargin) {
    if (clients_->Sessions() == 0 && hop_server_->Sessions() == 0) break;
    co_await net::Sleep(loop_, kDrainPoll);
  }
}

}  // namespace cornelplank::entry
