#include "libs/net/internal/http_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <cerrno>

namespace cornelplank::net {
namespace {

// A write that takes longer than this ends the connection. Clients give up on a silent stream sooner, so a
// client that reads nothing for this long is gone.
constexpr std::chrono::seconds kWriteTimeout{15};
// How long a connection that was accepted while the server stopped waits for its request, which its client is
// about to send.
constexpr std::chrono::milliseconds kLastRequestWait{200};
// Receive buffers above this size are released after their request, since most connections are idle most of
// the time.
constexpr size_t kMaxIdleBufferBytes = 4096;

Headers CopyFields(const http::fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    headers.Add({field.name_string().data(), field.name_string().size()},
                {field.value().data(), field.value().size()});
  }
  return headers;
}

/// The response status for a request that the parser refused with `error`.
unsigned StatusForParseError(const Error& error) {
  if (error == http::error::header_limit || error == http::error::buffer_overflow) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
}

}  // namespace

HttpSession::HttpSession(HttpServer& server, Tcp::socket socket)
    : server_(server), registry_(server.registry_), stream_(std::move(socket)), watch_ended_(server.loop_) {
  SetTcpOptions(stream_.socket(), std::chrono::milliseconds::zero());  // clients may pause
  registry_->sessions.insert(this);
}

HttpSession::~HttpSession() { registry_->sessions.erase(this); }

void HttpSession::CloseIfIdle() {
  if (!idle_) return;
  char byte;
  const ssize_t size = recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // A read that has taken the first bytes of a request already ends with them all the same.
  if (size <= 0) stream_.cancel();
}

void HttpSession::Close() {
  Error ignored;  // the socket may be closed already
  stream_.socket().close(ignored);
}

Task<> HttpSession::Run(std::shared_ptr<HttpSession> session) { co_await session->ServeRequests(); }

Task<> HttpSession::ServeRequests() {
  while (keep_alive_) {
    // Not in the loop's condition: g++ 12 evaluates a co_await there although the operand before it is false.
    if (!co_await AwaitRequest()) break;
    idle_ = false;
    auto request = co_await ReadRequest();
    if (!request) break;
    ++registry_->active;
    co_await Serve(*request);
    --registry_->active;
    idle_ = true;
    if (server_.stopped_) break;
    if (buffer_.size() == 0 && buffer_.capacity() > kMaxIdleBufferBytes) buffer_.shrink_to_fit();
  }
  Error ignored;  // the client may have closed first
  stream_.socket().shutdown(Tcp::socket::shutdown_both, ignored);
  Close();
}

Task<bool> HttpSession::AwaitRequest() {
  if (buffer_.size() > 0) co_return true;
  std::array<char, 512> first;  // small, so that an idle connection doesn't hold a large buffer
  stream_.expires_after(server_.stopped_ ? kLastRequestWait : server_.limits_.idle_timeout);
  Error error;
  const size_t size = co_await stream_.async_read_some(asio::buffer(first), Into(error));
  if (error || size == 0) co_return false;
  const auto space = buffer_.prepare(size);
  std::memcpy(space.data(), first.data(), size);
  buffer_.commit(size);
  co_return true;
}

Task<std::optional<Request>> HttpSession::ReadRequest() {
  Parser parser;
  parser.header_limit(server_.limits_.header_bytes);
  buffer_.max_size(std::max<size_t>(kMaxUnparsedBytes, server_.limits_.header_bytes));
  parser.body_limit(server_.limits_.body_bytes);
  Error error;
  stream_.expires_after(server_.limits_.header_timeout);
  co_await http::async_read_header(stream_, buffer_, parser, Into(error));
  if (!error && parser.get().count(http::field::transfer_encoding) > 0 && !parser.chunked()) {
    error = http::error::bad_transfer_encoding;
  }
  if (!error && !parser.is_done()) {
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      const http::response<http::empty_body> continue_response(http::status::continue_, 11);
      co_await http::async_write(stream_, continue_response, Into(error));
    }
    stream_.expires_after(server_.limits_.idle_timeout);
    if (!error) {
      co_await http::async_read(stream_, buffer_, parser, Into(error));
    }
  }
  if (error) {
    co_await Reject(error);
    co_return std::nullopt;
  }
  auto message = parser.release();
  keep_alive_ = message.keep_alive();
  Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = CopyFields(message);
  request.body = std::move(message.body());
  co_return request;
}

Task<> HttpSession::Reject(const Error& error) {
  const bool parse_error = error.category() == make_error_code(http::error::bad_target).category() &&
                           error != http::error::end_of_stream && error != http::error::partial_message;
  if (!parse_error) co_return;
  base::LogEvent("request_rejected")
      .Text("reason", error.message())
      .Number("status", StatusForParseError(error));
  http::response<http::empty_body> response(static_cast<http::status>(StatusForParseError(error)), 11);
  response.keep_alive(false);
  response.content_length(0);
  Error ignored;  // the connection is closed either way
  stream_.expires_after(kWriteTimeout);
  co_await http::async_write(stream_, response, Into(ignored));
}

bool HttpSession::ClientHasClosed() {
  char byte;
  const ssize_t size = recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

void HttpSession::CheckClient(ResponseWriter& writer) {
  // Bytes of a further request hide the end of the connection.
  if (buffer_.size() == 0 && !writer.Complete() && ClientHasClosed()) MarkClientGone(writer);
}

Task<> HttpSession::Serve(Request& request) {
  ResponseWriter writer(*this);
  stream_.expires_never();
  // On a busy VM the client may have given up before its request was read.
  CheckClient(writer);
  if (writer.ClientGone()) {
    base::LogEvent("client_left_unread").Text("target", request.target);
    co_return;
  }
  const auto watching = std::make_shared<bool>(true);
  if (buffer_.size() == 0) {
    Spawn(server_.loop_, "watch_client", WatchClient(shared_from_this(), watching, writer));
  } else {
    *watching = false;  // the next request is in the buffer already, so the client is still connected
  }
  co_await server_.handler_.Handle(request, writer);
  if (!writer.Complete() || writer.close_after()) keep_alive_ = false;
  if (*watching) {
    Error ignored;  // a closed socket has no wait to cancel
    stream_.socket().cancel(ignored);
    while (*watching) {
      co_await watch_ended_.Wait(std::chrono::seconds(1));
    }
  }
}

Task<> HttpSession::WatchClient(std::shared_ptr<HttpSession> session, std::shared_ptr<bool> watching,
                                ResponseWriter& writer) {
  Error error;
  co_await session->stream_.socket().async_wait(Tcp::socket::wait_read, Into(error));
  if (!error && !writer.Complete() && session->ClientHasClosed()) session->MarkClientGone(writer);
  *watching = false;
  session->watch_ended_.Notify();
}

void HttpSession::MarkClientGone(ResponseWriter& writer) {
  if (writer.client_gone_) return;
  writer.client_gone_ = true;
  keep_alive_ = false;
  if (writer.on_client_gone_) writer.on_client_gone_();
}

template <typename Buffers>
Task<bool> HttpSession::WriteAll(ResponseWriter& writer, const Buffers& buffers) {
  if (writer.client_gone_) co_return false;
  stream_.expires_after(kWriteTimeout);
  Error error;
  co_await asio::async_write(stream_, buffers, Into(error));
  stream_.expires_never();
  if (error) MarkClientGone(writer);
  co_return !writer.client_gone_;
}

void HttpSession::FillHead(ResponseWriter& writer, const ResponseHead& head, http::fields& fields) const {
  for (const Header& field : head.headers.fields()) fields.insert(field.name, field.value);
  if (server_.announce_close_ || !keep_alive_) writer.CloseAfter();
  if (writer.close_after_) fields.set(http::field::connection, "close");
}

bool ResponseWriter::CheckClient() {
  session_.CheckClient(*this);
  return !client_gone_;
}

Task<bool> ResponseWriter::Send(const ResponseHead& head, const std::string& body) {
  if (client_gone_ || started_) co_return false;
  http::response<http::string_body> response;
  response.version(11);
  response.result(head.status);
  session_.FillHead(*this, head, response);
  response.body() = body;
  response.content_length(body.size());
  started_ = true;
  session_.stream_.expires_after(kWriteTimeout);
  Error error;
  co_await http::async_write(session_.stream_, response, Into(error));
  session_.stream_.expires_never();
  if (error) session_.MarkClientGone(*this);
  complete_ = !client_gone_;
  co_return complete_;
}

Task<bool> ResponseWriter::Begin(const ResponseHead& head) {
  if (client_gone_ || started_) co_return false;
  http::response<http::empty_body> response;
  response.version(11);
  response.result(head.status);
  session_.FillHead(*this, head, response);
  response.chunked(true);
  http::response_serializer<http::empty_body> serializer(response);
  started_ = true;
  session_.stream_.expires_after(kWriteTimeout);
  Error error;
  co_await http::async_write_header(session_.stream_, serializer, Into(error));
  session_.stream_.expires_never();
  if (error) session_.MarkClientGone(*this);
  co_return !client_gone_;
}

Task<bool> ResponseWriter::Write(std::string_view data) {
  if (data.empty()) co_return !client_gone_;
  co_return co_await session_.WriteAll(*this, http::make_chunk(asio::buffer(data.data(), data.size())));
}

Task<bool> ResponseWriter::End() {
  complete_ = co_await session_.WriteAll(*this, http::make_chunk_last());
  co_return complete_;
}

}  // namespace cornelplank::net
