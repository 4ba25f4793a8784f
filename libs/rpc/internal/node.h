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

/// Settings of a `Node`.
struct NodeOptions {
  std::string listen = "127.0.0.1:0";  // IP:PORT, port 0 means any free port
  PeerIdentity identity;               // of this VM
  std::string shared_key;              // the fleet's secret; a peer proves at login that it knows it
  unsigned max_incoming = 1000;        // further hops are refused with `peer-full`, outcome not-run
  std::chrono::milliseconds connect_timeout{1000};
  /// A connection that has calls outstanding is replaced when a ping on it is not answered in this time.
  /// Together with the interval of the pings, a broken connection is found within 1.4 s. The calls of the
  /// control plane time out after 2 s, and a timeout makes the VM at the other end suspected of a failure, so
  /// the connection has to be replaced before that.
  std::chrono::milliseconds ping_timeout{1000};
};

/// Writes the answer to a hop on its receiving side. `Data` blocks while the flow-control window is full.
class AnswerWriter {
 public:
  virtual ~AnswerWriter() = default;
  /// `Head` and `Data` return false when the caller has cancelled the hop; the work should then be stopped.
  virtual bool Head(int status, const HeaderList& headers) = 0;
  virtual bool Data(std::string_view bytes) = 0;
  virtual bool cancelled() const = 0;
};

/// Handles the calls that a node receives.
class NodeHandler {
 public:
  virtual ~NodeHandler() = default;
  /// Handles one hop and returns how its answer ended. Each call runs on a thread of its own and may block.
  virtual ForwardEnd OnForward(const ForwardRequest& request, AnswerWriter& writer) = 0;
  /// Handles one control message and returns the payload of the reply. Runs on the event loop's thread and
  /// must not block.
  virtual std::string OnControl(const PeerIdentity& caller, uint16_t kind, std::string_view payload) = 0;
};

/// The sending side of one hop. Destroying it before the answer has ended cancels the hop.
class ForwardCall {
 public:
  virtual ~ForwardCall() = default;
  /// Waits at most `limit` for the next event and returns kNothing when none arrives. Nothing follows kEnd.
  virtual ForwardEvent Next(std::chrono::milliseconds limit) = 0;
  /// True when the request may have left this process.
  virtual bool sent() const = 0;
};

/// The reply to a control message.
struct ControlAnswer {
  PeerIdentity callee;
  std::string payload;
};

/// Called with the reply, or with nothing when the call failed or timed out. Runs on the event loop's thread.
using ControlCallback = std::function<void(std::optional<ControlAnswer> answer)>;

/// This process's RPC endpoint: a listener for calls from other VMs, and one connection to each VM that it
/// calls. All connections run on one event loop thread. Thread-safe.
class Node {
 public:
  /// Starts to listen and serve. Returns null and the reason kBind when it can't listen on the address.
  static std::unique_ptr<Node> Start(const NodeOptions& options, NodeHandler* handler, RpcReason* reason);
  virtual ~Node() = default;

  /// Sets the metadata that this node sends in logins, as caller and as callee, from now on.
  virtual void SetIdentityMetadata(std::string metadata) = 0;

  virtual uint16_t port() const = 0;
  /// Count of worker threads and open answers of incoming hops; 0 when no hop is in progress.
  virtual size_t incoming_calls() const = 0;
  /// Starts a hop to the VM at `address` (IP:PORT). Failures are reported as its kEnd event.
  virtual std::unique_ptr<ForwardCall> Forward(const std::string& address, const ForwardRequest& request) = 0;
  /// Sends a control message to the VM at `address` (IP:PORT). It may be delivered twice.
  virtual void Control(const std::string& address, uint16_t kind, std::string payload,
                       std::chrono::milliseconds timeout, ControlCallback callback) = 0;
};

}  // namespace cornelplank::rpc
