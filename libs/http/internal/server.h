#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "libs/base/base.h"
#include "libs/http/internal/message.h"

namespace cornelplank::http {

enum class HttpErrorCode { kBind, kConnect, kTimeout, kStalled, kBroken, kAborted, kInvalid };
using HttpReason = base::Reason<HttpErrorCode>;

struct ServerOptions {
  std::string address = "127.0.0.1:0";  // IP:PORT, port 0 means any free port
  size_t max_body_bytes = 1 << 20;      // longer bodies are answered with 413
  unsigned max_connections = 2000;
  std::chrono::seconds idle_timeout{30};  // a connection that neither sends nor takes bytes is closed
};

using Handler = std::function<Response(const Request&)>;

/// An HTTP/1.1 server with one thread per connection. The handler runs on the connection's thread, may block,
/// and must be thread-safe.
class Server {
 public:
  /// Binds and starts to serve; returns null with kBind when the address can't be had.
  static std::unique_ptr<Server> Start(const ServerOptions& options, Handler handler, HttpReason* reason);
  virtual ~Server() = default;

  /// The port that is bound.
  virtual uint16_t port() const = 0;
  /// Requests and streams in progress.
  virtual size_t in_flight() const = 0;
  /// Waits until nothing is in progress, at most `limit`. True when all has ended.
  virtual bool WaitIdle(std::chrono::milliseconds limit) const = 0;
};

}  // namespace cornelplank::http
