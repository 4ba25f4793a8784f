#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>

#include "libs/rpc/internal/call_state.h"
#include "libs/rpc/internal/node.h"
#include "libs/rpc/internal/peer.capnp.h"

namespace cornelplank::rpc {

/// The connection to one peer: opened on demand, kept open, and replaced when it breaks or no longer answers
/// pings. Used only on the event loop's thread.
class PeerLink {
 public:
  PeerLink(const NodeOptions& options, kj::AsyncIoProvider& io, std::string address)
      : options_(options), io_(io), address_(std::move(address)) {}

  /// Sends a hop; its answer goes to `state`. Resolved when the peer has sent the whole answer.
  kj::Promise<void> Forward(const ForwardRequest& request, std::shared_ptr<CallState> state);
  /// Sends a control message and returns the reply. Fails when there is none within `timeout`.
  kj::Promise<ControlAnswer> Control(uint16_t kind, const std::string& payload,
                                     std::chrono::milliseconds timeout);

 private:
  struct Connection;

  /// Sends a control message once over the current connection.
  kj::Promise<ControlAnswer> SendControl(uint16_t kind, const std::string& payload);
  /// The current connection; opens one when there is none.
  kj::Promise<kj::Own<Connection>> GetConnection();
  /// Opens a connection and logs in.
  kj::Promise<kj::Own<Connection>> Connect();
  kj::Promise<void> SendPings(Connection& connection);
  /// Stops using the connection and fails its outstanding calls as disconnected.
  void Drop(const Connection* connection);

  const NodeOptions& options_;
  kj::AsyncIoProvider& io_;
  const std::string address_;
  kj::Maybe<kj::ForkedPromise<kj::Own<Connection>>> connecting_;
};

}  // namespace cornelplank::rpc
