#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "libs/http/internal/message.h"
#include "libs/http/internal/server.h"

namespace cornelplank::http {

struct ClientRequest {
  std::string method = "GET";
  std::string url;  // http://IP:PORT/path
  Headers headers;
  std::string body;
  std::chrono::milliseconds connect_timeout{250};
  std::chrono::milliseconds timeout{30000};       // for the whole exchange
  std::chrono::milliseconds head_timeout{0};      // until the response's header arrives; 0 is none
  std::chrono::milliseconds progress_timeout{0};  // longest silence after the first body byte; 0 is none
  /// A fresh connection that is not used again. Required for calls that must not be repeated, because libcurl
  /// resends a request when a reused connection turns out to be closed.
  bool single_use_connection = false;
};

/// What is known of an exchange that failed.
struct ExchangeState {
  bool request_sent = false;   // when false, no byte of the request left
  bool head_received = false;  // the response's header arrived
};

/// One step of an exchange.
struct ExchangeEvent {
  enum class Kind {
    kHead,     // `status` and `headers` are set
    kData,     // `data` is set
    kEnd,      // the response arrived whole
    kFailed,   // `reason` is set; nothing follows
    kNothing,  // nothing happened in the given time
  };
  Kind kind = Kind::kNothing;
  int status = 0;
  Headers headers;
  std::string data;
  HttpReason reason;
};

/// A request in progress. The caller's thread drives it, so that a slow consumer slows the upstream and a
/// stream needs no thread of its own. Destroying it closes the connection unless the response arrived whole.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// Waits at most `limit` for the next event.
  virtual ExchangeEvent Next(std::chrono::milliseconds limit) = 0;
  virtual ExchangeState state() const = 0;
};

/// An HTTP/1.1 client with a pool of kept connections. Thread-safe.
class Client {
 public:
  static std::unique_ptr<Client> Create();
  virtual ~Client() = default;

  /// Starts a request. Nothing is sent before the first call of Next. The client must outlive the exchange.
  virtual std::unique_ptr<Exchange> Open(const ClientRequest& request) = 0;
  /// Sends the request, blocks and returns the whole response. `reason` and `state` may be null.
  virtual std::optional<Response> Send(const ClientRequest& request, HttpReason* reason,
                                       ExchangeState* state) = 0;
};

}  // namespace cornelplank::http
