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

/// Why a server could not start or an exchange failed.
enum class HttpErrorCode {
  kBind,     // the server can't listen on its address
  kConnect,  // no connection could be opened
  kTimeout,  // the time limit of the whole exchange has passed
  kStalled,  // no byte arrived within `head_timeout` or `progress_timeout`
  kBroken,   // the connection broke, or the response is malformed or truncated
  kAborted,  // the exchange had already ended
  kInvalid   // the URL is malformed or its scheme is not supported
};
using HttpReason = base::Reason<HttpErrorCode>;

/// Settings of a `Server`.
struct ServerOptions {
  std::string address = "127.0.0.1:0";    // IP:PORT, port 0 means any free port
  size_t max_body_bytes = 1 << 20;        // longer bodies are answered with 413
  unsigned max_connections = 2000;        // open at once; each has a thread
  std::chrono::seconds idle_timeout{30};  // a connection without traffic for this long is closed
};

/// Returns the response to a request.
using Handler = std::function<Response(const Request&)>;

/// An HTTP/1.1 server with one thread per connection. The handler runs on the connection's thread, may block,
/// and must be thread-safe.
class Server {
 public:
  /// Starts to listen and serve. Returns null and the reason kBind when it can't listen on the address.
  static std::unique_ptr<Server> Start(const ServerOptions& options, Handler handler, HttpReason* reason);
  virtual ~Server() = default;

  /// The port that the server listens on.
  virtual uint16_t port() const = 0;
  /// Number of requests in progress, from the request line to the end of the response.
  virtual size_t in_flight() const = 0;
  /// Waits at most `limit` until no request is in progress. Returns false when the limit has passed.
  virtual bool WaitIdle(std::chrono::milliseconds limit) const = 0;
};

}  // namespace cornelplank::http
