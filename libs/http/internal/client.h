#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

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
  std::chrono::milliseconds progress_timeout{0};  // longest silence after the first body byte; 0 is none
  /// A fresh connection that is not used again. Required for calls that must not be repeated, because libcurl
  /// resends a request when a reused connection turns out to be closed.
  bool single_use_connection = false;
  const std::atomic<bool>* cancel = nullptr;  // checked at least every 100 ms
};

/// Receives a response while it arrives. Returning false from either stops the exchange (kAborted).
struct ResponseSink {
  std::function<bool(int status, const Headers& headers)> on_head;
  std::function<bool(std::string_view bytes)> on_body;
};

/// What is known of an exchange that failed.
struct ExchangeState {
  bool connected = false;  // when false, no byte of the request left
  bool head_seen = false;  // the response's header arrived
};

/// An HTTP/1.1 client with a pool of kept connections. Thread-safe; calls block.
class Client {
 public:
  static std::unique_ptr<Client> Create();
  virtual ~Client() = default;

  /// Sends the request and returns the whole response.
  virtual std::optional<Response> Send(const ClientRequest& request, HttpReason* reason,
                                       ExchangeState* state) = 0;
  /// Sends the request and hands the response to `sink` as it arrives. True when it arrived whole.
  virtual bool Stream(const ClientRequest& request, const ResponseSink& sink, HttpReason* reason,
                      ExchangeState* state) = 0;
};

}  // namespace cornelplank::http
