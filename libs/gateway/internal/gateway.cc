#include "libs/gateway/gateway.h"

#include <csignal>
#include <thread>
#include <utility>

#include "libs/gateway/internal/client_api.h"
#include "libs/gateway/internal/config_sync.h"
#include "libs/gateway/internal/core.h"
#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/operator_api.h"
#include "libs/gateway/internal/peer_exchange.h"
#include "libs/gateway/internal/peer_handler.h"
#include "libs/gateway/internal/platform_reader.h"
#include "libs/gateway/internal/service_calls.h"
#include "libs/gateway/internal/upstream_poller.h"

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kControlStep{100};
constexpr milliseconds kDrainStep{20};
// A VM that starts serves once a peer or the platform has told it the newest entry, and after this time with
// whatever it has: in a partition there may be nobody to ask.
constexpr seconds kCatchUpLimit{2};
// New requests still arrive at a leaving VM until its clients have seen a response that says so; they are
// served. This is the shortest time that the listener stays open.
constexpr milliseconds kMinDrain{1000};

/// Random, with the start time in the high bits, so that a later start has a higher incarnation.
uint64_t NewIncarnation() {
  constexpr int kRandomBits = 20;
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<milliseconds>(since_epoch).count();
  return (static_cast<uint64_t>(ms) << kRandomBits) | (base::EntropySeed() >> (64 - kRandomBits));
}

std::string WithPort(const std::string& advertised, const std::string& listen, uint16_t port) {
  if (!advertised.empty()) return advertised;
  return listen.substr(0, listen.rfind(':') + 1) + std::to_string(port);
}

class EntryVm final : public Gateway {
 public:
  EntryVm(GatewaySettings settings, const membership::VmListEntry& own)
      : own_(own),
        core_(std::move(settings), clock_, own),
        dispatcher_(&core_),
        services_(&core_, &dispatcher_),
        clients_(&core_, &dispatcher_, &services_),
        sync_(&core_),
        peers_(&core_, &sync_),
        reader_(&core_, &sync_, [this](uint64_t after) { peers_.PushEntries(after); }),
        poller_(&core_),
        operators_(&core_, &dispatcher_, &poller_),
        peer_handler_(&core_, &dispatcher_, &services_,
                      [this](const auto& caller, uint16_t kind, std::string_view payload) {
                        return peers_.Answer(caller, kind, payload);
                      }) {}

  ~EntryVm() override {
    stopping_.store(true);
    reader_.Stop();
    poller_.Stop();
    for (std::thread& thread : threads_) thread.join();
    clients_server_.reset();
    operators_server_.reset();
    core_.node.reset();
  }

  bool Start(GatewayReason* reason) {
    if (!Listen(reason)) return false;
    own_.http = WithPort(core_.settings.clients_advertise, core_.settings.clients_listen, clients_port());
    own_.rpc = WithPort(core_.settings.peers_advertise, core_.settings.peers_listen, peers_port());
    {
      const std::lock_guard<std::mutex> lock(core_.fleet.mutex);
      core_.fleet.table.SetOwnAddresses(own_.rpc, own_.http);
    }
    core_.node->SetCard(wire::EncodeVm(own_));
    started_ = clock_.Now();
    threads_.emplace_back([this] { ControlLoop(); });
    threads_.emplace_back([this] { reader_.Run(); });
    threads_.emplace_back([this] { poller_.Run(); });
    CP_LOG(INFO, "gateway") << "VM " << core_.settings.vm << " serves clients on " << own_.http << ".";
    return true;
  }

  uint16_t clients_port() const override { return clients_server_->port(); }
  uint16_t peers_port() const override { return core_.node->port(); }
  uint16_t operators_port() const override { return operators_server_->port(); }

  bool Drain() override {
    CP_LOG(INFO, "gateway") << "Draining.";
    core_.draining.store(true);
    own_.state = membership::VmState::kLeaving;
    {
      const std::lock_guard<std::mutex> lock(core_.fleet.mutex);
      core_.fleet.table.SetOwnLeaving();
      core_.fleet.gossip.RequestUrgentRound();
    }
    {
      const std::lock_guard<std::mutex> lock(core_.tickets.mutex);
      core_.tickets.table.Drain();
    }
    core_.node->SetCard(wire::EncodeVm(own_));
    const base::TimePoint start = clock_.Now();
    while (clock_.Now() - start < core_.settings.drain_limit) {
      const bool idle =
          clients_server_->in_flight() == 0 && core_.node->incoming() == 0 && open_tickets() == 0;
      if (idle && clock_.Now() - start >= kMinDrain) return true;
      std::this_thread::sleep_for(kDrainStep);
    }
    CP_LOG(WARNING, "gateway") << "The drain limit has passed with work in flight.";
    return false;
  }

 private:
  bool Listen(GatewayReason* reason) {
    const GatewaySettings& settings = core_.settings;
    http::HttpReason http_reason;
    http::ServerOptions options;
    options.address = settings.clients_listen;
    options.max_body_bytes = settings.max_body_bytes;
    options.max_connections = settings.max_connections;
    options.idle_timeout = std::chrono::ceil<seconds>(settings.idle_timeout);
    rpc::NodeOptions node;
    node.listen = settings.peers_listen;
    node.identity = {settings.vm, core_.incarnation, wire::EncodeVm(own_)};
    node.shared_key = settings.peers_key;
    node.max_incoming = settings.max_hops;
    rpc::RpcReason rpc_reason;
    core_.node = rpc::Node::Start(node, &peer_handler_, &rpc_reason);
    if (!core_.node) return Refuse(reason, settings.peers_listen, rpc_reason.detail);
    clients_server_ = http::Server::Start(
        options, [this](const http::Request& request) { return clients_.Handle(request); }, &http_reason);
    if (!clients_server_) return Refuse(reason, settings.clients_listen, http_reason.detail);
    options.address = settings.operators_listen;
    operators_server_ = http::Server::Start(
        options, [this](const http::Request& request) { return operators_.Handle(request); }, &http_reason);
    if (!operators_server_) return Refuse(reason, settings.operators_listen, http_reason.detail);
    return true;
  }

  static bool Refuse(GatewayReason* reason, const std::string& address, const std::string& detail) {
    base::SetReason(reason, GatewayCode::kListen, "can't listen on " + address + ": " + detail);
    return false;
  }

  void ControlLoop() {
    while (!stopping_.load()) {
      core_.standing.Turn(clock_.Now());
      peers_.Tick();
      core_.admission.Tick();
      const bool ready = peers_.caught_up() || clock_.Now() - started_ >= kCatchUpLimit;
      if (ready || core_.View().document) sync_.Refresh();
      std::this_thread::sleep_for(kControlStep);
    }
  }

  size_t open_tickets() {
    const std::lock_guard<std::mutex> lock(core_.tickets.mutex);
    core_.tickets.table.Expire(clock_.Now());
    return core_.tickets.table.open();
  }

  base::SystemClock clock_;
  membership::VmListEntry own_;
  Core core_;
  Dispatcher dispatcher_;
  ServiceCalls services_;
  ClientApi clients_;
  ConfigSync sync_;
  PeerExchange peers_;
  PlatformReader reader_;
  UpstreamPoller poller_;
  OperatorApi operators_;
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
