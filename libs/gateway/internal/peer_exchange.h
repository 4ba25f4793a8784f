#pragma once

#include <string>
#include <string_view>

#include "libs/gateway/internal/config_sync.h"
#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// Exchanges control messages with other VMs: gossip, configuration and client directory. `Tick` starts calls
/// and never blocks; answers are handled on the thread of the RPC event loop.
class PeerExchange {
 public:
  PeerExchange(SharedState* shared, ConfigSync* sync) : shared_(shared), sync_(sync) {}

  /// Starts the calls that are due. Call it about every 100 ms.
  void Tick();
  /// Handles a control message of a peer and returns the payload of the answer; empty when the message is
  /// malformed, of unknown kind or needs none.
  std::string HandleControl(const rpc::PeerIdentity& caller, uint16_t kind, std::string_view payload);
  /// Sends the configuration entries after sequence number `after` to the other VMs of the own zone.
  void PushEntries(uint64_t after);
  /// Whether a peer has answered and no peer is known to have a newer configuration than this VM.
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
  std::atomic<bool> pulling_config_{false};  // a configuration pull is in progress
  std::atomic<bool> peer_answered_{false};   // a seed pull was answered and there is a configuration
  base::TimePoint next_client_pull_{};
  base::TimePoint next_seed_pull_{};
};

}  // namespace cornelplank::gateway
