#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libs/fleet/internal/heartbeat_codec.h"
#include "libs/fleet/internal/member_table.h"
#include "libs/net/net.h"

namespace cornelplank::fleet {

/// Times of the beats; docs/fleet.md works out what they cost.
struct HeartbeatSettings {
  std::chrono::milliseconds load_interval{200};    // between loads told to the VMs of the region
  std::chrono::milliseconds member_interval{500};  // between rounds to a few VMs of the whole fleet
  size_t region_fanout = 4;      // VMs of the region told in a load round; larger regions take turns
  size_t members_per_beat = 40;  // keeps a datagram within one Ethernet frame
};

/// Exchanges beats with the other VMs over UDP.
class HeartbeatLoop {
 public:
  /// Binds `endpoint`; the other VMs use the same port. Null and the error when it can't.
  static std::unique_ptr<HeartbeatLoop> Start(net::asio::io_context& loop, const base::Clock& clock,
                                              const HeartbeatSettings& settings,
                                              const net::Tcp::endpoint& endpoint, MemberTable& members,
                                              serving::ReplicaRegistry& replicas, net::Error* error);

  void SetSeeds(std::vector<VmAddress> seeds) { seeds_ = std::move(seeds); }
  /// Waits of the own region, told to the others.
  void SetWaitReportSource(std::function<std::vector<RegionWaitReport>()> source) {
    offer_source_ = std::move(source);
  }
  /// Tells every known VM of a change of the own state at once.
  void BroadcastState();

 private:
  using Udp = net::asio::ip::udp;

  HeartbeatLoop(net::asio::io_context& loop, const base::Clock& clock, const HeartbeatSettings& settings,
                MemberTable& members, serving::ReplicaRegistry& replicas);
  net::Task<> Receive();
  net::Task<> TellLoads();
  net::Task<> TellMembers();
  void Merge(const Heartbeat& beat);
  std::vector<VmAddress> MemberTargets();
  Heartbeat MakeHeartbeat(bool with_loads, bool with_members);
  void SendTo(VmAddress vm, const std::string& bytes);

  net::asio::io_context& loop_;
  const base::Clock& clock_;
  HeartbeatSettings settings_;
  MemberTable& members_;
  serving::ReplicaRegistry& replicas_;
  Udp::socket socket_;
  uint16_t port_ = 0;
  std::vector<VmAddress> seeds_;
  std::function<std::vector<RegionWaitReport>()> offer_source_;
  base::Random random_;
  size_t region_turn_ = 0;
};

}  // namespace cornelplank::fleet
