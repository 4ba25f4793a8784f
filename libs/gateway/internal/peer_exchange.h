#pragma once

#include <string>
#include <string_view>

#include "libs/gateway/internal/config_sync.h"
#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// The control exchanges with other VMs: gossip, configuration and client directory. `Tick` starts calls and
/// never blocks; answers arrive on the RPC event loop's thread.
class PeerExchange {
 public:
  PeerExchange(SharedState* shared, ConfigSync* sync) : shared_(shared), sync_(sync) {}

  /// Call it every 100 ms or so.
  void Tick();
  /// Answers a control message of a peer.
  std::string HandleControl(const rpc::PeerIdentity& caller, uint16_t kind, std::string_view payload);
  /// Sends the entries after `seq` to the peers of the own zone.
  void PushEntries(uint64_t after);
  /// True once a peer has answered, and its configuration, if newer, has been reached.
  bool caught_up() const;

 private:
  void SendGossip(const std::string& peer);
  void OnGossipAnswer(const std::string& peer, base::TimePoint started,
                      std::optional<rpc::ControlAnswer> answer);
  void PullConfig(const std::string& address);
  void PullClients();
  void PullFromSeeds();
  std::string AnswerGossip(const rpc::PeerIdentity& caller, std::string_view payload);
  std::string AnswerClients(std::string_view payload) const;
  void Send(const std::string& address, wire::ControlKind kind, std::string payload,
            rpc::ControlCallback callback);

  SharedState* shared_;
  ConfigSync* sync_;
  std::atomic<bool> pulling_config_{false};
  std::atomic<bool> peer_answered_{false};
  base::TimePoint next_client_pull_{};
  base::TimePoint next_seed_pull_{};
};

}  // namespace cornelplank::gateway
