#include "libs/gateway/internal/peer_exchange.h"

#include <algorithm>
#include <vector>

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kCallTimeout{2000};
constexpr milliseconds kPullTimeout{5000};
constexpr seconds kClientsInterval{5};
constexpr milliseconds kSeedInterval{500};

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
  core_->metrics.CountControlCall(KindName(kind), payload.size());
  const bool pull = kind == wire::ControlKind::kPullConfig || kind == wire::ControlKind::kPullClients;
  core_->node->Control(address, static_cast<uint16_t>(kind), std::move(payload),
                       pull ? kPullTimeout : kCallTimeout, std::move(callback));
}

void PeerExchange::Tick() {
  const base::TimePoint now = core_->clock.Now();
  std::vector<std::string> calls;
  std::string lead_address;
  {
    const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
    auto& fleet = core_->fleet;
    fleet.table.Tick(now);
    calls = fleet.gossip.TakeDueZoneCalls(fleet.table, now);
    if (const auto cross = fleet.gossip.TakeDueCrossZoneCall(fleet.table, now)) calls.push_back(*cross);
    if (const auto& source = fleet.gossip.config_source()) {
      const membership::Vm* vm = fleet.table.Find(source->peer);
      if (vm != nullptr) lead_address = vm->entry.rpc;
    }
  }
  for (const std::string& peer : calls) CallGossip(peer);
  if (!lead_address.empty()) PullConfig(lead_address);
  if (!sync_->has_store() || !answered_.load()) AskSeeds();
  if (now >= next_clients_) {
    next_clients_ = now + kClientsInterval;
    PullClients();
  }
}

void PeerExchange::AskSeeds() {
  const base::TimePoint now = core_->clock.Now();
  if (now < next_seeds_) return;
  next_seeds_ = now + kSeedInterval;
  std::vector<std::string> addresses = core_->settings.seeds;
  {
    const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
    constexpr size_t kMaxAsked = 4;
    for (const auto& [id, vm] : core_->fleet.table.vms()) {
      if (id != core_->settings.vm && addresses.size() < kMaxAsked) addresses.push_back(vm.entry.rpc);
    }
  }
  for (const std::string& address : addresses) {
    Send(address, wire::ControlKind::kPullConfig, wire::EncodePull(sync_->seq()),
         [this](std::optional<rpc::ControlAnswer> answer) {
           if (!answer) return;
           {
             // A seed is met by its address only; its card says which VM it is.
             const auto vm = wire::DecodeVm(answer->callee.card);
             const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
             if (vm) core_->fleet.table.LearnFromPeer(*vm, base::Duration{0}, core_->clock.Now());
           }
           const auto pulled = wire::DecodePullAnswer(answer->payload);
           if (!pulled) return;
           sync_->OnAnswer(*pulled, "a peer");
           if (sync_->has_store()) answered_.store(true);
         });
  }
}

void PeerExchange::CallGossip(const std::string& peer) {
  std::string address;
  std::string payload;
  const base::TimePoint now = core_->clock.Now();
  {
    const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
    const membership::Vm* vm = core_->fleet.table.Find(peer);
    if (vm == nullptr) return;
    address = vm->entry.rpc;
    payload = wire::EncodeGossip(core_->fleet.gossip.BuildMessage(*vm, core_->fleet.table, nullptr, now));
  }
  Send(address, wire::ControlKind::kGossip, std::move(payload),
       [this, peer, now](std::optional<rpc::ControlAnswer> answer) {
         OnGossipAnswer(peer, now, std::move(answer));
       });
}

void PeerExchange::OnGossipAnswer(const std::string& peer, base::TimePoint started,
                                  std::optional<rpc::ControlAnswer> answer) {
  const base::TimePoint now = core_->clock.Now();
  const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
  auto& fleet = core_->fleet;
  const auto message = answer ? wire::DecodeGossip(answer->payload) : std::nullopt;
  const auto from = answer ? wire::DecodeVm(answer->callee.card) : std::nullopt;
  if (!message || !from) {
    fleet.gossip.RecordFailedCall(peer, fleet.table, now);
    return;
  }
  core_->standing.Contact(started);
  // Another VM may have taken over the address of the one that was called.
  if (from->id != peer) fleet.gossip.RecordFailedCall(peer, fleet.table, now);
  fleet.gossip.MergeAnswer(*from, *message, started, fleet.table, now);
}

void PeerExchange::PullConfig(const std::string& address) {
  if (pulling_.exchange(true)) return;
  const uint64_t after = sync_->seq();
  Send(address, wire::ControlKind::kPullConfig, wire::EncodePull(after),
       [this, after](std::optional<rpc::ControlAnswer> answer) {
         const auto pulled = answer ? wire::DecodePullAnswer(answer->payload) : std::nullopt;
         if (pulled && sync_->OnAnswer(*pulled, "a peer")) {
           sync_->Refresh();
           PushEntries(
               after);  // the entries came from another zone, so this zone's readers may lack them, too
         }
         pulling_.store(false);
       });
}

void PeerExchange::PullClients() {
  std::string address;
  {
    const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
    if (membership::ReaderSelector::IsOwnReader(core_->fleet.table) && core_->clients.revision() > 0) return;
    for (const std::string& id :
         membership::ReaderSelector::Readers(core_->fleet.table, core_->settings.zone)) {
      const membership::Vm* vm = core_->fleet.table.Find(id);
      if (id != core_->settings.vm && vm != nullptr) address = vm->entry.rpc;
    }
    // With no other VM in the zone, any usable one will do: a VM that starts during an outage of the
    // platform.
    for (const auto& [id, vm] : core_->fleet.table.vms()) {
      if (address.empty() && id != core_->settings.vm && vm.usable()) address = vm.entry.rpc;
    }
  }
  if (address.empty() && !core_->settings.seeds.empty()) address = core_->settings.seeds.front();
  if (address.empty()) return;
  Send(address, wire::ControlKind::kPullClients, wire::EncodePull(core_->clients.revision()),
       [this](std::optional<rpc::ControlAnswer> answer) {
         const auto pulled = answer ? wire::DecodePullAnswer(answer->payload) : std::nullopt;
         if (!pulled || pulled->kind != wire::PullAnswer::Kind::kPage) return;
         const auto page = config::ParseClientPage(pulled->text, nullptr, nullptr);
         if (page) core_->clients.Apply(*page, true);
       });
}

void PeerExchange::PushEntries(uint64_t after) {
  const wire::PullAnswer page = sync_->AnswerPull(after);
  if (page.kind != wire::PullAnswer::Kind::kPage) return;
  const std::string payload = wire::EncodePullAnswer(page);
  std::vector<std::string> addresses;
  {
    const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
    for (const membership::Vm* vm : core_->fleet.table.VmsInZone(core_->settings.zone)) {
      if (vm->entry.id != core_->settings.vm && !vm->suspected) addresses.push_back(vm->entry.rpc);
    }
  }
  for (const std::string& address : addresses) {
    Send(address, wire::ControlKind::kPushConfig, payload, [](const auto&) {});
  }
}

bool PeerExchange::caught_up() const {
  const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
  return answered_.load() && !core_->fleet.gossip.config_source();
}

std::string PeerExchange::Answer(const rpc::PeerIdentity& caller, uint16_t kind, std::string_view payload) {
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
        if (sync_->OnAnswer(*pushed, "a peer")) sync_->Refresh();
      }
      return "";
  }
  return "";
}

std::string PeerExchange::AnswerGossip(const rpc::PeerIdentity& caller, std::string_view payload) {
  const auto message = wire::DecodeGossip(payload);
  const auto from = wire::DecodeVm(caller.card);
  if (!message || !from || from->id != caller.vm || from->incarnation != caller.incarnation) return "";
  const base::TimePoint now = core_->clock.Now();
  const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
  auto& fleet = core_->fleet;
  fleet.gossip.MergeCall(*from, *message, fleet.table, now);
  const membership::Vm* vm = fleet.table.Find(from->id);
  if (vm == nullptr) return "";
  return wire::EncodeGossip(fleet.gossip.BuildMessage(*vm, fleet.table, &*message, now));
}

std::string PeerExchange::AnswerClients(std::string_view payload) const {
  const auto since = wire::DecodePull(payload);
  const auto page = since ? core_->clients.PageSince(*since) : std::nullopt;
  if (!page) return wire::EncodePullAnswer({});
  return wire::EncodePullAnswer({wire::PullAnswer::Kind::kPage, config::WriteClientPage(*page)});
}

}  // namespace cornelplank::gateway
