#include "libs/gateway/internal/peer_exchange.h"

#include <algorithm>
#include <vector>

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kCallTimeout{2000};      // of gossip and pushes
constexpr milliseconds kPullTimeout{5000};      // of pulls, whose answers may be large
constexpr seconds kClientPullInterval{5};       // between two pulls of the client directory
constexpr milliseconds kSeedPullInterval{500};  // between two rounds of seed pulls at start

const char* KindName(wire::ControlKind kind) {
  switch (kind) {
    case wire::ControlKind::kGossip:
      return "gossip";
    case wire::ControlKind::kPullConfig:
      return "pull-config";
    case wire::ControlKind::kPullClients:
      return "pull-clients";
    case wire::ControlKind::kPushConfig:
      return "push-config";
  }
  return "unknown";
}

}  // namespace

void PeerExchange::Send(const std::string& address, wire::ControlKind kind, std::string payload,
                        rpc::ControlCallback callback) {
  shared_->metrics.CountControlCall(KindName(kind), payload.size());
  const bool pull = kind == wire::ControlKind::kPullConfig || kind == wire::ControlKind::kPullClients;
  shared_->node->Control(address, static_cast<uint16_t>(kind), std::move(payload),
                         pull ? kPullTimeout : kCallTimeout, std::move(callback));
}

void PeerExchange::Tick() {
  const base::TimePoint now = shared_->clock.Now();
  std::vector<std::string> peers_to_call;
  std::string config_source_address;
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    auto& fleet = shared_->fleet;
    fleet.table.Tick(now);
    peers_to_call = fleet.gossip.TakeDueZoneCalls(fleet.table, now);
    if (const auto cross = fleet.gossip.TakeDueCrossZoneCall(fleet.table, now)) {
      peers_to_call.push_back(*cross);
    }
    if (const auto& source = fleet.gossip.config_source()) {
      const membership::Vm* vm = fleet.table.Find(source->peer);
      if (vm != nullptr) config_source_address = vm->entry.rpc;
    }
  }
  for (const std::string& peer : peers_to_call) SendGossip(peer);
  if (!config_source_address.empty()) PullConfig(config_source_address);
  if (!sync_->has_store() || !peer_answered_.load()) PullFromSeeds();
  if (now >= next_client_pull_) {
    next_client_pull_ = now + kClientPullInterval;
    PullClients();
  }
}

void PeerExchange::PullFromSeeds() {
  const base::TimePoint now = shared_->clock.Now();
  if (now < next_seed_pull_) return;
  next_seed_pull_ = now + kSeedPullInterval;
  std::vector<std::string> addresses = shared_->settings.seeds;
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    constexpr size_t kMaxPeersAsked = 4;
    for (const auto& [id, vm] : shared_->fleet.table.vms()) {
      if (id != shared_->settings.vm && addresses.size() < kMaxPeersAsked) addresses.push_back(vm.entry.rpc);
    }
  }
  for (const std::string& address : addresses) {
    Send(address, wire::ControlKind::kPullConfig, wire::EncodePull(sync_->seq()),
         [this](std::optional<rpc::ControlAnswer> answer) {
           if (!answer) return;
           {
             // Only the address of a seed is known; the metadata in its answer tells which VM it is.
             const auto vm = wire::DecodeVm(answer->callee.metadata);
             const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
             if (vm) shared_->fleet.table.LearnFromPeer(*vm, base::Duration{0}, shared_->clock.Now());
           }
           const auto pulled = wire::DecodePullAnswer(answer->payload);
           if (!pulled) return;
           sync_->ApplyPullAnswer(*pulled, "a peer");
           if (sync_->has_store()) peer_answered_.store(true);
         });
  }
}

void PeerExchange::SendGossip(const std::string& peer) {
  std::string address;
  std::string payload;
  const base::TimePoint now = shared_->clock.Now();
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    const membership::Vm* vm = shared_->fleet.table.Find(peer);
    if (vm == nullptr) return;
    address = vm->entry.rpc;
    payload = wire::EncodeGossip(shared_->fleet.gossip.BuildMessage(*vm, shared_->fleet.table, nullptr, now));
  }
  Send(address, wire::ControlKind::kGossip, std::move(payload),
       [this, peer, now](std::optional<rpc::ControlAnswer> answer) {
         OnGossipAnswer(peer, now, std::move(answer));
       });
}

void PeerExchange::OnGossipAnswer(const std::string& peer, base::TimePoint started,
                                  std::optional<rpc::ControlAnswer> answer) {
  const base::TimePoint now = shared_->clock.Now();
  const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
  auto& fleet = shared_->fleet;
  const auto message = answer ? wire::DecodeGossip(answer->payload) : std::nullopt;
  const auto from = answer ? wire::DecodeVm(answer->callee.metadata) : std::nullopt;
  if (!message || !from) {
    fleet.gossip.RecordFailedCall(peer, fleet.table, now);
    return;
  }
  shared_->incarnation_monitor.RecordContact(started);
  // Another VM may now have the address of the one that was called.
  if (from->id != peer) fleet.gossip.RecordFailedCall(peer, fleet.table, now);
  fleet.gossip.MergeAnswer(*from, *message, started, fleet.table, now);
}

void PeerExchange::PullConfig(const std::string& address) {
  if (pulling_config_.exchange(true)) return;
  const uint64_t after = sync_->seq();
  Send(address, wire::ControlKind::kPullConfig, wire::EncodePull(after),
       [this, after](std::optional<rpc::ControlAnswer> answer) {
         const auto pulled = answer ? wire::DecodePullAnswer(answer->payload) : std::nullopt;
         if (pulled && sync_->ApplyPullAnswer(*pulled, "a peer")) {
           sync_->RefreshView();
           // The entries came from another zone, so the readers of this zone may lack them too.
           PushEntries(after);
         }
         pulling_config_.store(false);
       });
}

void PeerExchange::PullClients() {
  std::string address;
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    if (membership::ReaderSelector::IsOwnReader(shared_->fleet.table) && shared_->clients.revision() > 0) {
      return;
    }
    for (const std::string& id :
         membership::ReaderSelector::Readers(shared_->fleet.table, shared_->settings.zone)) {
      const membership::Vm* vm = shared_->fleet.table.Find(id);
      if (id != shared_->settings.vm && vm != nullptr) address = vm->entry.rpc;
    }
    // Without another VM in the zone any usable VM is asked, so that a VM that starts during an outage of the
    // platform gets the directory too.
    for (const auto& [id, vm] : shared_->fleet.table.vms()) {
      if (address.empty() && id != shared_->settings.vm && vm.usable()) address = vm.entry.rpc;
    }
  }
  if (address.empty() && !shared_->settings.seeds.empty()) address = shared_->settings.seeds.front();
  if (address.empty()) return;
  Send(address, wire::ControlKind::kPullClients, wire::EncodePull(shared_->clients.revision()),
       [this](std::optional<rpc::ControlAnswer> answer) {
         const auto pulled = answer ? wire::DecodePullAnswer(answer->payload) : std::nullopt;
         if (!pulled || pulled->kind != wire::PullAnswer::Kind::kPage) return;
         const auto page = config::ParseClientPage(pulled->text, nullptr, nullptr);
         if (page) shared_->clients.Apply(*page, true);
       });
}

void PeerExchange::PushEntries(uint64_t after) {
  const wire::PullAnswer page = sync_->AnswerPull(after);
  if (page.kind != wire::PullAnswer::Kind::kPage) return;
  const std::string payload = wire::EncodePullAnswer(page);
  std::vector<std::string> addresses;
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    for (const membership::Vm* vm : shared_->fleet.table.VmsInZone(shared_->settings.zone)) {
      if (vm->entry.id != shared_->settings.vm && !vm->suspected) addresses.push_back(vm->entry.rpc);
    }
  }
  for (const std::string& address : addresses) {
    Send(address, wire::ControlKind::kPushConfig, payload, [](const auto&) {});
  }
}

bool PeerExchange::caught_up() const {
  const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
  return peer_answered_.load() && !shared_->fleet.gossip.config_source();
}

std::string PeerExchange::HandleControl(const rpc::PeerIdentity& caller, uint16_t kind,
                                        std::string_view payload) {
  switch (static_cast<wire::ControlKind>(kind)) {
    case wire::ControlKind::kGossip:
      return AnswerGossip(caller, payload);
    case wire::ControlKind::kPullConfig: {
      const auto after = wire::DecodePull(payload);
      return after ? wire::EncodePullAnswer(sync_->AnswerPull(*after)) : "";
    }
    case wire::ControlKind::kPullClients:
      return AnswerClients(payload);
    case wire::ControlKind::kPushConfig:
      if (const auto pushed = wire::DecodePullAnswer(payload)) {
        if (sync_->ApplyPullAnswer(*pushed, "a peer")) sync_->RefreshView();
      }
      return "";
  }
  return "";
}

std::string PeerExchange::AnswerGossip(const rpc::PeerIdentity& caller, std::string_view payload) {
  const auto message = wire::DecodeGossip(payload);
  const auto from = wire::DecodeVm(caller.metadata);
  if (!message || !from || from->id != caller.vm || from->incarnation != caller.incarnation) return "";
  const base::TimePoint now = shared_->clock.Now();
  const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
  auto& fleet = shared_->fleet;
  fleet.gossip.MergeCall(*from, *message, fleet.table, now);
  const membership::Vm* vm = fleet.table.Find(from->id);
  if (vm == nullptr) return "";
  return wire::EncodeGossip(fleet.gossip.BuildMessage(*vm, fleet.table, &*message, now));
}

std::string PeerExchange::AnswerClients(std::string_view payload) const {
  const auto since = wire::DecodePull(payload);
  const auto page = since ? shared_->clients.PageSince(*since) : std::nullopt;
  if (!page) return wire::EncodePullAnswer({});
  return wire::EncodePullAnswer({wire::PullAnswer::Kind::kPage, config::WriteClientPage(*page)});
}

}  // namespace cornelplank::gateway
