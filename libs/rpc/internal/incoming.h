#pragma once

#include <kj/async-io.h>

#include <atomic>
#include <set>
#include <string>

#include "libs/rpc/internal/node.h"
#include "libs/rpc/internal/peer.capnp.h"

namespace cornelplank::rpc {

/// Counts the worker threads and the open answers of incoming hops, so that the node can wait for them before
/// it is destroyed.
struct IncomingCounter {
  std::atomic<size_t> running{0};
};

/// Lets a connection in after it has proved that it knows the shared key.
class DoorServer final : public wire::Door::Server {
 public:
  DoorServer(const NodeOptions& options, NodeHandler* handler, IncomingCounter* counter)
      : options_(options), handler_(handler), counter_(counter) {}

  kj::Promise<void> challenge(ChallengeContext context) override;
  kj::Promise<void> login(LoginContext context) override;

 private:
  const NodeOptions& options_;
  NodeHandler* handler_;
  IncomingCounter* counter_;
  std::set<std::string> nonces_;
};

}  // namespace cornelplank::rpc
