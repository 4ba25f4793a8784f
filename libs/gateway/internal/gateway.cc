#include "libs/gateway/gateway.h"

#include <csignal>
#include <thread>
#include <utility>

#include "libs/gateway/internal/client_api.h"
#include "libs/gateway/internal/config_sync.h"
#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/operator_api.h"
#include "libs/gateway/internal/peer_exchange.h"
#include "libs/gateway/internal/peer_handler.h"
#include "libs/gateway/internal/platform_reader.h"
#include "libs/gateway/internal/service_calls.h"
#include "libs/gateway/internal/shared_state.h"
#include "libs/gateway/internal/upstream_poller.h"

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kControlInterval{100};  // between two iterations of the control loop
constexpr milliseconds kDrainPollInterval{20};
// A VM that starts waits this long for the newest configuration. Then it serves with the one that it has,
// because in a partition there may be no peer and no platform to ask.
constexpr seconds kStartCatchUpLimit{2};

/// Returns the start time in ms in the high bits and random low bits, so that a later start of the VM has a
/// higher incarnation.
uint64_t NewIncarnation() {
  constexpr int kRandomBits = 20;
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<milliseconds>(since_epoch).count();
  return (static_cast<uint64_t>(ms) << kRandomBits) | (base::EntropySeed() >> (64 - kRandomBits));
}

/// Returns the configured address, or else the bound one: the listen address with the actual port.
std::string AdvertisedAddress(const std::string& advertised, const std::string& listen, uint16_t port) {
  if (!advertised.empty()) return advertised;
  return listen.substr(0, listen.rfind(':') + 1) + std::to_string(port);
}

class EntryVm final : public Gateway {
 public:
  EntryVm(GatewaySettings settings, const membership::VmListEntry& own)
      : own_(own),
        shared_(std::move(settings), clock_, own),
        dispatcher_(&shared_),
        service_calls_(&shared_, &dispatcher_),
        client_api_(&shared_, &dispatcher_, &service_calls_),
        config_sync_(&shared_),
        peer_exchange_(&shared_, &config_sync_),
        platform_reader_(&shared_, &config_sync_,
                         [this](uint64_t after) { peer_exchange_.PushEntries(after); }),
        upstream_poller_(&shared_),
        operator_api_(&shared_, &dispatcher_, &upstream_poller_),
        peer_handler_(&shared_, &dispatcher_, &service_calls_,
                      [this](const auto& caller, uint16_t kind, std::string_view payload) {
                        return peer_exchange_.HandleControl(caller, kind, payload);
                      }) {}

  ~EntryVm() override {
    stopping_.store(true);
    platform_reader_.Stop();
    upstream_poller_.Stop();
    for (std::thread& thread : threads_) thread.join();
    clients_server_.reset();
    operators_server_.reset();
    shared_.node.reset();
  }

  bool Start(GatewayReason* reason) {
    if (!Listen(reason)) return false;
    own_.http = AdvertisedAddress(shared_.settings.clients_advertise, shared_.settings.clients_listen,
                                  clients_port());
    own_.rpc =
        AdvertisedAddress(shared_.settings.peers_advertise, shared_.settings.peers_listen, peers_port());
    {
      const std::lock_guard<std::mutex> lock(shared_.fleet.mutex);
      shared_.fleet.table.SetOwnAddresses(own_.rpc, own_.http);
    }
    shared_.node->SetIdentityMetadata(wire::EncodeVm(own_));
    started_ = clock_.Now();
    threads_.emplace_back([this] { ControlLoop(); });
    threads_.emplace_back([this] { platform_reader_.Run(); });
    threads_.emplace_back([this] { upstream_poller_.Run(); });
    CP_LOG(INFO, "gateway") << "VM " << shared_.settings.vm << " serves clients on " << own_.http << ".";
    return true;
  }

  uint16_t clients_port() const override { return clients_server_->port(); }
  uint16_t peers_port() const override { return shared_.node->port(); }
  uint16_t operators_port() const override { return operators_server_->port(); }

  bool Drain() override {
    CP_LOG(INFO, "gateway") << "Draining.";
    const base::TimePoint start = clock_.Now();
    shared_.drain.Begin(start, shared_.settings.drain_limit);
    shared_.draining.store(true);
    own_.state = membership::VmState::kLeaving;
    {
      const std::lock_guard<std::mutex> lock(shared_.fleet.mutex);
      shared_.fleet.table.SetOwnLeaving();
      shared_.fleet.gossip.RequestUrgentRound();
    }
    {
      const std::lock_guard<std::mutex> lock(shared_.tickets.mutex);
      shared_.tickets.table.Drain();
    }
    shared_.node->SetIdentityMetadata(wire::EncodeVm(own_));
    while (clock_.Now() - start < shared_.settings.drain_limit) {
      const bool idle =
          clients_server_->in_flight() == 0 && shared_.node->incoming_calls() == 0 && open_tickets() == 0;
      if (idle && clock_.Now() - start >= DrainClock::kTakeTime) return true;
      std::this_thread::sleep_for(kDrainPollInterval);
    }
    CP_LOG(WARNING, "gateway")
        << "The drain limit has passed; cutting off the requests that are still in flight.";
    return false;
  }

 private:
  bool Listen(GatewayReason* reason) {
    const GatewaySettings& settings = shared_.settings;
    http::HttpReason http_reason;
    http::ServerOptions options;
    options.address = settings.clients_listen;
    options.max_body_bytes = settings.max_body_bytes;
    options.max_connections = settings.max_connections;
    options.idle_timeout = std::chrono::ceil<seconds>(settings.idle_timeout);
    rpc::NodeOptions node;
    node.listen = settings.peers_listen;
    node.identity = {settings.vm, shared_.incarnation, wire::EncodeVm(own_)};
    node.shared_key = settings.peers_key;
    node.max_incoming = settings.max_hops;
    rpc::RpcReason rpc_reason;
    shared_.node = rpc::Node::Start(node, &peer_handler_, &rpc_reason);
    if (!shared_.node) return FailToListen(reason, settings.peers_listen, rpc_reason.detail);
    clients_server_ = http::Server::Start(
        options, [this](const http::Request& request) { return client_api_.Handle(request); }, &http_reason);
    if (!clients_server_) return FailToListen(reason, settings.clients_listen, http_reason.detail);
    options.address = settings.operators_listen;
    operators_server_ = http::Server::Start(
        options, [this](const http::Request& request) { return operator_api_.Handle(request); },
        &http_reason);
    if (!operators_server_) return FailToListen(reason, settings.operators_listen, http_reason.detail);
    return true;
  }

  static bool FailToListen(GatewayReason* reason, const std::string& address, const std::string& detail) {
    base::SetReason(reason, GatewayCode::kListen, "can't listen on " + address + ": " + detail);
    return false;
  }

  void ControlLoop() {
    while (!stopping_.load()) {
      shared_.incarnation_monitor.RecordLoop(clock_.Now());
      peer_exchange_.Tick();
      shared_.admission.Tick();
      const bool ready = peer_exchange_.caught_up() || clock_.Now() - started_ >= kStartCatchUpLimit;
      if (ready || shared_.View().document) config_sync_.RefreshView();
      std::this_thread::sleep_for(kControlInterval);
    }
  }

  size_t open_tickets() {
    const std::lock_guard<std::mutex> lock(shared_.tickets.mutex);
    shared_.tickets.table.Expire(clock_.Now());
    return shared_.tickets.table.open();
  }

  base::SystemClock clock_;
  membership::VmListEntry own_;
  SharedState shared_;
  Dispatcher dispatcher_;
  ServiceCalls service_calls_;
  ClientApi client_api_;
  ConfigSync config_sync_;
  PeerExchange peer_exchange_;
  PlatformReader platform_reader_;
  UpstreamPoller upstream_poller_;
  OperatorApi operator_api_;
  PeerHandler peer_handler_;
  std::unique_ptr<http::Server> clients_server_;
  std::unique_ptr<http::Server> operators_server_;
  std::vector<std::thread> threads_;
  base::TimePoint started_{};
  std::atomic<bool> stopping_{false};
};

}  // namespace

std::unique_ptr<Gateway> Gateway::Start(const GatewaySettings& settings, GatewayReason* reason) {
  membership::VmListEntry own;
  own.id = settings.vm;
  own.partner = settings.partner;
  own.region = settings.region;
  own.zone = settings.zone;
  own.incarnation = NewIncarnation();
  // The addresses are filled in once the listeners are bound.
  auto vm = std::make_unique<EntryVm>(settings, own);
  if (!vm->Start(reason)) return nullptr;
  return vm;
}

}  // namespace cornelplank::gateway
