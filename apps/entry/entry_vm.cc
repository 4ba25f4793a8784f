#include "apps/entry/entry_vm.h"

#include <malloc.h>

#include <csignal>
#include <ctime>
#include <filesystem>

namespace cornelplank::entry {
namespace {

namespace asio = net::asio;

// Descriptors of the program itself: listeners, the event loop, standard streams, and calls to the store.
constexpr int64_t kOwnDescriptors = 48;
// Shares of all other descriptors, in parts of kDescriptorParts, so that no kind of connection takes those of
// another one. Hops include the watches of other VMs: of three prefixes by each VM of a zone, and of the
// whole fleet while one VM alone reaches the store. Each request in progress takes a connection to a replica
// or a peer.
constexpr int64_t kDescriptorParts = 64;
constexpr int64_t kClientParts = 28;
constexpr int64_t kHopParts = 16;
constexpr int64_t kDirectoryParts = 2;
constexpr int64_t kReadinessParts = 1;
constexpr int64_t kMetricsParts = 1;
constexpr int64_t kReplicaParts = 12;
constexpr int64_t kPeerParts = 4;
constexpr int64_t kMinConnections = 4;  // of each kind
// Readiness, the directory and the metrics take requests without a body. Some clients send one all the same.
constexpr uint32_t kSmallHeaderBytes = 4096;
constexpr uint64_t kSmallBodyBytes = 1024;
// What a VM adds to the header of a request when it forwards it.
constexpr uint32_t kHopHeaderBytes = 1024;
constexpr size_t kHopHeaderFields = 16;
// Interval of the housekeeping. Short against the shortest time that it measures, the 2.3 s for which
// unlisted replicas are kept.
constexpr std::chrono::milliseconds kTickInterval{100};
// Less urgent housekeeping, such as closing idle connections, runs once a second.
constexpr int kTicksPerSlowTick = 10;
// Connections are accepted for this time after SIGTERM: clients use the answer of an entry directory for 2 s.
// The divisor bounds it for short grace periods, so that the requests which arrive last can be served.
constexpr std::chrono::milliseconds kDrainAcceptTime{2200};
constexpr int kDrainAcceptDivisor = 3;
// Requests still in progress are answered this long before the end of the grace period, when the platform
// would kill the process, and the process exits before that.
constexpr std::chrono::milliseconds kLastAnswerMargin{500};
constexpr std::chrono::milliseconds kKillMargin{200};
constexpr std::chrono::milliseconds kDrainPollInterval{50};
// Heartbeats that announce that the VM leaves. Several, because single datagrams may be lost.
constexpr int kLeavingHeartbeats = 3;
// Share of the common burst of second sends that the VMs divide among themselves. The rest covers VMs that
// don't know of all others and therefore take too large a part.
constexpr double kDistributedBurstShare = 0.7;
// Least number of VMs that is assumed to share the burst, because a VM that has just started knows of no
// others.
constexpr double kMinAssumedVms = 4;
constexpr std::chrono::milliseconds kHopConnectTimeout{900};  // several round trips between regions
// Idle connections to VMs of other regions are reused for this time. Those VMs keep them open twice as long.
constexpr std::chrono::milliseconds kHopKeepAlive{20000};

// Free memory is returned to the system when the bytes in use have fallen by this much within a second.
constexpr size_t kTrimBytes = 2 << 20;

uint64_t WallClockMs() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<uint64_t>(now.tv_sec) * 1000 + static_cast<uint64_t>(now.tv_nsec) / 1000000;
}

/// Number of connections in `parts` parts of the descriptors.
size_t ConnectionShare(const EntrySettings& settings, int64_t parts) {
  const int64_t free = settings.descriptors - kOwnDescriptors;
  return static_cast<size_t>(std::max(kMinConnections, free * parts / kDescriptorParts));
}

/// Sets the limit of connections of a listener to `parts` parts of the descriptors. Clients of one address
/// get half of them.
void SetConnectionShare(const EntrySettings& settings, int64_t parts, net::ServerLimits* limits) {
  limits->connections = ConnectionShare(settings, parts);
  limits->connections_per_address = limits->connections / 2;
}

fleet::Member MakeOwnMember(const EntrySettings& settings) {
  fleet::Member own;
  own.address = settings.ip;
  own.incarnation = WallClockMs();
  own.zone = fleet::NameKey(settings.zone);
  return own;
}

platform::StoreEndpoints MakeStoreEndpoints(const EntrySettings& settings) {
  platform::StoreEndpoints servers;
  servers.store = settings.store;
  servers.mirror_port = settings.hops.port();
  servers.operator_bound = std::min(settings.change_bound, settings.evacuation_bound);
  if (settings.strict_revocation) {  // an older confirmation would cost requests
    servers.operator_bound = std::min(servers.operator_bound, settings.revocation_bound);
    servers.operator_bound =
        std::max<std::chrono::milliseconds>(servers.operator_bound, platform::ReadTimes::kMinBound);
  }
  servers.replica_bound = settings.drain_bound;
  return servers;
}

net::PoolSettings ReplicaPoolSettings(const EntrySettings& settings) {
  net::PoolSettings pool;
  pool.connections = ConnectionShare(settings, kReplicaParts);
  // A busy replica may read a long body only when it begins to work on the request.
  pool.tcp_user_timeout = std::chrono::milliseconds::zero();
  return pool;
}

net::PoolSettings PeerPoolSettings(const EntrySettings& settings) {
  net::PoolSettings pool;
  pool.connections = ConnectionShare(settings, kPeerParts);
  pool.connect_timeout = kHopConnectTimeout;
  pool.default_keep_alive = kHopKeepAlive;
  return pool;
}

}  // namespace

std::vector<serving::RemoteRegion> MembershipHopDirectory::RemoteRegions(const std::string& service) const {
  return members_.RemoteRegions(service, clock_.Now());
}

std::optional<net::Tcp::endpoint> MembershipHopDirectory::PickVm(const std::string& region) {
  const auto vm = members_.PickHopTarget(region, random_, clock_.Now());
  if (!vm) return std::nullopt;
  return net::Tcp::endpoint(asio::ip::address_v4(*vm), hop_port_);
}

std::optional<net::Tcp::endpoint> MembershipHopDirectory::PickOwnRegionVm(
    const std::vector<net::Tcp::endpoint>& tried) {
  std::vector<fleet::VmAddress> addresses;
  for (const net::Tcp::endpoint& vm : tried) addresses.push_back(vm.address().to_v4().to_uint());
  const std::string& region = members_.RegionOf(members_.own());
  const auto vm = members_.PickHopTarget(region, random_, clock_.Now(), addresses);
  if (!vm) return std::nullopt;
  return net::Tcp::endpoint(asio::ip::address_v4(*vm), hop_port_);
}

void MembershipHopDirectory::ReportHopFailure(const net::Tcp::endpoint& vm) {
  members_.ReportHopFailure(vm.address().to_v4().to_uint(), clock_.Now());
}

std::vector<std::string> MembershipHopDirectory::OwnRegionVms() const {
  std::vector<std::string> names;
  for (const fleet::VmAddress vm : members_.OwnRegionSenders(clock_.Now())) {
    names.push_back(std::to_string(vm));
  }
  return names;
}

EntryVm::EntryVm(asio::io_context& loop, std::string settings_path, const EntrySettings& settings)
    : loop_(loop),
      settings_path_(std::move(settings_path)),
      settings_(settings),
      memory_(net::MemoryAccount::Create(loop, MemoryLimit(settings))),
      registry_(settings.change_bound),
      members_(MakeOwnMember(settings), settings.zone_regions),
      hop_directory_(members_, clock_, settings.hops.port()),
      placer_(std::to_string(settings.ip), settings.zone_regions.at(settings.zone), {}, base::EntropySeed()),
      quarantine_(settings.ip, members_.own().incarnation),
      quota_client_(loop, clock_, members_, settings.quota_bounds),
      stream_origins_(loop, clock_, members_, registry_.software_history()),
      replica_pool_(loop, clock_, ReplicaPoolSettings(settings)),
      peer_pool_(loop, clock_, PeerPoolSettings(settings)),
      metrics_([this] { return ReadGauges(); }),
      proxy_({loop, clock_, codec_, registry_, hop_directory_, placer_, replica_pool_, peer_pool_, &metrics_,
              &quarantine_, &quota_client_, &stream_origins_}),
      hop_handler_(proxy_),
      link_prober_(loop, clock_, registry_, replica_pool_, settings.zone_regions.at(settings.zone),
                   [this] { AnnounceLinks(); }),
      directory_(members_, registry_, clock_, settings.clients.port(), [this] { return Ready(); }),
      store_sync_(loop, clock_, MakeStoreEndpoints(settings), members_, settings.zone_regions, registry_,
                  [this](const serving::RoutingConfig& config) { ApplyConfig(config); }),
      peer_handler_(store_sync_.MakeMirrorServer(hop_handler_)),
      stop_signals_(loop, SIGTERM, SIGINT),
      reload_signals_(loop, SIGHUP) {}

std::unique_ptr<EntryVm> EntryVm::Start(asio::io_context& loop, const std::string& settings_path,
                                        const EntrySettings& settings, std::string* problem) {
  std::unique_ptr<EntryVm> vm(new EntryVm(loop, settings_path, settings));
  if (!vm->Listen(problem)) return nullptr;
  vm->UpdateSecondSendBurst();
  if (settings.first_start) vm->registry_.software_history().SetFirstStart();
  if (settings.strict_revocation) vm->proxy_.SetKeyAgeBound(settings.revocation_bound);
  vm->store_sync_.Start();
  net::Spawn(loop, "housekeeping", vm->RunHousekeeping());
  net::Spawn(loop, "silence", vm->proxy_.RunSilenceChecks());
  net::Spawn(loop, "links", vm->link_prober_.Run());
  net::Spawn(loop, "signals", vm->HandleStopSignals());
  net::Spawn(loop, "reload", vm->HandleReloadSignals());
  base::LogEvent("started")
      .Text("version", base::kVersion)
      .Text("vm", settings.name)
      .Text("zone", settings.zone)
      .Number("incarnation", static_cast<int64_t>(vm->members_.own().incarnation))
      .Number("first_start", settings.first_start ? 1 : 0);
  return vm;
}

bool EntryVm::Listen(std::string* problem) {
  struct Listener {
    const char* name;
    net::Tcp::endpoint endpoint;
    net::RequestHandler& handler;
    std::unique_ptr<net::HttpServer>& server;
  };
  std::vector<Listener> listeners = {{"clients", settings_.clients, proxy_, client_server_},
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
    listener.server->SetMemoryAccount(memory_);
  }
  heartbeat_loop_ =
      fleet::HeartbeatLoop::Start(loop_, clock_, {}, settings_.heartbeats, members_, registry_, &error);
  if (!heartbeat_loop_) {
    *problem = "can't bind the UDP port for heartbeats: " + error.message();
    return false;
  }
  heartbeat_loop_->SetSeeds(settings_.seeds);
  heartbeat_loop_->SetQuarantine(&quarantine_);
  quota_client_.SetSeeds(settings_.seeds);
  quota_client_.Connect(*heartbeat_loop_);
  stream_origins_.Connect(*heartbeat_loop_);
  heartbeat_loop_->SetWaitReportSource([this] { return OwnWaitReports(); });
  SetListenerLimits();
  return true;
}

net::ServerLimits EntryVm::ClientLimits(const serving::RoutingConfig* config) const {
  net::ServerLimits limits;
  if (config != nullptr) {
    limits.header_bytes = config->limits.header_bytes;
    limits.body_bytes = config->limits.body_bytes;
    limits.header_timeout = config->limits.header_timeout;
    limits.idle_timeout = config->limits.idle_timeout;
  }
  limits.header_fields = settings_.header_fields;
  SetConnectionShare(settings_, kClientParts, &limits);
  return limits;
}

void EntryVm::SetListenerLimits() {
  client_server_->SetLimits(ClientLimits(nullptr));
  net::ServerLimits hops;
  hops.header_bytes += kHopHeaderBytes;
  hops.header_fields = settings_.header_fields + kHopHeaderFields;
  hops.idle_timeout = kHopKeepAlive * 2;
  SetConnectionShare(settings_, kHopParts, &hops);
  hop_server_->SetLimits(hops);
  net::ServerLimits small;
  small.header_bytes = kSmallHeaderBytes;
  small.header_fields = settings_.header_fields;
  small.body_bytes = kSmallBodyBytes;
  SetConnectionShare(settings_, kReadinessParts, &small);
  readiness_server_->SetLimits(small);
  SetConnectionShare(settings_, kDirectoryParts, &small);
  directory_server_->SetLimits(small);
  SetConnectionShare(settings_, kMetricsParts, &small);
  if (metrics_server_) metrics_server_->SetLimits(small);
}

void EntryVm::ApplyConfig(const serving::RoutingConfig& config) {
  client_server_->SetLimits(ClientLimits(&config));
  quota_client_.SetTenants(config.tenants.get());
}

std::vector<fleet::RegionWaitReport> EntryVm::OwnWaitReports() const {
  std::vector<fleet::RegionWaitReport> reports;
  const serving::RoutingConfig* config = registry_.config();
  if (config == nullptr || registry_.links().lost()) return reports;
  const std::string& region = settings_.zone_regions.at(settings_.zone);
  for (const auto& [name, service] : config->services) {
    const auto wait = placer_.EstimateRegionWait(name, registry_, clock_.Now());
    if (wait) {
      reports.push_back({fleet::NameKey(region), fleet::NameKey(name), *wait, base::Duration::zero()});
    }
  }
  return reports;
}

EntryGauges EntryVm::ReadGauges() const {
  EntryGauges gauges;
  if (registry_.config() != nullptr) gauges.config_version = registry_.config()->version;
  gauges.newest_config_version = registry_.config_freshness().newest_heard();
  gauges.config_age = registry_.config_freshness().Age(clock_.Now());
  gauges.quarantined_parts = quarantine_.quarantined_count();
  gauges.replicas = registry_.replicas().size();
  gauges.limited_replicas = registry_.LimitedCount();
  gauges.rejection_limited_replicas = registry_.RejectionLimitedCount();
  gauges.leaving_replicas = registry_.LeavingCount();
  gauges.pushed_back_replicas = registry_.PushedBackCount(clock_.Now());
  gauges.vms = members_.LiveCount(clock_.Now());
  gauges.active_requests = client_server_->ActiveSessionCount() + hop_server_->ActiveSessionCount();
  gauges.ready = Ready();
  gauges.second_sends = proxy_.counters().second_sends;
  gauges.hops = proxy_.counters().hops;
  gauges.own_region_hops = proxy_.counters().own_region_hops;
  gauges.links_lost = registry_.links().lost();
  gauges.denied = proxy_.counters().denied;
  gauges.resumed_streams = proxy_.counters().resumed_streams;
  gauges.resumptions_of_unknown = proxy_.counters().resumptions_of_unknown;
  gauges.resumptions_of_gone = proxy_.counters().resumptions_of_gone;
  gauges.max_denial_age = proxy_.counters().max_denial_age;
  gauges.store_calls = store_sync_.StoreCalls();
  gauges.stream_origins = stream_origins_.counters();
  gauges.received_bytes = memory_->used();
  gauges.received_bytes_limit = memory_->limit();
  gauges.memory_waits = memory_->waiting();
  gauges.memory_refusals = memory_->refused();
  gauges.stalled_requests_ended = memory_->ended_stalled();
  for (const auto* server :
       {&client_server_, &hop_server_, &readiness_server_, &directory_server_, &metrics_server_}) {
    if (!*server) continue;
    gauges.connections += (*server)->SessionCount();
    gauges.connections_refused += (*server)->counters().refused;
    gauges.connections_evicted += (*server)->counters().evicted;
  }
  gauges.dropped_log_lines = base::DroppedLogLines();
  return gauges;
}

bool EntryVm::Ready() const { return !leaving_ && store_sync_.Loaded(); }

void EntryVm::UpdateSecondSendBurst() {
  const double vms = std::max(kMinAssumedVms, static_cast<double>(members_.FleetSize()));
  proxy_.SetSecondSendBurst(std::max(1.0, kDistributedBurstShare * settings_.second_send_burst / vms));
}

net::Task<> EntryVm::RunHousekeeping() {
  auto last_modified = settings_.modified_at;
  for (int tick = 1;; ++tick) {
    co_await net::Sleep(loop_, kTickInterval);
    registry_.Tick(clock_.Now());
    stream_origins_.Tick();
    UpdateConfigState();
    LogQuarantine();
    if (!leaving_ && Ready() && members_.own().state == fleet::MemberState::kStarting) {
      members_.own().state = fleet::MemberState::kReady;
      heartbeat_loop_->BroadcastState();
      base::LogEvent("ready").Number("vms", static_cast<int64_t>(members_.LiveCount(clock_.Now())));
    }
    if (tick % kTicksPerSlowTick != 0) continue;
    replica_pool_.Tick();
    peer_pool_.Tick();
    ReleaseMemory();
    UpdateSecondSendBurst();
    std::error_code error;
    const auto modified = std::filesystem::last_write_time(settings_path_, error);
    if (!error && modified != last_modified) {
      last_modified = modified;
      Reload();
    }
  }
}

void EntryVm::UpdateConfigState() {
  const base::TimePoint now = clock_.Now();
  serving::ConfigFreshness& freshness = registry_.config_freshness();
  members_.own().config_version = registry_.config() == nullptr ? 0 : registry_.config()->version;
  members_.own().store_contact = store_sync_.Contact();
  freshness.OnVersionHeard(members_.NewestConfigVersion(now), now);
  const auto state = freshness.Assess(now);
  if (state == config_state_) return;
  config_state_ = state;
  base::LogEvent("config_freshness")
      .Text("state", serving::ConfigStateName(state))
      .Number("version", static_cast<int64_t>(members_.own().config_version))
      .Number("newest", static_cast<int64_t>(freshness.newest_heard()))
      .Time("age_ms", freshness.Age(now).value_or(base::Duration::zero()));
}

void EntryVm::AnnounceLinks() {
  members_.own().replica_links =
      registry_.links().lost() ? fleet::ReplicaLinkState::kLost : fleet::ReplicaLinkState::kPresent;
  heartbeat_loop_->BroadcastState();
}

void EntryVm::LogQuarantine() {
  if (quarantine_.quarantined_count() == quarantined_parts_) return;
  quarantined_parts_ = quarantine_.quarantined_count();
  base::LogEvent("prompt_quarantine")
      .Number("parts", static_cast<int64_t>(quarantined_parts_))
      .Number("crashes", static_cast<int64_t>(quarantine_.observation_count()));
}

void EntryVm::ReleaseMemory() {
  if (memory_->TakePeak() > memory_->used() + kTrimBytes) malloc_trim(0);
  const uint64_t refusals = memory_->refused() + memory_->ended_stalled();
  if (refusals == memory_refusals_) return;
  base::LogEvent("memory_short")
      .Number("used", static_cast<int64_t>(memory_->used()))
      .Number("limit", static_cast<int64_t>(memory_->limit()))
      .Number("waiting", static_cast<int64_t>(memory_->waiting()))
      .Number("refused", static_cast<int64_t>(memory_->refused()))
      .Number("ended_stalled", static_cast<int64_t>(memory_->ended_stalled()));
  memory_refusals_ = refusals;
}

net::Task<> EntryVm::HandleReloadSignals() {
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
  if (!settings) return;  // the present settings stay in force
  settings_.seeds = settings->seeds;
  settings_.second_send_burst = settings->second_send_burst;
  settings_.grace = settings->grace;
  heartbeat_loop_->SetSeeds(settings_.seeds);
  quota_client_.SetSeeds(settings_.seeds);
  members_.SetZones(settings->zone_regions);
  base::LogEvent("reloaded").Text("vm", settings_.name);
}

net::Task<> EntryVm::HandleStopSignals() {
  net::Error error;
  const int signal = co_await stop_signals_.async_wait(net::Into(error));
  if (error) co_return;
  base::LogEvent("stopping")
      .Number("signal", signal)
      .Number("active", static_cast<int64_t>(client_server_->ActiveSessionCount()));
  co_await Drain();
  stream_origins_.SendRest();
  base::LogEvent("stopped")
      .Number("active",
              static_cast<int64_t>(client_server_->ActiveSessionCount() + hop_server_->ActiveSessionCount()))
      .Number("requests", static_cast<int64_t>(proxy_.counters().requests))
      .Number("store_calls", static_cast<int64_t>(store_sync_.StoreCalls()));
  loop_.stop();
}

net::Task<> EntryVm::Drain() {
  leaving_ = true;
  const base::TimePoint begin = clock_.Now();
  const base::Duration accept_time =
      std::min<base::Duration>(kDrainAcceptTime, settings_.grace / kDrainAcceptDivisor);
  proxy_.BeginStop(begin + settings_.grace - kLastAnswerMargin);
  members_.own().state = fleet::MemberState::kLeaving;
  client_server_->AnnounceClose();
  hop_server_->AnnounceClose();
  for (int i = 0; i < kLeavingHeartbeats; ++i) {
    heartbeat_loop_->BroadcastState();
    co_await net::Sleep(loop_, kTickInterval);
  }
  while (clock_.Now() - begin < accept_time) {
    co_await net::Sleep(loop_, kDrainPollInterval);
  }
  client_server_->StopAccepting();
  hop_server_->StopAccepting();
  co_await AwaitSessions(begin + settings_.grace - kLastAnswerMargin);
  if (client_server_->SessionCount() + hop_server_->SessionCount() == 0) co_return;
  proxy_.EndRequests();
  co_await AwaitSessions(begin + settings_.grace - kKillMargin);
}

net::Task<> EntryVm::AwaitSessions(base::TimePoint limit) {
  while (clock_.Now() < limit && client_server_->SessionCount() + hop_server_->SessionCount() > 0) {
    co_await net::Sleep(loop_, kDrainPollInterval);
  }
}

}  // namespace cornelplank::entry
