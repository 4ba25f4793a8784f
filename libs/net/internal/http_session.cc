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

// Memory of an open connection without a request, and of one whose request is served, in addition to its
// buffers: coroutine frames, timers and the objects of the request and its attempt.
constexpr size_t kConnectionBytes = 4096;
constexpr size_t kRequestBytes = 12288;
// Memory of one header field in addition to its text: a parsed field, and one in `Headers`.
constexpr size_t kFieldBytes = 192;
// Memory of the text of a head, per byte: a copy, and the numbers parsed from it. The shortest part of a
// prompt has 4 bytes and takes 24.
constexpr size_t kHeadFactor = 7;
// Size of a read into the receive buffer and into a body, in bytes.
constexpr size_t kMinReadBytes = 512;
constexpr size_t kBodyReadBytes = 65536;
// A body may take 1 s longer for each of these bytes that have arrived.
constexpr size_t kBytesPerSecond = 65536;
// Bytes within the limit of a stall (MemoryAccount::kStallLimit) below which a client counts as stalled.
constexpr size_t kProgressBytes = 4096;
// A body waits for memory for this time. Clients give up soon after that, and another VM may have room.
constexpr std::chrono::seconds kMemoryWait{5};
// Retry-After of a request that there was no memory for. Most requests end within that time.
constexpr std::chrono::seconds kMemoryRetryAfter{1};
// How long the input of a rejected request is read and dropped.
constexpr std::chrono::seconds kDropInputTime{1};

/// Why a request was rejected, in addition to the errors of the parser.
enum class RejectReason { kNoMemory = 1, kTooManyFields = 2 };

class RejectCategory final : public boost::system::error_category {
 public:
  const char* name() const noexcept override { return "cornelplank.reject"; }
  std::string message(int value) const override {
    return value == static_cast<int>(RejectReason::kNoMemory) ? "no memory for the request"
                                                              : "too many header fields";
  }
};

Error MakeError(RejectReason reason) {
  static const RejectCategory kCategory;
  return {static_cast<int>(reason), kCategory};
}

size_t CountFields(const http::fields& fields) {
  return static_cast<size_t>(std::distance(fields.begin(), fields.end()));
}

Headers CopyFields(const http::fields& fields) {
  Headers headers;
  headers.Reserve(CountFields(fields));
  for (const auto& field : fields) {
    headers.Add({field.name_string().data(), field.name_string().size()},
                {field.value().data(), field.value().size()});
  }
  return headers;
}

/// The response status for a request that was refused with `error`.
unsigned StatusForError(const Error& error) {
  if (error == MakeError(RejectReason::kTooManyFields)) return 431;
  if (error == http::error::header_limit || error == http::error::buffer_overflow) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
}

}  // namespace

/// The time that a body may take, and whether its client sends.
class HttpSession::BodyProgress {
 public:
  BodyProgress(HttpSession& session, const MemoryAccount::Charge& charge)
      : session_(session),
        begin_(std::chrono::steady_clock::now()),
        reader_(session.server_.memory_, charge, [&session] { session.stream_.cancel(); }) {
    SetDeadline();
  }

  /// Call it when `size` bytes of the body have arrived.
  void Add(size_t size) {
    received_ += size;
    unreported_ += size;
    SetDeadline();
    if (unreported_ < kProgressBytes) return;
    unreported_ = 0;
    reader_.OnProgress();
    session_.SetState(State::kReading);  // to the end of the list
  }

  /// While the session waits for memory, no time limit applies and its client doesn't count as stalled.
  void SetWaiting(bool waiting) {
    reader_.SetWaiting(waiting);
    if (waiting) {
      session_.stream_.expires_never();
    } else {
      SetDeadline();
    }
  }

 private:
  void SetDeadline() {
    const auto& idle = session_.server_.limits_.idle_timeout;
    const auto whole = begin_ + idle + std::chrono::seconds(received_ / kBytesPerSecond);
    session_.stream_.expires_at(std::min(whole, std::chrono::steady_clock::now() + idle));
  }

  HttpSession& session_;
  std::chrono::steady_clock::time_point begin_;
  size_t received_ = 0;
  size_t unreported_ = 0;
  MemoryAccount::Reader reader_;
};

HttpSession::HttpSession(HttpServer& server, Tcp::socket socket, const asio::ip::address& address)
    : server_(server),
      registry_(server.registry_),
      stream_(std::move(socket)),
      charge_(server.memory_),
      watch_ended_(server.loop_),
      address_(address) {
  charge_.Resize(kConnectionBytes);
  SetTcpOptions(stream_.socket(), std::chrono::milliseconds::zero());  // clients may pause
  registry_->sessions.insert(this);
  ++registry_->open;
  ++registry_->open_by_address[address_];
  listed_ = true;
  SetState(State::kIdle);
}

HttpSession::~HttpSession() {
  Unlist();
  registry_->sessions.erase(this);
}

void HttpSession::SetState(State state) {
  if (!listed_) return;
  if (state_ == State::kIdle) registry_->idle.erase(position_);
  if (state_ == State::kReading) registry_->reading.erase(position_);
  state_ = state;
  if (state == State::kServing) return;
  auto& list = state == State::kIdle ? registry_->idle : registry_->reading;
  position_ = list.insert(list.end(), this);
  waits_since_ = base::SystemClock().Now();
}

void HttpSession::Unlist() {
  if (!listed_) return;
  SetState(State::kServing);
  listed_ = false;
  --registry_->open;
  const auto count = registry_->open_by_address.find(address_);
  if (--count->second == 0) registry_->open_by_address.erase(count);
}

bool HttpSession::CloseIfIdle() {
  if (state_ != State::kIdle) return false;
  char byte;
  const ssize_t size = recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // A read that has taken the first bytes of a request already ends with them all the same.
  if (size <= 0) stream_.cancel();
  return size <= 0;
}

bool HttpSession::Evict() {
  if (state_ == State::kIdle) {
    if (!CloseIfIdle()) return false;
  } else {
    ending_ = true;
    stream_.cancel();
  }
  Unlist();
  return true;
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
    SetState(State::kReading);
    auto request = co_await ReadRequest();
    if (!request) break;
    SetState(State::kServing);
    ++registry_->active;
    co_await Serve(*request);
    --registry_->active;
    served_ = true;
    SetState(State::kIdle);
    // A client that has not been told that the connection ends may have sent its next request already.
    if ((server_.stopped_ || !listed_) && !HasInput()) break;
    request.reset();
    charge_.Resize(kConnectionBytes + buffer_.capacity());
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

Task<Error> HttpSession::ReadMore() {
  Error error;
  if (buffer_.size() >= buffer_.max_size()) co_return http::error::buffer_overflow;
  const size_t free = buffer_.capacity() - buffer_.size();
  const size_t size = std::min(std::max(kMinReadBytes, free), buffer_.max_size() - buffer_.size());
  const auto space = buffer_.prepare(size);
  buffer_.commit(co_await stream_.async_read_some(space, Into(error)));
  co_return error;
}

Task<Error> HttpSession::ChargeHead(size_t bytes) {
  // Growing, the buffer is copied to a larger one.
  const size_t buffer_bytes = bytes == 0 ? 2 * buffer_.capacity() : buffer_.capacity();
  const bool charged = co_await server_.memory_->Acquire(charge_, kConnectionBytes + buffer_bytes + bytes,
                                                         server_.limits_.header_timeout);
  co_return charged ? Error() : MakeError(RejectReason::kNoMemory);
}

bool HttpSession::HasTooManyFields(const Parser& parser) const {
  return CountFields(parser.get()) > server_.limits_.header_fields;
}

Task<Error> HttpSession::ReadHead(Parser& parser) {
  parser.header_limit(server_.limits_.header_bytes);
  parser.body_limit(server_.limits_.body_bytes);
  parser.eager(false);
  buffer_.max_size(std::max<size_t>(kMaxUnparsedBytes, server_.limits_.header_bytes));
  stream_.expires_after(server_.limits_.header_timeout);
  Error error;
  size_t head_bytes = 0;
  while (true) {
    if (buffer_.size() > 0) {
      const size_t parsed = parser.put(buffer_.data(), error);
      head_bytes += parsed;
      buffer_.consume(parsed);
      if (error && error != http::error::need_more) co_return error;
      if (HasTooManyFields(parser)) co_return MakeError(RejectReason::kTooManyFields);
    }
    if (parser.is_header_done()) break;
    error = co_await ChargeHead(0);
    if (ending_) error = asio::error::operation_aborted;
    if (error) co_return error;
    error = co_await ReadMore();
    if (error) co_return error;
  }
  if (parser.get().count(http::field::transfer_encoding) > 0 && !parser.chunked()) {
    co_return http::error::bad_transfer_encoding;
  }
  co_return co_await ChargeHead(kRequestBytes + head_bytes * kHeadFactor +
                                CountFields(parser.get()) * kFieldBytes);
}

Task<Error> HttpSession::ReadBody(Parser& parser, ChargedBody* charged) {
  if (parser.is_done()) co_return Error();
  const size_t limit = server_.limits_.body_bytes;
  const auto length = parser.content_length();
  // The length of a chunked body is not known before its end, but most bodies are short.
  size_t expected = std::min(limit, kBodyReadBytes);
  if (length) expected = static_cast<size_t>(*length);
  charged->charge = MemoryAccount::Charge(server_.memory_);
  stream_.expires_never();
  if (!co_await server_.memory_->Acquire(charged->charge, expected, kMemoryWait)) {
    co_return MakeError(RejectReason::kNoMemory);
  }
  Error error;
  if (ending_) co_return asio::error::operation_aborted;
  if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    const http::response<http::empty_body> continue_response(http::status::continue_, 11);
    stream_.expires_after(kWriteTimeout);
    co_await http::async_write(stream_, continue_response, Into(error));
    if (error) co_return error;
  }
  BodyProgress progress(*this, charged->charge);
  if (length) {
    error = co_await ReadBodyOfLength(expected, charged, progress);
  } else {
    error = co_await ReadChunkedBody(parser, charged, progress);
  }
  co_return error;
}

Task<Error> HttpSession::ReadBodyOfLength(size_t length, ChargedBody* charged, BodyProgress& progress) {
  std::string& body = charged->bytes;
  body.reserve(length);  // takes memory only as the bytes arrive
  const size_t buffered = std::min(length, buffer_.size());
  body.append(static_cast<const char*>(buffer_.data().data()), buffered);
  buffer_.consume(buffered);
  progress.Add(buffered);
  size_t filled = buffered;
  while (filled < length) {
    if (filled == body.size()) body.resize(std::min(length, filled + kBodyReadBytes));
    Error error;
    const size_t size = co_await stream_.async_read_some(
        asio::buffer(body.data() + filled, body.size() - filled), Into(error));
    if (error) co_return error;
    filled += size;
    progress.Add(size);
  }
  co_return Error();
}

Task<Error> HttpSession::ReadChunkedBody(Parser& parser, ChargedBody* charged, BodyProgress& progress) {
  std::string& body = parser.get().body();
  parser.eager(true);
  Error error;
  while (true) {
    if (buffer_.size() > 0) {
      const size_t before = body.size();
      buffer_.consume(parser.put(buffer_.data(), error));
      if (error && error != http::error::need_more) co_return error;
      if (HasTooManyFields(parser)) co_return MakeError(RejectReason::kTooManyFields);
      progress.Add(body.size() - before);
    }
    if (parser.is_done()) break;
    if (body.size() + kMaxIdleBufferBytes > charged->charge.bytes()) {
      const size_t limit = server_.limits_.body_bytes;
      progress.SetWaiting(true);
      if (!co_await server_.memory_->Acquire(charged->charge, limit + kMaxIdleBufferBytes, kMemoryWait)) {
        co_return MakeError(RejectReason::kNoMemory);
      }
      progress.SetWaiting(false);
      if (ending_) co_return asio::error::operation_aborted;
      // Growing by doubling, a long body would take up to three times its size. The room takes memory only as
      // the bytes arrive.
      body.reserve(limit);
    }
    error = co_await ReadMore();
    if (error) co_return error;
  }
  charged->bytes = std::move(body);
  charged->charge.Resize(charged->bytes.size());
  co_return Error();
}

Task<std::optional<Request>> HttpSession::ReadRequest() {
  Parser parser;
  const auto charged = std::make_shared<ChargedBody>();
  Error error = co_await ReadHead(parser);
  if (!error) {
    error = co_await ReadBody(parser, charged.get());
  }
  const bool no_memory = error == MakeError(RejectReason::kNoMemory);
  if (error && !no_memory) {
    co_await Reject(error);
    co_return std::nullopt;
  }
  auto message = parser.release();
  keep_alive_ = message.keep_alive();
  Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = CopyFields(message);
  if (no_memory) {
    co_await Refuse(request);
    co_return std::nullopt;
  }
  if (!charged->bytes.empty()) {
    request.body = Body(std::shared_ptr<const std::string>(charged, &charged->bytes));
  }
  if (buffer_.capacity() > kMaxIdleBufferBytes) buffer_.shrink_to_fit();
  co_return request;
}

Task<> HttpSession::Reject(const Error& error) {
  const bool parse_error = error.category() == make_error_code(http::error::bad_target).category() &&
                           error != http::error::end_of_stream && error != http::error::partial_message;
  if (!parse_error && error != MakeError(RejectReason::kTooManyFields)) co_return;
  if (base::AllowRoutineLogLine()) {
    base::LogEvent("request_rejected")
        .Text("reason", error.message())
        .Number("status", StatusForError(error));
  }
  http::response<http::empty_body> response(static_cast<http::status>(StatusForError(error)), 11);
  response.keep_alive(false);
  response.content_length(0);
  Error ignored;  // the connection is closed either way
  stream_.expires_after(kWriteTimeout);
  co_await http::async_write(stream_, response, Into(ignored));
}

Task<> HttpSession::Refuse(const Request& request) {
  const ResponseHead head = server_.handler_.MakeRefusal(request, kMemoryRetryAfter);
  if (base::AllowRoutineLogLine()) {
    base::LogEvent("request_rejected")
        .Text("reason", MakeError(RejectReason::kNoMemory).message())
        .Number("status", head.status);
  }
  ResponseWriter writer(*this);
  writer.CloseAfter();
  if (co_await writer.Send(head, "")) {
    co_await DropInput();
  }
}

Task<> HttpSession::DropInput() {
  Error error;
  stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
  stream_.expires_after(kDropInputTime);
  std::array<char, 4096> dropped;
  while (!error) {
    co_await stream_.async_read_some(asio::buffer(dropped), Into(error));
  }
}

bool HttpSession::HasInput() {
  char byte;
  return buffer_.size() > 0 || recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
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
  const auto watch = std::make_shared<ClientWatch>();
  if (buffer_.size() == 0) {
    Spawn(server_.loop_, "watch_client", WatchClient(shared_from_this(), watch, writer));
  } else {
    watch->ended = true;  // the next request is in the buffer already, so the client is still connected
  }
  const bool failed = !co_await RunHandler(request, writer);
  writer.on_client_gone_ = nullptr;  // it may refer to what the handler has destroyed
  if (failed && !writer.Started()) {
    writer.CloseAfter();
    co_await writer.Send({static_cast<unsigned>(http::status::internal_server_error), {}}, "");
  }
  if (!writer.Complete() || writer.close_after()) keep_alive_ = false;
  watch->stopped = true;
  if (!watch->ended) {
    Error ignored;  // a closed socket has no wait to cancel
    stream_.socket().cancel(ignored);
    while (!watch->ended) {
      co_await watch_ended_.Wait(std::chrono::seconds(1));
    }
  }
}

Task<bool> HttpSession::RunHandler(Request& request, ResponseWriter& writer) {
  std::string problem;
  try {
    co_await server_.handler_.Handle(request, writer);
    co_return true;
  } catch (const std::exception& error) {
    problem = error.what();
  } catch (...) {
    problem = "not a std::exception";
  }
  base::LogEvent("handler_failed")
      .Text("target", request.target)
      .Text("error", problem)
      .Number("answer_begun", writer.Started() ? 1 : 0);
  co_return false;
}

Task<> HttpSession::WatchClient(std::shared_ptr<HttpSession> session, std::shared_ptr<ClientWatch> watch,
                                ResponseWriter& writer) {
  // The handler may have ended before this task began.
  if (!watch->stopped) {
    Error error;
    co_await session->stream_.socket().async_wait(Tcp::socket::wait_read, Into(error));
    if (!error && !watch->stopped && !writer.Complete() && session->ClientHasClosed()) {
      session->MarkClientGone(writer);
    }
  }
  watch->ended = true;
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
  if (server_.announce_close_ || !keep_alive_ || !listed_) writer.CloseAfter();
  if (writer.close_after_) fields.set(http::field::connection, "close");
}

bool ResponseWriter::CheckClient() {
  session_.CheckClient(*this);
  return !client_gone_;
}

const std::shared_ptr<MemoryAccount>& ResponseWriter::memory() const { return session_.server_.memory_; }

Task<bool> ResponseWriter::Send(const ResponseHead& head, const std::string& body,
                                MemoryAccount::Charge charge) {
  if (client_gone_ || started_) co_return false;
  if (charge.bytes() == 0) {
    charge = MemoryAccount::Charge(memory());
    charge.Resize(body.size());
  }
  http::response<http::span_body<const char>> response;
  response.version(11);
  response.result(head.status);
  session_.FillHead(*this, head, response);
  response.body() = {body.data(), body.size()};
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
