#pragma once

#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libs/fleet/fleet.h"
#include "platform/platform.h"
#include "tests/platform/crashing_replica.h"

namespace cornelplank::testing {

/// A port that no other test process uses on the loopback addresses below. It lies below the ephemeral ports,
/// so that no connection takes it while the replica that listens there is down.
inline uint16_t TestFleetPort() { return static_cast<uint16_t>(20000 + getpid() % 12000); }

inline constexpr fleet::VmAddress kFirstFleetVm = 0x7f000201;       // 127.0.2.1
inline constexpr fleet::VmAddress kFirstFleetReplica = 0x7f000301;  // 127.0.3.1
inline constexpr char kFleetHost[] = "h.example";
inline constexpr char kFleetPath[] = "/chat/a";
inline constexpr char kFleetService[] = "engines";
inline constexpr char kFleetZone[] = "z";
inline constexpr char kFleetRegion[] = "r";

/// One resumable route of streams to one service of model engines without a cold start.
inline std::shared_ptr<const serving::RoutingConfig> FleetConfig() {
  auto config = std::make_shared<serving::RoutingConfig>();
  config->version = 1;
  serving::ServiceConfig service{kFleetService, "/health", 100, {}, 0, std::nullopt};
  service.engine = serving::ModelEngineConfig{8, 90000};
  config->services[kFleetService] = service;
  serving::RouteConfig route;
  route.name = "chat";
  route.host = kFleetHost;
  route.path_prefix = "/chat/";
  route.kind = serving::RequestKind::kStream;
  route.timeout = std::chrono::seconds(8);
  // Far above the time that the replicas need, so that admission control refuses nothing on a busy machine.
  route.target_latency = std::chrono::seconds(2);
  route.target_gap = std::chrono::milliseconds(300);
  route.priority = 1;
  route.attempts = 2;
  route.resumable = true;
  route.services = {{kFleetService, 1}};
  config->routes = {route};
  return config;
}

/// The parts of an entry VM that serve requests and exchange heartbeats, connected as in the program, without
/// the store: the test sets the configuration and the replicas.
class TestVm {
 public:
  /// `seeds`: the addresses of all VMs. Clients connect to a free port of `address`.
  TestVm(net::asio::io_context& loop, const base::Clock& clock, fleet::VmAddress address,
         std::vector<fleet::VmAddress> seeds)
      : loop_(loop),
        clock_(clock),
        address_(address),
        members_(MakeMember(address), {{kFleetZone, kFleetRegion}}),
        hops_(members_, clock),
        placer_(std::to_string(address), kFleetRegion, {}, address),
        quarantine_(address, 1),
        replica_pool_(loop, clock, {}),
        peer_pool_(loop, clock, {}),
        proxy_({loop, clock, codec_, registry_, hops_, placer_, replica_pool_, peer_pool_, nullptr,
                &quarantine_}) {
    registry_.SetConfig(FleetConfig());
    net::Error error;
    server_ = net::HttpServer::Listen(loop, {net::asio::ip::address_v4(address), 0}, proxy_, &error);
    if (!server_) throw std::runtime_error(error.message());
    heartbeats_ = fleet::HeartbeatLoop::Start(
        loop, clock, {}, {net::asio::ip::address_v4(address), TestFleetPort()}, members_, registry_, &error);
    if (!heartbeats_) throw std::runtime_error(error.message());
    heartbeats_->SetSeeds(std::move(seeds));
    heartbeats_->SetQuarantine(&quarantine_);
    heartbeats_->SetWaitReportSource([this] { return OwnWaitReports(); });
    UpdateSecondSendBurst();
    net::Spawn(loop, "housekeeping", RunHousekeeping());
    net::Spawn(loop, "silence", proxy_.RunSilenceChecks());
  }

  net::Tcp::endpoint ClientEndpoint() const { return {net::asio::ip::address_v4(address_), server_->Port()}; }
  size_t LiveVms() const { return members_.LiveCount(clock_.Now()); }
  serving::ReplicaRegistry& registry() { return registry_; }
  const serving::ProxyCounters& counters() const { return proxy_.counters(); }

 private:
  /// All VMs of the fleet are in one region, so no request is forwarded to another one.
  class OneRegionDirectory final : public serving::HopDirectory {
   public:
    OneRegionDirectory(const fleet::MemberTable& members, const base::Clock& clock)
        : members_(members), clock_(clock) {}
    std::vector<serving::RemoteRegion> RemoteRegions(const std::string& service) const override {
      return members_.RemoteRegions(service, clock_.Now());
    }
    std::optional<net::Tcp::endpoint> PickVm(const std::string&) override { return std::nullopt; }
    void ReportHopFailure(const net::Tcp::endpoint&) override {}
    std::vector<std::string> OwnRegionVms() const override {
      std::vector<std::string> names;
      for (const fleet::VmAddress vm : members_.OwnRegionVms(clock_.Now())) {
        names.push_back(std::to_string(vm));
      }
      return names;
    }

   private:
    const fleet::MemberTable& members_;
    const base::Clock& clock_;
  };

  static fleet::Member MakeMember(fleet::VmAddress address) {
    fleet::Member member;
    member.address = address;
    member.incarnation = 1;
    member.zone = fleet::NameKey(kFleetZone);
    member.state = fleet::MemberState::kReady;
    return member;
  }

  std::vector<fleet::RegionWaitReport> OwnWaitReports() const {
    const auto wait = placer_.EstimateRegionWait(kFleetService, registry_, clock_.Now());
    if (!wait) return {};
    return {{fleet::NameKey(kFleetRegion), fleet::NameKey(kFleetService), *wait, base::Duration::zero()}};
  }

  /// The part of this VM in a common burst of 10, as the program divides it.
  void UpdateSecondSendBurst() {
    const double vms = std::max(4.0, static_cast<double>(members_.FleetSize()));
    proxy_.SetSecondSendBurst(std::max(1.0, 0.7 * 10 / vms));
  }

  net::Task<> RunHousekeeping() {
    for (int tick = 1;; ++tick) {
      co_await net::Sleep(loop_, std::chrono::milliseconds(100));
      registry_.Tick(clock_.Now());
      if (tick % 10 != 0) continue;
      replica_pool_.Tick();
      peer_pool_.Tick();
      UpdateSecondSendBurst();
    }
  }

  net::asio::io_context& loop_;
  const base::Clock& clock_;
  fleet::VmAddress address_;
  platform::PlatformCodec codec_;
  serving::ReplicaRegistry registry_;
  fleet::MemberTable members_;
  OneRegionDirectory hops_;
  serving::Placer placer_;
  serving::PromptQuarantine quarantine_;
  net::ConnectionPool replica_pool_;
  net::ConnectionPool peer_pool_;
  serving::RequestProxy proxy_;
  std::unique_ptr<net::HttpServer> server_;
  std::unique_ptr<fleet::HeartbeatLoop> heartbeats_;
};

/// What a client got for one request. It makes one attempt only.
struct ClientResult {
  std::string request_id;
  base::TimePoint sent_at{};
  base::TimePoint ended_at{};  // not set while the request is in progress
  unsigned status = 0;         // 0 when no head arrived
  std::string retry_after;     // value of the header; empty when it is missing
  std::string body;
  bool complete = false;  // the whole response has arrived

  base::Duration Time() const { return ended_at - sent_at; }
  /// True when all events arrived, each once and in order.
  bool Answered(uint64_t events) const {
    if (status != 200 || !complete) return false;
    std::string expected;
    for (uint64_t id = 1; id <= events; ++id) {
      const std::string number = std::to_string(id);
      expected.append("id: ").append(number).append("\ndata: token ").append(number).append("\n\n");
    }
    return body == expected;
  }
};

/// Entry VMs and replicas of one region on one event loop, connected by real sockets on loopback addresses.
class TestFleet {
 public:
  TestFleet(size_t vms, size_t replicas, const CrashingReplicaSettings& replica_settings)
      : events_(replica_settings.events), clients_(loop_, clock_, {}) {
    std::vector<fleet::VmAddress> seeds;
    for (size_t i = 0; i < vms; ++i) seeds.push_back(kFirstFleetVm + static_cast<uint32_t>(i));
    for (const fleet::VmAddress address : seeds) {
      vms_.push_back(std::make_unique<TestVm>(loop_, clock_, address, seeds));
    }
    for (size_t i = 0; i < replicas; ++i) {
      const net::asio::ip::address_v4 address(kFirstFleetReplica + static_cast<uint32_t>(i));
      CrashingReplicaSettings settings = replica_settings;
      settings.head_before_crash = replica_settings.head_before_crash && i % 2 == 0;
      replicas_.push_back(std::make_unique<CrashingReplica>(
          loop_, clock_, net::Tcp::endpoint(address, TestFleetPort()), settings));
      replicas_.back()->OnRestart([this, i] { net::Spawn(loop_, "listing", ListAfterDelay(i)); });
      List(i);
    }
  }

  /// Runs the loop until `condition` holds. Returns false when `limit` has passed first.
  bool RunUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit) {
    const base::TimePoint end = clock_.Now() + limit;
    while (!condition()) {
      if (clock_.Now() >= end) return false;
      loop_.restart();
      loop_.run_one_for(std::chrono::milliseconds(5));
    }
    return true;
  }
  void Run(std::chrono::milliseconds time) { RunFor(loop_, time); }
  /// Runs the loop until every VM knows all others.
  bool RunUntilConnected(std::chrono::milliseconds limit) {
    return RunUntil(
        [&] {
          return std::all_of(vms_.begin(), vms_.end(),
                             [&](const auto& vm) { return vm->LiveVms() == vms_.size(); });
        },
        limit);
  }

  /// Sends a request with this prompt (ID:TOKENS,... of its parts) to a VM. The result is filled in while the
  /// loop runs.
  std::shared_ptr<const ClientResult> Send(size_t vm, const std::string& prompt) {
    auto result = std::make_shared<ClientResult>();
    result->request_id = std::to_string(++last_request_id_);
    result->sent_at = clock_.Now();
    net::Spawn(loop_, "client", RunClient(vms_.at(vm)->ClientEndpoint(), prompt, result));
    return result;
  }

  /// After `time`, lists all replicas with their present incarnation once more.
  void ListAllAfter(std::chrono::milliseconds time) {
    net::Spawn(loop_, "listing", [](TestFleet& fleet, std::chrono::milliseconds delay) -> net::Task<> {
      co_await net::Sleep(fleet.loop_, delay);
      for (size_t i = 0; i < fleet.replicas_.size(); ++i) fleet.List(i);
    }(*this, time));
  }

  net::asio::io_context& loop() { return loop_; }
  base::TimePoint Now() const { return clock_.Now(); }
  /// Number of events in a complete response.
  uint64_t events() const { return events_; }
  std::vector<std::unique_ptr<TestVm>>& vms() { return vms_; }
  std::vector<std::unique_ptr<CrashingReplica>>& replicas() { return replicas_; }
  /// True when all replicas are up and the VMs know of their last restarts.
  bool AllReplicasListed() const {
    for (size_t i = 0; i < replicas_.size(); ++i) {
      if (!replicas_[i]->Listening()) return false;
      for (const auto& vm : vms_) {
        const auto known = vm->registry().Find(ReplicaId(i));
        if (!known || known->published.incarnation != replicas_[i]->incarnation()) return false;
      }
    }
    return true;
  }
  /// The times of all crashes in order.
  std::vector<base::TimePoint> CrashTimes() const {
    std::vector<base::TimePoint> times;
    for (const auto& replica : replicas_) {
      times.insert(times.end(), replica->crash_times().begin(), replica->crash_times().end());
    }
    std::sort(times.begin(), times.end());
    return times;
  }
  /// Number of requests without an event at the `count` replicas that have the most of them.
  int CountWithoutEvent(size_t count) const {
    int sum = 0;
    for (const CrashingReplica* replica : PickKilled(count)) sum += replica->CountWithoutEvent();
    return sum;
  }
  /// Crashes these replicas at the same moment.
  void Kill(size_t count) {
    for (CrashingReplica* replica : PickKilled(count)) replica->Crash();
  }
  /// All requests with the crashing part that reached a replica.
  std::vector<CrashingReplica::Arrival> Arrivals() const {
    std::vector<CrashingReplica::Arrival> all;
    for (const auto& replica : replicas_) {
      all.insert(all.end(), replica->arrivals().begin(), replica->arrivals().end());
    }
    return all;
  }

 private:
  // Time from the start of a replica until the VMs learn of it from the store.
  static constexpr std::chrono::milliseconds kListingDelay{100};

  /// The replicas that are up and have the most requests without an event.
  std::vector<CrashingReplica*> PickKilled(size_t count) const {
    std::vector<CrashingReplica*> picked;
    for (const auto& replica : replicas_) {
      if (replica->Listening()) picked.push_back(replica.get());
    }
    std::stable_sort(picked.begin(), picked.end(), [](const auto* left, const auto* right) {
      return left->CountWithoutEvent() > right->CountWithoutEvent();
    });
    picked.resize(std::min(count, picked.size()));
    return picked;
  }

  static std::string ReplicaId(size_t index) { return "i-" + std::to_string(index); }

  /// Tells all VMs of the replica's present incarnation. A replica stays listed while it is down.
  void List(size_t index) {
    serving::PublishedReplica published;
    published.id = ReplicaId(index);
    published.service = kFleetService;
    published.address = replicas_[index]->Endpoint();
    published.zone = kFleetZone;
    published.region = kFleetRegion;
    published.slots = 8;
    published.incarnation = replicas_[index]->incarnation();
    for (const auto& vm : vms_) vm->registry().Upsert(published, clock_.Now());
  }

  net::Task<> ListAfterDelay(size_t index) {
    co_await net::Sleep(loop_, kListingDelay);
    List(index);
  }

  net::Task<> RunClient(net::Tcp::endpoint vm, std::string prompt, std::shared_ptr<ClientResult> result) {
    net::Request request{"POST", kFleetPath, {}, "{\"stream\":true}"};
    request.headers.Add("Host", kFleetHost);
    request.headers.Add("Attempt-Id", result->request_id);
    request.headers.Add("Deadline-Ms", "8000");
    request.headers.Add("Model", "m");
    request.headers.Add("Token-Usage", "1460,80");
    request.headers.Add("Prompt-Prefix", prompt);
    const auto call = std::make_shared<net::HttpCall>(loop_, clients_);
    co_await Exchange(*call, vm, request, *result);
    call->Cancel();  // each request uses a connection of its own
    result->ended_at = clock_.Now();
  }

  static net::Task<> Exchange(net::HttpCall& call, net::Tcp::endpoint vm, const net::Request& request,
                              ClientResult& result) {
    constexpr std::chrono::seconds kHeadPatience{9};  // longer than the route's timeout
    constexpr std::chrono::seconds kGapPatience{2};   // clients abandon a stream after such a gap
    if (!co_await call.Connect(vm, base::Duration::zero())) co_return;
    if (!co_await call.Send(request)) co_return;
    const auto head = co_await call.ReadHead(kHeadPatience);
    if (!head) co_return;
    result.status = head->status;
    result.retry_after = std::string(head->headers.Find("Retry-After").value_or(""));
    while (!result.complete) {
      if (!co_await call.ReadSome(&result.body, &result.complete, kGapPatience)) co_return;
    }
  }

  net::asio::io_context loop_{1};
  base::SystemClock clock_;
  uint64_t events_;
  net::ConnectionPool clients_;
  std::vector<std::unique_ptr<TestVm>> vms_;
  std::vector<std::unique_ptr<CrashingReplica>> replicas_;
  uint64_t last_request_id_ = 0;
};

}  // namespace cornelplank::testing
