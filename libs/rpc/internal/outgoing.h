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

/// The connection to one peer: made on demand, kept, and replaced when it breaks or goes silent. Lives on the
/// event loop's thread.
class PeerLink {
 public:
  PeerLink(const NodeOptions& options, kj::AsyncIoProvider& io, std::string address)
      : options_(options), io_(io), address_(std::move(address)) {}

  kj::Promise<void> Forward(const ForwardRequest& request, std::shared_ptr<CallState> state);
  kj::Promise<ControlAnswer> Control(uint16_t kind, const std::string& payload,
                                     std::chrono::milliseconds timeout);

 private:
  struct Connection;

  kj::Promise<ControlAnswer> TryControl(uint16_t kind, const std::string& payload);
  kj::Promise<kj::Own<Connection>> Connected();
  kj::Promise<kj::Own<Connection>> Connect();
  kj::Promise<void> WatchSilence(Connection& connection);
  void Drop(const Connection* connection);

  const NodeOptions& options_;
  kj::AsyncIoProvider& io_;
  const std::string address_;
  kj::Maybe<kj::ForkedPromise<kj::Own<Connection>>> connecting_;
};

}  // namespace cornelplank::rpc
