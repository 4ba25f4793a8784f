#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "libs/http/http.h"

namespace cornelplank::http {
namespace {

using std::chrono::milliseconds;

/// A body of "abc" `count` times that then ends, breaks, or ends only after 700 ms of silence.
class TestBody final : public BodySource {
 public:
  enum class End { kComplete, kBroken, kSilent };
  TestBody(int count, End end) : count_(count), end_(end) {}
  std::optional<size_t> Read(char* buffer, size_t /*capacity*/) override {
    if (count_-- > 0) {
      return std::string("abc").copy(buffer, 3);
    }
    if (end_ == End::kSilent) std::this_thread::sleep_for(milliseconds{700});
    if (end_ == End::kBroken) return std::nullopt;
    return 0;
  }

 private:
  int count_;
  End end_;
};

Response Handle(const Request& request) {
  Response response;
  if (request.path == "/echo") {
    response.headers["Seen"] = std::string(HeaderValue(request.headers, "x-value"));
    response.body = request.method + request.body + request.query.at("q");
  } else if (request.path == "/stream") {
    response.stream = std::make_unique<TestBody>(2, TestBody::End::kComplete);
  } else if (request.path == "/broken") {
    response.stream = std::make_unique<TestBody>(2, TestBody::End::kBroken);
  } else {
    response.stream = std::make_unique<TestBody>(2, TestBody::End::kSilent);
  }
  return response;
}

class ExchangeTest : public testing::Test {
 protected:
  ExchangeTest() {
    ServerOptions options;
    options.max_body_bytes = 100;
    server_ = Server::Start(options, Handle, nullptr);
    client_ = Client::Create();
  }
  std::string Url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(server_->port()) + path;
  }

  std::unique_ptr<Server> server_;
  std::unique_ptr<Client> client_;
};

// Guards against requests and responses that lose their method, headers, query or body on the way.
TEST_F(ExchangeTest, CarriesMethodHeadersQueryAndBody) {
  const auto response = client_->Send(
      {.method = "POST", .url = Url("/echo?q=z"), .headers = {{"X-Value", "7"}}, .body = "hello"}, nullptr,
      nullptr);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body, "POSThelloz");
  EXPECT_EQ(HeaderValue(response->headers, "seen"), "7");
}

// Guards against a request body above the limit that is accepted and takes up memory.
TEST_F(ExchangeTest, RefusesBodiesAboveTheLimit) {
  const auto response = client_->Send(
      {.method = "POST", .url = Url("/echo?q=z"), .body = std::string(101, 'x')}, nullptr, nullptr);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 413);
}

struct EndCase {
  const char* path;
  bool complete;
  HttpErrorCode code;  // ignored when the response is complete
};
class StreamEndTest : public ExchangeTest, public testing::WithParamInterface<EndCase> {};

// Guards against a broken or silent stream that is taken for a complete one.
TEST_P(StreamEndTest, ReportsHowAStreamEnded) {
  const auto exchange = client_->Open({.url = Url(GetParam().path), .progress_timeout = milliseconds{200}});
  std::string body;
  ExchangeEvent event;
  do {
    event = exchange->Next(milliseconds{5000});
    body += event.data;
  } while (event.kind == ExchangeEvent::Kind::kHead || event.kind == ExchangeEvent::Kind::kData);
  const bool complete = event.kind == ExchangeEvent::Kind::kEnd;
  EXPECT_EQ(complete, GetParam().complete);
  EXPECT_EQ(body, "abcabc");
  EXPECT_TRUE(exchange->state().request_sent);
  EXPECT_TRUE(exchange->state().head_received);
  if (!complete) {
    EXPECT_EQ(event.reason.code, GetParam().code);
  }
  EXPECT_TRUE(server_->WaitIdle(milliseconds{2000}));
}
INSTANTIATE_TEST_SUITE_P(Table, StreamEndTest,
                         testing::Values(EndCase{"/stream", true, HttpErrorCode::kInvalid},
                                         EndCase{"/broken", false, HttpErrorCode::kBroken},
                                         EndCase{"/silent", false, HttpErrorCode::kStalled}));

/// Accepts one connection, reads from it, sends the given bytes and closes it.
class OneAnswerServer {
 public:
  explicit OneAnswerServer(std::string answer) : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(listener_, generic, size) != 0 || listen(listener_, 1) != 0) return;
    getsockname(listener_, generic, &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this, answer = std::move(answer)] {
      const int connection = accept(listener_, nullptr, nullptr);
      char request[4096];
      if (recv(connection, request, sizeof request, 0) > 0) {
        send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
      close(connection);
    });
  }
  ~OneAnswerServer() {
    if (thread_.joinable()) thread_.join();
    close(listener_);
  }
  uint16_t port() const { return port_; }

 private:
  int listener_;
  uint16_t port_ = 0;
  std::thread thread_;
};

class CutHeadTest : public testing::TestWithParam<const char*> {};

// Guards against a response that is cut inside its head and taken for a 200 with an empty body.
TEST_P(CutHeadTest, IsNoResponse) {
  const OneAnswerServer server(GetParam());
  ASSERT_NE(server.port(), 0);
  HttpReason reason;
  ExchangeState state;
  const auto client = Client::Create();
  const auto response =
      client->Send({.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/"}, &reason, &state);
  EXPECT_FALSE(response) << response->status << " " << response->body;
  EXPECT_EQ(reason.code, HttpErrorCode::kBroken);
  EXPECT_TRUE(state.request_sent);
  EXPECT_FALSE(state.head_received);
}
INSTANTIATE_TEST_SUITE_P(Table, CutHeadTest,
                         testing::Values("", "HTTP/1.1 2", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Le",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r"));

struct StatusCase {
  const char* name;
  std::string start;
  int status;  // of the response; 0: there is none
};
class StatusTest : public testing::TestWithParam<StatusCase> {};

// Guards against an invalid status that counts as that of a response, and against a body without a head.
TEST_P(StatusTest, IsOneOfAFinalResponse) {
  const OneAnswerServer server(GetParam().start + "\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_NE(server.port(), 0);
  const auto client = Client::Create();
  const auto exchange = client->Open({.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/"});
  int status = 0;
  std::string body;
  ExchangeEvent event;
  do {
    event = exchange->Next(milliseconds{5000});
    if (event.kind == ExchangeEvent::Kind::kHead) status = event.status;
    body += event.data;
  } while (event.kind == ExchangeEvent::Kind::kHead || event.kind == ExchangeEvent::Kind::kData);
  const bool valid = GetParam().status != 0;
  EXPECT_EQ(status, GetParam().status);
  EXPECT_EQ(body, valid ? "ok" : "");
  EXPECT_EQ(event.kind, valid ? ExchangeEvent::Kind::kEnd : ExchangeEvent::Kind::kFailed);
}
INSTANTIATE_TEST_SUITE_P(
    Statuses, StatusTest,
    testing::Values(
        StatusCase{"Zero", "HTTP/1.1 000 No", 0}, StatusCase{"BelowInterim", "HTTP/1.1 099 No", 0},
        StatusCase{"AboveErrors", "HTTP/1.1 600 No", 0}, StatusCase{"Greatest", "HTTP/1.1 999 No", 0},
        StatusCase{"FourDigits", "HTTP/1.1 2000 OK", 0}, StatusCase{"TwoDigits", "HTTP/1.1 20 OK", 0},
        StatusCase{"NoDigits", "HTTP/1.1 OK", 0}, StatusCase{"SwitchingProtocols", "HTTP/1.1 101 Up", 0},
        StatusCase{"EarlyHints", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK", 200},
        StatusCase{"LastError", "HTTP/1.1 599 No", 599}),
    [](const auto& info) { return std::string(info.param.name); });

class HeadRequestTest : public testing::TestWithParam<const char*> {};

// Guards against a call that waits for the body of a response to a HEAD request, which has none.
TEST_P(HeadRequestTest, EndsWithTheHeadOfItsResponse) {
  const OneAnswerServer server(GetParam());
  ASSERT_NE(server.port(), 0);
  HttpReason reason;
  const auto response = Client::Create()->Send(
      {.method = "HEAD", .url = "http://127.0.0.1:" + std::to_string(server.port()) + "/"}, &reason, nullptr);
  ASSERT_TRUE(response) << reason.detail;
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, "");
}
INSTANTIATE_TEST_SUITE_P(
    Table, HeadRequestTest,
    testing::Values("HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"));

enum class Crash { kReset, kCloseUnread, kCloseWhileReading };
struct CrashCase {
  const char* name;
  Crash crash;
};

/// Accepts one connection, reads the start of a request, sends the first part of a response without a length
/// and ends the connection. `read`: the bytes of the request's body that it has read.
void ServeAndCrash(int listener, Crash crash, std::chrono::microseconds pause, size_t* read) {
  const int connection = accept(listener, nullptr, nullptr);
  std::string bytes(65536, 0);
  const auto read_some = [&](int flags) {
    const ssize_t size = recv(connection, bytes.data(), bytes.size(), flags);
    if (size > 0) *read += static_cast<size_t>(size);
    return size > 0;
  };
  read_some(0);
  *read -= std::min(*read, bytes.find("\r\n\r\n") + 4);
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\nfirst part";
  send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
  const auto end = std::chrono::steady_clock::now() + pause;
  while (std::chrono::steady_clock::now() < end) {
    if (crash != Crash::kCloseWhileReading || !read_some(MSG_DONTWAIT)) std::this_thread::yield();
  }
  const linger reset{1, 0};
  if (crash == Crash::kReset) setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  while (crash == Crash::kCloseWhileReading && read_some(MSG_DONTWAIT)) {
  }
  close(connection);
}

class EarlyEndTest : public testing::TestWithParam<std::tuple<CrashCase, size_t>> {};

// Guards against the first part of a response without a length that counts as the whole response, when the
// server crashes while the request's body is being sent.
TEST_P(EarlyEndTest, IsNoResponseUnlessTheRequestWasRead) {
  const auto& [param, body_bytes] = GetParam();
  const Crash crash = param.crash;
  constexpr int kRounds = 100;
  constexpr std::chrono::microseconds kStep{25};
  int wrongly_complete = 0;
  int wrongly_lost = 0;
  for (int round = 0; round < kRounds; ++round) {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    ASSERT_EQ(bind(listener, generic, size), 0);
    ASSERT_EQ(listen(listener, 1), 0);
    getsockname(listener, generic, &size);
    size_t read = 0;
    std::thread server([&] { ServeAndCrash(listener, crash, kStep * round, &read); });
    const auto response =
        Client::Create()->Send({.method = "POST",
                                .url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/",
                                .body = std::string(body_bytes, 'x')},
                               nullptr, nullptr);
    server.join();
    close(listener);
    const bool complete = read == body_bytes && crash == Crash::kCloseWhileReading;
    wrongly_complete += response && !complete ? 1 : 0;
    wrongly_lost += !response && complete ? 1 : 0;
  }
  EXPECT_EQ(wrongly_complete, 0) << "of " << kRounds;
  EXPECT_EQ(wrongly_lost, 0) << "of " << kRounds;
}
INSTANTIATE_TEST_SUITE_P(
    Crashes, EarlyEndTest,
    testing::Combine(testing::Values(CrashCase{"Reset", Crash::kReset},
                                     CrashCase{"CloseUnread", Crash::kCloseUnread},
                                     CrashCase{"CloseWhileReading", Crash::kCloseWhileReading}),
                     testing::Values(64 << 10, 1 << 20, 16 << 20)),
    [](const auto& info) {
      return std::get<0>(info.param).name + std::to_string(std::get<1>(info.param) >> 10) + "KB";
    });

/// Accepts one connection, reads from it, and sends `start` and then `part` again and again until the peer
/// closes the connection or has taken `limit` bytes.
class EndlessServer {
 public:
  EndlessServer(std::string start, std::string part, size_t limit) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(listener_, generic, size) != 0 || listen(listener_, 1) != 0) return;
    getsockname(listener_, generic, &size);
    port_ = ntohs(address.sin_port);
    while (part.size() < 16384) part += part;
    thread_ = std::thread([this, start = std::move(start), part = std::move(part), limit] {
      const int connection = accept(listener_, nullptr, nullptr);
      char request[4096];
      ssize_t written = recv(connection, request, sizeof request, 0);
      if (written > 0) written = send(connection, start.data(), start.size(), MSG_NOSIGNAL);
      while (written > 0 && sent_ <= limit) {
        written = send(connection, part.data(), part.size(), MSG_NOSIGNAL);
        if (written > 0) sent_ += static_cast<size_t>(written);
      }
      close(connection);
    });
  }
  ~EndlessServer() {
    if (thread_.joinable()) thread_.join();
    close(listener_);
  }
  uint16_t port() const { return port_; }
  size_t sent() const { return sent_; }

 private:
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<size_t> sent_{0};
  std::thread thread_;
};

struct EndlessResponseCase {
  const char* name;
  std::string start;
  std::string part;
};
class EndlessResponseTest : public testing::TestWithParam<EndlessResponseCase> {};

// Guards against a server that uses up this process's memory by a response without end.
TEST_P(EndlessResponseTest, IsGivenUp) {
  constexpr size_t kMaxTaken = 32 << 20;  // the greatest limit, and the buffers of both sockets
  const EndlessServer server(GetParam().start, GetParam().part, kMaxTaken);
  ASSERT_NE(server.port(), 0);
  HttpReason reason;
  const auto response = Client::Create()->Send(
      {.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/"}, &reason, nullptr);
  EXPECT_FALSE(response);
  EXPECT_EQ(reason.code, HttpErrorCode::kBroken) << reason.detail;
  EXPECT_LE(server.sent(), kMaxTaken);
}
INSTANTIATE_TEST_SUITE_P(
    Responses, EndlessResponseTest,
    testing::Values(
        EndlessResponseCase{"HeaderLine", "HTTP/1.1 200 OK\r\nX: ", "aaaa"},
        EndlessResponseCase{"Headers", "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
        EndlessResponseCase{"InterimHeads", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
        EndlessResponseCase{"Body", "HTTP/1.1 200 OK\r\n\r\n", "aaaa"},
        EndlessResponseCase{"Chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                            "10\r\naaaaaaaaaaaaaaaa\r\n"},
        EndlessResponseCase{"TrailerLine",
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "aaaa"},
        EndlessResponseCase{"Trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                            "X: a\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a refused connection that is reported as if bytes of the request had been sent.
TEST_F(ExchangeTest, ReportsThatNothingWasSentWhenTheConnectionIsRefused) {
  const std::string url = Url("/echo");
  server_.reset();
  HttpReason reason;
  ExchangeState state{true, true};
  EXPECT_FALSE(client_->Send({.url = url}, &reason, &state));
  EXPECT_EQ(reason.code, HttpErrorCode::kConnect);
  EXPECT_FALSE(state.request_sent);
}

// Guards against events that are split or joined where the reads of the stream are split.
TEST(SseParserTest, FindsEventsWhereverReadsAreSplit) {
  const std::string wire = FormatSse({"", "one"}) + FormatSse({"error", "two\nlines"}) + ": comment\n\n" +
                           FormatSse({"", std::string(kSseDone)});
  for (size_t step = 1; step < wire.size(); ++step) {
    SseParser parser;
    std::vector<std::string> seen;
    for (size_t at = 0; at < wire.size(); at += step) {
      ASSERT_TRUE(parser.Feed(std::string_view(wire).substr(at, step), [&](const SseEvent& event) {
        seen.push_back(event.event + "|" + event.data);
        return true;
      }));
    }
    EXPECT_EQ(seen, (std::vector<std::string>{"|one", "error|two\nlines", "|[DONE]"}));
  }
}

}  // namespace
}  // namespace cornelplank::http
