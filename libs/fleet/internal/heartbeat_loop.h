#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libs/fleet/internal/heartbeat_codec.h"
#include "libs/fleet/internal/load_exchange.h"
#include "libs/fleet/internal/member_table.h"
#include "libs/net/net.h"

namespace cornelplank::fleet {

/// Intervals and sizes of the heartbeats; docs/fleet.md calculates what they cost.
struct HeartbeatSettings {
  std::chrono::milliseconds load_interval{200};  // between heartbeats with loads to VMs of the own region
  std::chrono::milliseconds member_interval{
      500};                           // between heartbeats with members to a few VMs of any region
  size_t members_per_heartbeat = 40;  // keeps a datagram without crashes within one Ethernet frame
  size_t crashes_per_heartbeat = 16;  // the newest ones; about 50 bytes each
  size_t limits_per_heartbeat = 24;   // limits of replicas, the newest ones; about 12 bytes each
  // Between heartbeats with limits to VMs of the own region, while no limit changes.
  std::chrono::milliseconds limit_interval{1000};
  LoadExchangeSettings loads;
};

/// Exchanges heartbeats with the other entry VMs over UDP and merges what arrives into the member table and
/// the replica registry. Members and wait reports spread as gossip: each VM passes on what it has learned.
class HeartbeatLoop {
 public:
  /// Binds `endpoint` and starts sending and receiving on `loop`. The other VMs use the same port. Returns
  /// null and sets `error` when the endpoint can't be bound.
  static std::unique_ptr<HeartbeatLoop> Start(net::asio::io_context& loop, const base::Clock& clock,
                                              const HeartbeatSettings& settings,
                                              const net::Tcp::endpoint& endpoint, MemberTable& members,
                                              serving::ReplicaRegistry& replicas, net::Error* error);

  /// Sets the VMs to contact as long as no others are known, and now and then later.
  void SetSeeds(std::vector<VmAddress> seeds) { seeds_ = std::move(seeds); }
  /// Sets the function that estimates the waits of the own region for each heartbeat with members.
  void SetWaitReportSource(std::function<std::vector<RegionWaitReport>()> source) {
    wait_report_source_ = std::move(source);
  }
  /// Sets the quarantine whose reports the heartbeats carry.
  void SetQuarantine(serving::PromptQuarantine* quarantine) { quarantine_ = quarantine; }
  /// Sets the function that gets the messages about quotas that arrive.
  void SetQuotaReceiver(std::function<void(const std::vector<tenancy::QuotaMessage>&)> receiver) {
    quota_receiver_ = std::move(receiver);
  }
  /// Sets the function that gets the messages about origins of streams that arrive.
  void SetOriginReceiver(std::function<void(VmAddress from, const OriginMessages&)> receiver) {
    origin_receiver_ = std::move(receiver);
  }
  /// Sends messages about origins of streams to a VM, at once and not again.
  void SendOrigins(VmAddress vm, OriginMessages messages);
  /// Sends messages about quotas to a VM, at once and not again.
  void SendQuotas(VmAddress vm, std::vector<tenancy::QuotaMessage> messages);
  /// Sends a heartbeat to every known VM at once, after a change of this VM's state.
  void BroadcastState();

 private:
  using Udp = net::asio::ip::udp;

  HeartbeatLoop(net::asio::io_context& loop, const base::Clock& clock, const HeartbeatSettings& settings,
                MemberTable& members, serving::ReplicaRegistry& replicas);
  net::Task<> Receive();
  /// Sends this VM's loads to VMs of the own region. Never returns.
  net::Task<> SendLoads();
  /// Sends members and wait reports to VMs of any region. Never returns.
  net::Task<> SendMembers();
  void Merge(const Heartbeat& heartbeat);
  /// Picks the VMs for one round of `SendMembers`.
  std::vector<VmAddress> PickMemberTargets();
  /// What a heartbeat carries beside its sender and news.
  enum class Content { kOwnLoads, kMembers };
  Heartbeat MakeHeartbeat(Content content);
  void SendTo(VmAddress vm, const std::string& bytes);

  net::asio::io_context& loop_;
  const base::Clock& clock_;
  HeartbeatSettings settings_;
  MemberTable& members_;
  serving::ReplicaRegistry& replicas_;
  Udp::socket socket_;
  uint16_t port_ = 0;
  std::vector<VmAddress> seeds_;
  std::function<std::vector<RegionWaitReport>()> wait_report_source_;
  std::function<void(const std::vector<tenancy::QuotaMessage>&)> quota_receiver_;
  std::function<void(VmAddress, const OriginMessages&)> origin_receiver_;
  serving::PromptQuarantine* quarantine_ = nullptr;
  base::Random random_;
  base::TimePoint limits_sent_at_{};
  LoadExchange load_exchange_;
};

}  // namespace cornelplank::fleet
