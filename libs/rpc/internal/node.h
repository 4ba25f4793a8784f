#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libs/rpc/internal/message.h"

namespace cornelplank::rpc {

struct NodeOptions {
  std::string listen = "127.0.0.1:0";  // IP:PORT, port 0 means any free port
  PeerIdentity identity;               // of this VM
  std::string shared_key;              // peers prove with it that they belong to the fleet
  unsigned max_incoming = 1000;
  std::chrono::milliseconds connect_timeout{1000};
  /// A connection with a call outstanding that does not answer a ping in this time is replaced. With the
  /// interval of the pings it is found within 1.4 s: before the calls of the control plane, which wait 2 s,
  /// count as missed and cast a suspicion on the VM at the other end.
  std::chrono::milliseconds ping_timeout{1000};
};

/// Where the receiving side of a hop writes its answer. The methods block while the caller's window is full.
class AnswerWriter {
 public:
  virtual ~AnswerWriter() = default;
  /// False when the caller has left; the work should then be cancelled.
  virtual bool Head(int status, const HeaderList& headers) = 0;
  virtual bool Data(std::string_view bytes) = 0;
  virtual bool cancelled() const = 0;
};

/// The receiving side of a node.
class NodeHandler {
 public:
  virtual ~NodeHandler() = default;
  /// Runs on a thread of its own and may block.
  virtual ForwardEnd OnForward(const ForwardRequest& request, AnswerWriter& writer) = 0;
  /// Runs on the event loop's thread and must not block.
  virtual std::string OnControl(const PeerIdentity& caller, uint16_t kind, std::string_view payload) = 0;
};

/// The sending side of one hop. Destroying it cancels the call.
class ForwardCall {
 public:
  virtual ~ForwardCall() = default;
  /// Waits at most `limit` for the next event. After kEnd nothing follows.
  virtual ForwardEvent Next(std::chrono::milliseconds limit) = 0;
  /// Whether the request may have left this process.
  virtual bool sent() const = 0;
};

struct ControlAnswer {
  PeerIdentity callee;
  std::string payload;
};

/// Called with the answer, or with nothing when the exchange failed. Runs on the event loop's thread.
using ControlCallback = std::function<void(std::optional<ControlAnswer> answer)>;

/// This process's end of the connections between VMs: one listener and one event loop thread. Thread-safe.
class Node {
 public:
  /// Binds and starts to serve; returns null with kBind when the address can't be had.
  static std::unique_ptr<Node> Start(const NodeOptions& options, NodeHandler* handler, RpcReason* reason);
  virtual ~Node() = default;

  /// Sets the metadata that connections made from now on carry.
  virtual void SetIdentityMetadata(std::string metadata) = 0;

  virtual uint16_t port() const = 0;
  /// Hops that are being answered by this node.
  virtual size_t incoming_calls() const = 0;
  virtual std::unique_ptr<ForwardCall> Forward(const std::string& address, const ForwardRequest& request) = 0;
  virtual void Control(const std::string& address, uint16_t kind, std::string payload,
                       std::chrono::milliseconds timeout, ControlCallback callback) = 0;
};

}  // namespace cornelplank::rpc
