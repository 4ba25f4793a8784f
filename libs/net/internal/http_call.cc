#include "libs/net/internal/http_call.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>
#include <limits>
#include <sstream>

namespace cornelplank::net {
namespace {

namespace http = boost::beast::http;

// Greatest size of the head of a response, in bytes.
constexpr uint32_t kMaxHeadBytes = 32768;
// Bodies are passed on in parts, so their length is not limited. Boost 1.74 fails when the limit is set to
// none, so the greatest number stands for it.
constexpr uint64_t kUnlimitedBodyBytes = std::numeric_limits<uint64_t>::max();
// Greatest number of interim responses before the final one.
constexpr int kMaxInterimResponses = 8;
// Greatest idle timeout of a peer that is believed, in seconds.
constexpr int64_t kMaxKeepAliveSeconds = 3600;
// Size of the buffer for one read of a body, in bytes.
constexpr size_t kReadBufferBytes = 4096;
// A closed socket answers the next bytes of the request with a reset, one round trip after the end of its
// response. Calls that read such responses go to servers in the same region.
constexpr std::chrono::milliseconds kResetWait{10};
constexpr std::chrono::milliseconds kResetPollInterval{1};

/// The idle timeout that the peer announces in the header Keep-Alive ("timeout=5"), if any.
std::optional<std::chrono::seconds> KeepAliveTimeout(const http::fields& fields) {
  const auto value = fields["Keep-Alive"];
  const std::string_view text(value.data(), value.size());
  const size_t start = text.find("timeout=");
  const std::string_view digits = start == std::string_view::npos ? text : text.substr(start + 8);
  int64_t seconds = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc() || seconds < 0) return std::nullopt;
  return std::chrono::seconds(std::min(seconds, kMaxKeepAliveSeconds));
}

/// The request line and the headers of the request, as they are sent.
std::string SerializeHead(const Request& request) {
  http::request<http::empty_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  for (const Header& field : request.headers.fields()) message.insert(field.name, field.value);
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    message.content_length(request.body.size());
  }
  std::ostringstream text;
  text << message;
  return text.str();
}

/// Whether the status is that of an interim response (100 Continue, 103 Early Hints). 101 Switching Protocols
/// is not: no request asks for it.
bool IsInterim(unsigned status) { return status >= 100 && status < 200 && status != 101; }

bool IsFinal(unsigned status) { return status >= 200 && status < 600; }

/// Whether the peer has acknowledged all bytes that were written.
bool AllAcknowledged(int socket) {
  int unacknowledged = 0;
  return ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

/// Whether the connection no longer exists, in contrast to one of which the peer has closed its direction.
bool IsReset(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  return getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_state == TCP_CLOSE;
}

/// kMalformed when the parser refused the bytes that arrived, and kLost when too few arrived.
CallFault FaultOfRead(const Error& error) {
  const bool lost = error == http::error::end_of_stream || error == http::error::partial_message ||
                    error.category() != make_error_code(http::error::bad_target).category();
  return lost ? CallFault::kLost : CallFault::kMalformed;
}

}  // namespace

const char* CallFaultName(CallFault fault) {
  switch (fault) {
    case CallFault::kNone:
      return "none";
    case CallFault::kNotConnected:
      return "not_connected";
    case CallFault::kNoDescriptor:
      return "no_descriptor";
    case CallFault::kLost:
      return "connection_lost";
    case CallFault::kTimeout:
      return "timeout";
    case CallFault::kMalformed:
      return "malformed_answer";
    case CallFault::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

HttpCall::~HttpCall() {
  if (connection_) Cancel();
}

Task<bool> HttpCall::Connect(Tcp::endpoint endpoint, base::Duration max_idle) {
  Error error;
  const auto self = shared_from_this();
  auto connection = co_await pool_.Take(endpoint, max_idle, &error);
  if (!connection || fault_ == CallFault::kCancelled) {
    RecordFault(error, CallFault::kNotConnected);
    co_return false;
  }
  connection_ = std::move(connection);
  reused_ = connection_->reused;
  co_return true;
}

void HttpCall::RecordFault(const Error& error, CallFault default_fault) {
  if (fault_ != CallFault::kNone) return;
  fault_ = default_fault;
  if (default_fault != CallFault::kNotConnected && error == boost::beast::error::timeout) {
    fault_ = CallFault::kTimeout;
  }
  if (default_fault == CallFault::kNotConnected && error == asio::error::no_descriptors) {
    fault_ = CallFault::kNoDescriptor;
  }
  detail_ = error.message();
}

Task<bool> HttpCall::Send(const Request& request) {
  const auto self = shared_from_this();
  head_request_ = request.method == "HEAD";
  std::string head = SerializeHead(request);
  const Body body = request.body;
  sent_ = true;
  writing_ = true;
  // Most requests fit into the socket's send buffer, so that this call sends them completely.
  Error error;
  const std::array<asio::const_buffer, 2> buffers = {asio::buffer(head), asio::buffer(body.text())};
  const size_t written = connection_->stream.socket().send(buffers, MSG_DONTWAIT, error);
  if (error && error != asio::error::would_block) {
    RecordFault(error, CallFault::kLost);
    co_return false;
  }
  if (written == head.size() + body.size()) {
    writing_ = false;
    co_return true;
  }
  Spawn(loop_, "send_body", WriteRest(shared_from_this(), connection_, std::move(head), body, written));
  co_return true;
}

Task<> HttpCall::WriteRest(std::shared_ptr<HttpCall> call, std::shared_ptr<PooledConnection> connection,
                           std::string head, Body body, size_t written) {
  Error error;
  const size_t from_head = std::min(written, head.size());
  const std::array<asio::const_buffer, 2> buffers = {asio::buffer(head) + from_head,
                                                     asio::buffer(body.text()) + (written - from_head)};
  co_await asio::async_write(connection->stream.socket(), buffers, Into(error));
  if (!error) {
    call->writing_ = false;
    co_return;
  }
  // No fault is recorded: a server that stopped reading the request may still send its response.
  call->write_error_ = error;
  call->detail_ = "send: " + error.message();
}

Task<bool> HttpCall::EndedInOrder() {
  // The end of file alone doesn't show it: the kernel reports a reset to one call only, which may have been
  // the write, and a process that ends after it has read all that had arrived closes its sockets in order.
  const auto connection = connection_;
  const int socket = connection->stream.socket().native_handle();
  const auto end = std::chrono::steady_clock::now() + kResetWait;
  while (writing_ || !AllAcknowledged(socket)) {
    if (IsReset(socket)) co_return false;
    if (std::chrono::steady_clock::now() >= end) break;
    co_await Sleep(loop_, kResetPollInterval);
    if (fault_ != CallFault::kNone) co_return false;
  }
  co_return true;
}

void HttpCall::ResetParser() {
  parser_.emplace();
  parser_->header_limit(kMaxHeadBytes);
  parser_->body_limit(kUnlimitedBodyBytes);
  if (head_request_) parser_->skip(true);
}

Task<std::optional<ResponseHead>> HttpCall::ReadHead(base::Duration timeout) {
  const auto self = shared_from_this();
  ResetParser();
  connection_->stream.expires_after(timeout);
  Error error;
  for (int interim = 0;; ++interim) {
    co_await http::async_read_header(connection_->stream, connection_->buffer, *parser_, Into(error));
    if (error || !IsInterim(parser_->get().result_int())) break;
    if (interim == kMaxInterimResponses) {
      error = http::error::header_limit;
      break;
    }
    ResetParser();  // discards an interim response
  }
  if (!error && !IsFinal(parser_->get().result_int())) error = http::error::bad_status;
  if (error) {
    RecordFault(error, FaultOfRead(error));
    co_return std::nullopt;
  }
  ResponseHead head;
  head.status = parser_->get().result_int();
  for (const auto& field : parser_->get()) {
    head.headers.Add({field.name_string().data(), field.name_string().size()},
                     {field.value().data(), field.value().size()});
  }
  reusable_ = parser_->get().keep_alive() && !parser_->get().need_eof();
  if (const auto time = KeepAliveTimeout(parser_->get())) connection_->keep_alive = *time;
  co_return head;
}

std::optional<uint64_t> HttpCall::BodyLength() const {
  if (parser_->is_done()) return 0;  // the response to a HEAD request states a length, but has no body
  const auto length = parser_->content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

Task<bool> HttpCall::ReadSome(std::string* out, bool* done, base::Duration timeout) {
  const auto self = shared_from_this();
  *done = parser_->is_done();
  if (*done) co_return true;
  // A read that finds bytes completes before a timer that has expired already.
  if (timeout <= base::Duration::zero()) {
    RecordFault(boost::beast::error::timeout, CallFault::kTimeout);
    co_return false;
  }
  std::array<char, kReadBufferBytes> part;
  auto& body = parser_->get().body();
  body.data = part.data();
  body.size = part.size();
  body.more = true;
  connection_->stream.expires_after(timeout);
  Error error;
  co_await http::async_read_some(connection_->stream, connection_->buffer, *parser_, Into(error));
  if (error == http::error::need_buffer) error = {};
  out->append(part.data(), part.size() - body.size);
  if (error) {
    RecordFault(error, FaultOfRead(error));
    co_return false;
  }
  *done = parser_->is_done();
  if (!*done || !EndsWithConnection()) co_return true;
  *done = co_await EndedInOrder();
  if (!*done) RecordFault(write_error_.value_or(asio::error::connection_reset), CallFault::kLost);
  co_return *done;
}

void HttpCall::Finish() {
  if (!connection_) return;
  auto connection = std::move(connection_);
  connection->stream.expires_never();
  if (reusable_ && !writing_ && fault_ == CallFault::kNone) {
    pool_.Release(std::move(connection));
    return;
  }
  Error ignored;  // the peer may have closed first
  connection->stream.socket().close(ignored);
}

void HttpCall::Cancel() {
  if (fault_ == CallFault::kNone) fault_ = CallFault::kCancelled;
  if (!connection_) return;
  Error ignored;  // closing a closed socket changes nothing
  connection_->stream.socket().close(ignored);
}

}  // namespace cornelplank::net
