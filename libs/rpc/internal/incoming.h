#pragma once

#include <kj/async-io.h>

#include <atomic>
#include <set>
#include <string>

#include "libs/rpc/internal/node.h"
#include "libs/rpc/internal/peer.capnp.h"

namespace cornelplank::rpc {

/// Counts the worker threads and the open answers of incoming hops, so that the node can wait for them to end
/// before it is destroyed. A hop that has a worker counts twice.
struct IncomingCounter {
  std::atomic<size_t> running{0};
};

/// Serves the schema's `Door`, the first interface that a new connection gets: gives access to `Peer` after
/// the caller has proved that it knows the shared key.
class DoorServer final : public wire::Door::Server {
 public:
  DoorServer(const NodeOptions& options, NodeHandler* handler, IncomingCounter* counter)
      : options_(options), handler_(handler), counter_(counter) {}

  /// Returns a new nonce.
  kj::Promise<void> challenge(ChallengeContext context) override;
  /// Checks the proof and returns the `Peer`. Throws when the nonce is unknown or the proof is wrong.
  kj::Promise<void> login(LoginContext context) override;

 private:
  const NodeOptions& options_;
  NodeHandler* handler_;
  IncomingCounter* counter_;
  std::set<std::string> nonces_;  // given out and not used yet; of all connections
};

}  // namespace cornelplank::rpc
