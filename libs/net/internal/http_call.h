#pragma once

#include <array>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

#include "libs/net/internal/connection_pool.h"
#include "libs/net/internal/message.h"

namespace cornelplank::net {

enum class CallFault {
  kNone,
  kNotConnected,  // nothing was sent
  kLost,          // the connection broke after bytes may have been sent
  kTimeout,       // nothing arrived in time
  kMalformed,     // what arrived is no answer
  kCancelled,
};

const char* CallFaultName(CallFault fault);

/// One request to one server and its answer. Reading goes on while a long body is still being written, since
/// a server may answer before it has read the request. Not thread-safe; all calls run on the loop.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  HttpCall(asio::io_context& loop, ConnectionPool& pool) : loop_(loop), pool_(pool) {}
  ~HttpCall();

  /// Connects, unless an idle connection used less than `max_idle` ago is at hand. False if it can't.
  Task<bool> Connect(Tcp::endpoint endpoint, base::Duration max_idle);
  /// Sends the request. The body goes out with Content-Length.
  Task<bool> Send(const Request& request);
  /// The head of the next answer on the connection; nothing on a fault.
  Task<std::optional<ResponseHead>> ReadHead(base::Duration limit);
  /// Appends the next part of the body to `out`; false on a fault. `*done` tells that the body is complete.
  Task<bool> ReadSome(std::string* out, bool* done, base::Duration limit);

  /// Hands the connection back for reuse if the answer allows it; call after a complete answer.
  void Finish();
  /// Closes the connection at once. A coroutine that waits in this call resumes with kCancelled.
  void Cancel();

  CallFault fault() const { return fault_; }
  const std::string& detail() const { return detail_; }
  bool Sent() const { return sent_; }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  static Task<> WriteBody(std::shared_ptr<HttpCall> call, std::shared_ptr<PooledConnection> connection,
                          std::shared_ptr<std::string> bytes);
  void Fail(const Error& error, CallFault otherwise);

  asio::io_context& loop_;
  ConnectionPool& pool_;
  std::shared_ptr<PooledConnection> connection_;
  std::optional<Parser> parser_;
  CallFault fault_ = CallFault::kNone;
  std::string detail_;
  bool head_request_ = false;
  bool sent_ = false;
  bool writing_ = false;
  bool reusable_ = false;
};

}  // namespace cornelplank::net
