#pragma once

#include <array>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

#include "libs/net/internal/connection_pool.h"
#include "libs/net/internal/message.h"

namespace cornelplank::net {

/// Why a call failed.
enum class CallFault {
  kNone,
  kNotConnected,  // no connection could be opened; nothing was sent
  kNoDescriptor,  // too many connections are open at this VM; nothing was sent
  kLost,          // the connection broke; bytes of the request may have been sent
  kTimeout,       // the response or its next part did not arrive in time
  kMalformed,     // what arrived is not a valid HTTP response
  kCancelled,     // `Cancel` was called
};

/// The name of the fault in logs.
const char* CallFaultName(CallFault fault);

/// One request to one server and its response. The response is read while a long request body is still being
/// written, since a server may respond before it has read the whole request. Not thread-safe; all calls run
/// on the loop.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  HttpCall(asio::io_context& loop, ConnectionPool& pool) : loop_(loop), pool_(pool) {}
  ~HttpCall();

  /// Takes an idle connection that was last used less than `max_idle` ago from the pool, or connects. Returns
  /// false when it can't connect.
  Task<bool> Connect(Tcp::endpoint endpoint, base::Duration max_idle);
  /// Sends the request, with Content-Length for its body. The rest of a long body is written in the
  /// background, so true doesn't mean that all has been sent. Returns false when the connection is broken.
  Task<bool> Send(const Request& request);
  /// Reads the status and the headers of the response, and skips interim (1xx) responses. Returns nothing on
  /// a fault, such as a status outside of 200 to 599, or a head that is not complete after `timeout`.
  Task<std::optional<ResponseHead>> ReadHead(base::Duration timeout);
  /// Appends the next part of the body to `out` and sets `*done` when the body is complete. Returns false on
  /// a fault, such as no further byte within `timeout`, or a broken connection in place of the orderly close
  /// that ends a body without a length.
  Task<bool> ReadSome(std::string* out, bool* done, base::Duration timeout);

  /// Whether the response states no length, so that the orderly end of the connection ends its body. A server
  /// that stops in the middle of it may close the connection in order too. Call it after `ReadHead`.
  bool EndsWithConnection() const { return parser_ && parser_->get().need_eof(); }

  /// The length of the body that follows, if the response states it. Call it after `ReadHead`.
  std::optional<uint64_t> BodyLength() const;

  /// Whether the connection has carried another request before. Call it after `Connect`.
  bool Reused() const { return reused_; }

  /// Returns the connection to the pool if the response allows its reuse, and closes it otherwise. Call it
  /// after a complete response.
  void Finish();
  /// Closes the connection at once. A coroutine that waits for this call resumes, and `fault` is kCancelled.
  void Cancel();

  CallFault fault() const { return fault_; }
  /// The system's or the parser's text for the fault.
  const std::string& detail() const { return detail_; }
  /// True once bytes of the request may have been sent.
  bool Sent() const { return sent_; }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  /// Writes what `Send` could not write at once: the bytes after the first `written` ones of head and body.
  static Task<> WriteRest(std::shared_ptr<HttpCall> call, std::shared_ptr<PooledConnection> connection,
                          std::string head, Body body, size_t written);
  /// Prepares the parser for the next head.
  void ResetParser();
  /// Whether the server has closed only its direction of the connection, or has received the whole request
  /// before it closed both. Called when the end of the connection has ended the response.
  Task<bool> EndedInOrder();
  /// Records the first fault: `default_fault`, or kTimeout when `error` is a timeout after the connection was
  /// made.
  void RecordFault(const Error& error, CallFault default_fault);

  asio::io_context& loop_;
  ConnectionPool& pool_;
  std::shared_ptr<PooledConnection> connection_;
  std::optional<Parser> parser_;
  CallFault fault_ = CallFault::kNone;
  std::string detail_;
  bool head_request_ = false;
  bool reused_ = false;
  bool sent_ = false;
  bool writing_ = false;              // the request has not been written completely
  std::optional<Error> write_error_;  // of the part of the request that is written in the background
  bool reusable_ = false;             // the response allows another request on the connection
};

}  // namespace cornelplank::net
