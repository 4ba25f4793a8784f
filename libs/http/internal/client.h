#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "libs/http/internal/message.h"
#include "libs/http/internal/server.h"

namespace cornelplank::http {

/// A request for a `Client` to send, with its time limits.
struct ClientRequest {
  std::string method = "GET";
  std::string url;  // http://IP:PORT/path
  Headers headers;
  std::string body;
  std::chrono::milliseconds connect_timeout{250};
  std::chrono::milliseconds timeout{30000};       // until the response is complete
  std::chrono::milliseconds head_timeout{0};      // until the head of the response arrives; 0 is no limit
  std::chrono::milliseconds progress_timeout{0};  // longest time between bytes of the body; 0 is no limit
  /// Greatest size of the response's body; a longer one fails. 0 is no limit, for a body that the caller does
  /// not keep, such as a stream of events.
  size_t max_body_bytes = 16 << 20;
  /// Uses a new connection and closes it afterwards. Required for requests that must not be sent twice,
  /// because libcurl resends a request when a reused connection turns out to be closed.
  bool single_use_connection = false;
};

/// How far an exchange got.
struct ExchangeState {
  bool request_sent = false;   // when false, no byte of the request has been sent
  bool head_received = false;  // the response's status and headers have arrived
};

/// One part of the response to an exchange.
struct ExchangeEvent {
  enum class Kind {
    kHead,     // `status` and `headers` are set
    kData,     // `data` is set
    kEnd,      // the response is complete; nothing follows
    kFailed,   // `reason` is set; nothing follows
    kNothing,  // no event arrived in the given time
  };
  Kind kind = Kind::kNothing;
  int status = 0;
  Headers headers;
  std::string data;
  HttpReason reason;
};

/// A request in progress and its response. Bytes are sent and received only inside `Next`, on the caller's
/// thread, so that a slow consumer slows the upstream down and a stream needs no thread of its own.
/// Destroying it closes the connection unless the response is complete.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// Waits at most `limit` for the next event and returns kNothing when none arrives.
  virtual ExchangeEvent Next(std::chrono::milliseconds limit) = 0;
  virtual ExchangeState state() const = 0;
};

/// An HTTP/1.1 client that keeps connections open for reuse. Thread-safe.
class Client {
 public:
  static std::unique_ptr<Client> Create();
  virtual ~Client() = default;

  /// Starts a request. Nothing is sent before the first call of Next. The client must outlive the exchange.
  virtual std::unique_ptr<Exchange> Open(const ClientRequest& request) = 0;
  /// Sends the request, blocks and returns the complete response, or nothing and the reason when it fails.
  /// `reason` and `state` may be null.
  virtual std::optional<Response> Send(const ClientRequest& request, HttpReason* reason,
                                       ExchangeState* state) = 0;
};

}  // namespace cornelplank::http
