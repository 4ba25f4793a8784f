#include <gtest/gtest.h>

#include "tests/net/loopback.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using testing::RunFor;
using testing::RunTask;

/// Responds with the request's target and body; while `hold_` is set, it waits until the client is gone.
class EchoHandler final : public net::RequestHandler {
 public:
  explicit EchoHandler(asio::io_context& loop) : loop_(loop) {}

  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override {
    ++requests_;
    last_ = request;
    writer.OnClientGone([this] { ++clients_gone_; });
    while (hold_ && !writer.ClientGone()) {
      co_await net::Sleep(loop_, std::chrono::milliseconds(5));
    }
    if (before_answer_) before_answer_();
    if (request.target == "/none") co_return;
    if (request.target == "/incomplete" || request.target == "/throws-begun") {
      co_await writer.Begin({200, {}});
      co_await writer.Write("part");
      if (request.target == "/throws-begun") throw std::runtime_error("fault of a test");
      co_return;
    }
    if (request.target == "/throws-later") {
      co_await net::Sleep(loop_, std::chrono::milliseconds(5));
    }
    if (request.target.starts_with("/throws")) throw std::runtime_error("fault of a test");
    co_await writer.Send({200, {}}, request.target + "|" + std::string(request.body.text()));
  }

  int requests_ = 0;
  int clients_gone_ = 0;
  bool hold_ = false;
  std::function<void()> before_answer_;
  net::Request last_;

 private:
  asio::io_context& loop_;
};

struct HttpServerTest : ::testing::Test {
  HttpServerTest() : handler(loop) {
    net::Error error;
    server = net::HttpServer::Listen(loop, testing::Loopback(), handler, &error);
    if (!server) throw std::runtime_error(error.message());
    net::ServerLimits limits;
    limits.header_bytes = 2000;
    limits.header_fields = 40;
    limits.body_bytes = 1000;
    limits.header_timeout = std::chrono::milliseconds(150);
    limits.idle_timeout = std::chrono::milliseconds(300);
    server->SetLimits(limits);
  }

  ~HttpServerTest() override {
    server->StopAccepting();
    RunFor(loop, std::chrono::milliseconds(50));
  }

  std::shared_ptr<net::Tcp::socket> Client() {
    auto socket = std::make_shared<net::Tcp::socket>(loop);
    socket->connect(testing::Loopback(server->Port()));
    return socket;
  }

  /// Sends `bytes`, runs the loop for `time` and returns the bytes received until then.
  std::string SendAndReceive(net::Tcp::socket& socket, const std::string& bytes,
                             std::chrono::milliseconds time) {
    asio::write(socket, asio::buffer(bytes));
    RunFor(loop, time);
    return testing::ReadAvailable(socket);
  }

  asio::io_context loop{1};
  EchoHandler handler;
  std::unique_ptr<net::HttpServer> server;
};

struct WireCase {
  const char* name;
  std::string bytes;
  std::string response_start;
  std::string response_part;
  int requests;  // that reach the handler
};

class ServerWireTest : public HttpServerTest, public ::testing::WithParamInterface<WireCase> {};

// Guards against request smuggling (two framings of one body), input without a limit, and changed targets and
// bodies.
TEST_P(ServerWireTest, AnswersOrRefuses) {
  auto socket = Client();
  const std::string answer = SendAndReceive(*socket, GetParam().bytes, std::chrono::milliseconds(250));
  EXPECT_TRUE(answer.starts_with(GetParam().response_start)) << answer.substr(0, 200);
  EXPECT_NE(answer.find(GetParam().response_part), std::string::npos) << answer.substr(0, 400);
  EXPECT_EQ(handler.requests_, GetParam().requests);
}

std::string Repeat(const std::string& text, int count) {
  std::string all;
  for (int i = 0; i < count; ++i) all += text;
  return all;
}

const std::string kPost = "POST /a%2Fb?x=1 HTTP/1.1\r\nHost: h\r\n";  // NOLINT(runtime/string)

INSTANTIATE_TEST_SUITE_P(
    Bytes, ServerWireTest,
    ::testing::Values(
        WireCase{"RawTarget", kPost + "Content-Length: 2\r\n\r\nhi", "HTTP/1.1 200", "/a%2Fb?x=1|hi", 1},
        WireCase{"ChunkedBody", kPost + "Transfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n",
                 "HTTP/1.1 200", "|hi", 1},
        WireCase{"TwoInOnePacket", kPost + "Content-Length: 0\r\n\r\n" + kPost + "Content-Length: 1\r\n\r\nz",
                 "HTTP/1.1 200", "|z", 2},
        WireCase{
            "LengthAndChunked",
            kPost + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /s HTTP/1.1\r\n\r\n",
            "HTTP/1.1 400", "close", 0},
        WireCase{"TwoLengths", kPost + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nhihi", "HTTP/1.1 400",
                 "close", 0},
        WireCase{"UnknownCoding", kPost + "Transfer-Encoding: gzip\r\n\r\nhi", "HTTP/1.1 400", "close", 0},
        WireCase{"LongHeader", kPost + "X: " + std::string(3000, 'x') + "\r\n\r\n", "HTTP/1.1 431", "close",
                 0},
        WireCase{"ManyFields", kPost + Repeat("X:\r\n", 41) + "\r\n", "HTTP/1.1 431", "close", 0},
        WireCase{"ManyFieldsOfUnfinishedHeader", kPost + Repeat("X:\r\n", 41), "HTTP/1.1 431", "close", 0},
        WireCase{"ManyTrailers",
                 kPost + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + Repeat("X:\r\n", 41) + "\r\n",
                 "HTTP/1.1 431", "close", 0},
        WireCase{"MostFields", kPost + Repeat("X:\r\n", 39) + "\r\n", "HTTP/1.1 200", "/a%2Fb?x=1|", 1},
        WireCase{"LongBody", kPost + "Content-Length: 1001\r\n\r\n" + std::string(1001, 'x'), "HTTP/1.1 413",
                 "close", 0},
        WireCase{"NoHttp", "hello\r\n\r\n", "HTTP/1.1 400", "close", 0}),
    [](const auto& info) { return info.param.name; });

struct EndlessRequestCase {
  const char* name;
  std::string start;
  std::string part;  // repeated until the server closes the connection
};

class EndlessRequestTest : public HttpServerTest, public ::testing::WithParamInterface<EndlessRequestCase> {};

// Guards against a server that keeps what a client sends without end, until its memory is used up.
TEST_P(EndlessRequestTest, IsGivenUp) {
  constexpr size_t kMaxTaken = 24 << 20;  // the limit of a body, and the buffers of both sockets
  net::ServerLimits limits;
  limits.header_timeout = limits.idle_timeout = std::chrono::seconds(20);  // so that no timeout ends it
  server->SetLimits(limits);
  auto socket = Client();
  size_t sent = 0;
  ASSERT_TRUE(RunTask(loop, [](auto& to, const EndlessRequestCase& request, size_t* taken) -> net::Task<> {
    std::string part = request.part;
    while (part.size() < 65536) part += part;
    net::Error error;
    co_await asio::async_write(to, asio::buffer(request.start), net::Into(error));
    while (!error && *taken <= kMaxTaken)
      *taken += co_await asio::async_write(to, asio::buffer(part), net::Into(error));
  }(*socket, GetParam(), &sent)));
  EXPECT_LE(sent, kMaxTaken);
  EXPECT_EQ(handler.requests_, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, EndlessRequestTest,
    ::testing::Values(
        EndlessRequestCase{"StartLine", "GET /", "aaaaaaaa"}, EndlessRequestCase{"Spaces", "", "  "},
        EndlessRequestCase{"HeaderLine", "GET / HTTP/1.1\r\nX: ", "aaaaaaaa"},
        EndlessRequestCase{"Headers", "GET / HTTP/1.1\r\n", "X: a\r\n"},
        EndlessRequestCase{"Body", kPost + "Transfer-Encoding: chunked\r\n\r\n", "8\r\naaaaaaaa\r\n"},
        EndlessRequestCase{"ChunkSize", kPost + "Transfer-Encoding: chunked\r\n\r\n", "0000"},
        EndlessRequestCase{"ChunkExtension", kPost + "Transfer-Encoding: chunked\r\n\r\n2;x=", "aaaa"},
        EndlessRequestCase{"TrailerLine", kPost + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "aaaa"},
        EndlessRequestCase{"Trailers", kPost + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n"}),
    [](const auto& info) { return info.param.name; });

// Guards against work that goes on for a client that has disconnected: the server must detect it within 200
// ms.
TEST_F(HttpServerTest, NoticesThatTheClientLeft) {
  handler.hold_ = true;
  auto socket = Client();
  SendAndReceive(*socket, kPost + "Content-Length: 0\r\n\r\n", std::chrono::milliseconds(30));
  ASSERT_EQ(handler.requests_, 1);
  socket->close();
  RunFor(loop, std::chrono::milliseconds(200));
  EXPECT_EQ(handler.clients_gone_, 1);
}

// Guards against work that goes on for a client that ended what it sends and may have left (limitations.md).
TEST_F(HttpServerTest, TakesTheEndOfInputForTheEndOfTheClient) {
  handler.hold_ = true;
  auto socket = Client();
  SendAndReceive(*socket, kPost + "Content-Length: 0\r\n\r\n", std::chrono::milliseconds(30));
  socket->shutdown(net::Tcp::socket::shutdown_send);
  RunFor(loop, std::chrono::milliseconds(200));
  EXPECT_EQ(handler.clients_gone_, 1);
  EXPECT_EQ(testing::ReadAvailable(*socket), "");
  EXPECT_EQ(server->SessionCount(), 0);
}

// Guards against requests that are passed on although their clients gave up before the busy server read them.
TEST_F(HttpServerTest, ServesNoRequestWhoseClientHasLeft) {
  auto socket = Client();
  asio::write(*socket, asio::buffer(kPost + "Content-Length: 0\r\n\r\n"));
  socket->close();
  RunFor(loop, std::chrono::milliseconds(50));
  EXPECT_EQ(handler.requests_, 0);
  EXPECT_EQ(server->SessionCount(), 0U);
}

// Guards against connections that stay open because a client begins a request and never completes its header.
TEST_F(HttpServerTest, EndsAConnectionWhoseHeaderNeverEnds) {
  auto socket = Client();
  SendAndReceive(*socket, "POST / HTTP/1.1\r\n", std::chrono::milliseconds(250));
  EXPECT_EQ(server->SessionCount(), 0U);
}

// Guards against clients that wait for the rest of a broken-off answer until the connection is idle for too
// long.
TEST_F(HttpServerTest, ClosesAtOnceAfterAnIncompleteAnswer) {
  auto socket = Client();
  SendAndReceive(*socket, "GET /incomplete HTTP/1.1\r\nHost: h\r\n\r\n", std::chrono::milliseconds(100));
  EXPECT_EQ(server->SessionCount(), 0U);
}

struct FailedHandlerCase {
  const char* name;
  std::string target;
  std::string answer_start;
  std::string answer_end;
};
class FailedHandlerTest : public HttpServerTest, public ::testing::WithParamInterface<FailedHandlerCase> {};

// Guards against requests that get no answer, and connections that stay open, when a handler fails.
TEST_P(FailedHandlerTest, EndsTheRequestAndTheConnection) {
  auto socket = Client();
  const std::string answer = SendAndReceive(
      *socket, "GET " + GetParam().target + " HTTP/1.1\r\nHost: h\r\n\r\n", std::chrono::milliseconds(250));
  EXPECT_TRUE(answer.starts_with(GetParam().answer_start)) << answer;
  EXPECT_TRUE(answer.ends_with(GetParam().answer_end)) << answer;
  EXPECT_EQ(answer.empty(), GetParam().answer_start.empty()) << answer;
  EXPECT_EQ(server->ActiveSessionCount(), 0);
  EXPECT_EQ(server->SessionCount(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Failures, FailedHandlerTest,
    ::testing::Values(FailedHandlerCase{"ThrowsAtOnce", "/throws", "HTTP/1.1 500", "\r\n\r\n"},
                      FailedHandlerCase{"ThrowsLater", "/throws-later", "HTTP/1.1 500", "\r\n\r\n"},
                      FailedHandlerCase{"ThrowsAfterTheHead", "/throws-begun", "HTTP/1.1 200", "part\r\n"},
                      FailedHandlerCase{"NoAnswer", "/none", "", ""}),
    [](const auto& info) { return info.param.name; });

// Guards against an action that refers to a handler's state and runs when the handler has ended.
TEST_F(HttpServerTest, ReportsNoClientAsGoneToAHandlerThatHasEnded) {
  auto socket = Client();
  handler.before_answer_ = [&] { socket->close(); };
  asio::write(*socket, asio::buffer(std::string("GET /none HTTP/1.1\r\nHost: h\r\n\r\n")));
  RunFor(loop, std::chrono::milliseconds(250));
  EXPECT_EQ(handler.requests_, 1);
  EXPECT_EQ(handler.clients_gone_, 0);
}

// Guards against idle connections that are never closed, or closed before the idle timeout of 300 ms.
TEST_F(HttpServerTest, EndsIdleConnections) {
  auto socket = Client();
  RunFor(loop, std::chrono::milliseconds(100));
  EXPECT_EQ(server->SessionCount(), 1U);
  RunFor(loop, std::chrono::milliseconds(400));
  EXPECT_EQ(server->SessionCount(), 0U);
}

// Guards against a shutdown that drops a request that has begun to arrive, whether the server has read a part
// of it or all of it is still in the socket.
TEST_F(HttpServerTest, StopsWithoutDroppingAnArrivingRequest) {
  auto half_read = Client();
  SendAndReceive(*half_read, "POST /half HTTP/1.1\r\nHost: h\r\n", std::chrono::milliseconds(20));
  auto unread = Client();
  RunFor(loop, std::chrono::milliseconds(20));
  asio::write(*unread, asio::buffer(kPost + "Content-Length: 0\r\n\r\n"));
  server->AnnounceClose();
  server->StopAccepting();
  const std::string first =
      SendAndReceive(*half_read, "Content-Length: 0\r\n\r\n", std::chrono::milliseconds(60));
  EXPECT_TRUE(first.starts_with("HTTP/1.1 200")) << first;
  const std::string second = SendAndReceive(*unread, "", std::chrono::milliseconds(30));
  EXPECT_TRUE(second.starts_with("HTTP/1.1 200")) << second;
}

// Guards against a shutdown that resets connections which clients have opened, and sent their request on, but
// which the server has not accepted yet.
TEST_F(HttpServerTest, StopsWithoutResettingConnectionsThatWaitToBeAccepted) {
  std::vector<std::shared_ptr<net::Tcp::socket>> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(Client());
    asio::write(*clients.back(), asio::buffer(kPost + "Content-Length: 0\r\n\r\n"));
  }
  server->AnnounceClose();
  server->StopAccepting();
  RunFor(loop, std::chrono::milliseconds(60));
  for (const auto& client : clients) {
    const std::string answer = testing::ReadAvailable(*client);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  }
}

// Guards against a shutdown that closes a connection between the read of a request's first bytes and the next
// step of its session.
TEST_F(HttpServerTest, StopsAtAnyStepWithoutDroppingARequestThatWasRead) {
  constexpr int kMaxSteps = 40;  // more than the loop takes for the first answer and the second request
  for (int steps = 0; steps < kMaxSteps; ++steps) {
    asio::io_context own_loop{1};
    EchoHandler own_handler(own_loop);
    net::Error error;
    const auto own_server = net::HttpServer::Listen(own_loop, testing::Loopback(), own_handler, &error);
    ASSERT_TRUE(own_server) << error.message();
    net::Tcp::socket socket(own_loop);
    socket.connect(testing::Loopback(own_server->Port()));
    own_handler.hold_ = true;
    asio::write(socket, asio::buffer(kPost + "Content-Length: 0\r\n\r\n"));
    for (int i = 0; i < 1000 && own_handler.requests_ == 0; ++i) {
      own_loop.run_one_for(std::chrono::milliseconds(5));
    }
    asio::write(socket, asio::buffer(kPost + "Content-Length: 0\r\n\r\n"));
    own_handler.hold_ = false;
    for (int i = 0; i < steps; ++i) own_loop.run_one_for(std::chrono::milliseconds(10));
    const bool first_served = own_server->ActiveSessionCount() == 0;
    own_server->StopAccepting();
    RunFor(own_loop, std::chrono::milliseconds(20));
    const std::string answers = testing::ReadAvailable(socket);
    const bool second_served = answers.find("HTTP/1.1 200", 1) != std::string::npos;
    EXPECT_TRUE(second_served || !first_served) << "after " << steps << " steps";
  }
}

// Guards against a response that is cut off, since its client is alive but reads nothing for some seconds.
TEST_F(HttpServerTest, WaitsForAClientThatPauses) {
  constexpr size_t kBodyBytes = 12 << 20;  // more than the buffers of both sockets
  constexpr std::chrono::seconds kPause{9};
  net::ServerLimits limits;
  limits.body_bytes = kBodyBytes;
  server->SetLimits(limits);
  auto socket = Client();
  ASSERT_TRUE(RunTask(loop, [](auto& to) -> net::Task<> {
    net::Error error;
    const std::string request =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n";
    co_await asio::async_write(to, asio::buffer(request + std::string(kBodyBytes, 'x')), net::Into(error));
  }(*socket)));
  RunFor(loop, kPause);
  size_t received = 0;
  ASSERT_TRUE(RunTask(loop, [](auto& from, size_t* size) -> net::Task<> {
    std::string part(65536, '\0');
    for (net::Error error; !error && *size < kBodyBytes;) {
      *size += co_await from.async_read_some(asio::buffer(part), net::Into(error));
    }
  }(*socket, &received)));
  EXPECT_GE(received, kBodyBytes);
}

// Guards against a shutdown that cuts off a response in progress or leaves idle connections open.
TEST_F(HttpServerTest, StopsWithoutCuttingAnAnswer) {
  handler.hold_ = true;
  auto idle = Client();
  auto busy = Client();
  SendAndReceive(*busy, kPost + "Content-Length: 0\r\n\r\n", std::chrono::milliseconds(30));
  server->AnnounceClose();
  server->StopAccepting();
  RunFor(loop, std::chrono::milliseconds(50));
  EXPECT_EQ(server->SessionCount(), 1U);
  handler.hold_ = false;
  const std::string answer = SendAndReceive(*busy, "", std::chrono::milliseconds(60));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  EXPECT_EQ(server->SessionCount(), 0U);
}

struct RequestAheadCase {
  const char* name;
  bool same_packet;  // as the first request
};
class RequestAheadTest : public HttpServerTest, public ::testing::WithParamInterface<RequestAheadCase> {};

// Guards against a shutdown that drops a request that was sent ahead on a connection whose end has not been
// announced.
TEST_P(RequestAheadTest, IsServedAfterTheServerHasStopped) {
  handler.hold_ = true;
  auto socket = Client();
  const std::string request = kPost + "Content-Length: 0\r\n\r\n";
  SendAndReceive(*socket, GetParam().same_packet ? request + request : request,
                 std::chrono::milliseconds(30));
  if (!GetParam().same_packet) asio::write(*socket, asio::buffer(request));
  server->StopAccepting();
  handler.hold_ = false;
  const std::string answers = SendAndReceive(*socket, "", std::chrono::milliseconds(100));
  EXPECT_EQ(handler.requests_, 2);
  EXPECT_NE(answers.find("HTTP/1.1 200", 1), std::string::npos) << answers;
  EXPECT_EQ(server->SessionCount(), 0);
}

INSTANTIATE_TEST_SUITE_P(Requests, RequestAheadTest,
                         ::testing::Values(RequestAheadCase{"InTheSamePacket", true},
                                           RequestAheadCase{"WhileTheFirstIsServed", false}),
                         [](const auto& info) { return info.param.name; });

// Guards against requests that are neither served nor refused while there is no memory for them.
TEST_F(HttpServerTest, RefusesARequestWithoutMemory) {
  constexpr size_t kLimit = 65536;
  const auto memory = net::MemoryAccount::Create(loop, kLimit);
  server->SetMemoryAccount(memory);
  auto socket = Client();
  RunFor(loop, std::chrono::milliseconds(20));
  net::MemoryAccount::Charge others(memory);
  others.Resize(kLimit);
  const std::string refusal =
      SendAndReceive(*socket, kPost + "Content-Length: 2\r\n\r\nhi", std::chrono::milliseconds(250));
  EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal;
  EXPECT_NE(refusal.find("Retry-After: 1"), std::string::npos) << refusal;
  EXPECT_EQ(handler.requests_, 0);
  others.Resize(0);
  auto later = Client();
  const std::string answer =
      SendAndReceive(*later, kPost + "Content-Length: 2\r\n\r\nhi", std::chrono::milliseconds(50));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_LT(memory->used(), kLimit / 2);
}

struct SlowBodyCase {
  const char* name;
  size_t first_bytes;
  size_t piece_bytes;  // sent every 100 ms, five times
  bool served;
};

class SlowBodyTest : public HttpServerTest, public ::testing::WithParamInterface<SlowBodyCase> {};

// Guards against clients that hold a body's memory by sending it very slowly, and against the end of a long
// body whose client sends all the time, but not within the idle timeout of 300 ms.
TEST_P(SlowBodyTest, MayTakeLongerTheMoreHasArrived) {
  constexpr int kPieces = 5;
  const SlowBodyCase& param = GetParam();
  net::ServerLimits limits;
  limits.idle_timeout = std::chrono::milliseconds(300);
  server->SetLimits(limits);
  auto socket = Client();
  const size_t length = param.first_bytes + kPieces * param.piece_bytes;
  SendAndReceive(
      *socket,
      kPost + "Content-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(param.first_bytes, 'x'),
      std::chrono::milliseconds(100));
  std::string answer;
  for (int i = 0; i < kPieces; ++i) {
    net::Error ignored;  // the server may have ended the connection
    asio::write(*socket, asio::buffer(std::string(param.piece_bytes, 'x')), ignored);
    RunFor(loop, std::chrono::milliseconds(100));
    answer += testing::ReadAvailable(*socket);
  }
  EXPECT_EQ(answer.starts_with("HTTP/1.1 200"), param.served) << answer.substr(0, 100);
  EXPECT_EQ(handler.requests_, param.served ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(Bodies, SlowBodyTest,
                         ::testing::Values(SlowBodyCase{"Long", 100000, 1000, true},
                                           SlowBodyCase{"FewBytes", 100, 1, false}),
                         [](const auto& info) { return info.param.name; });

struct ConnectionLimitTest : HttpServerTest {
  ConnectionLimitTest() {
    net::ServerLimits limits;
    limits.connections = 4;
    limits.connections_per_address = 2;
    server->SetLimits(limits);
  }

  std::shared_ptr<net::Tcp::socket> ClientFrom(uint32_t address) {
    auto socket = std::make_shared<net::Tcp::socket>(loop);
    socket->open(net::Tcp::v4());
    socket->bind({asio::ip::address_v4(address), 0});
    socket->connect(testing::Loopback(server->Port()));
    RunFor(loop, std::chrono::milliseconds(20));
    return socket;
  }
  bool IsServed(net::Tcp::socket& socket) {
    net::Error ignored;  // the server may have ended the connection
    asio::write(socket, asio::buffer(kPost + "Content-Length: 0\r\n\r\n"), ignored);
    RunFor(loop, std::chrono::milliseconds(30));
    return testing::ReadAvailable(socket).starts_with("HTTP/1.1 200");
  }

  static constexpr uint32_t kAddress = 0x7f030001;  // 127.3.0.1
};

// Guards against idle connections that keep others out, and against the end of a connection that has served
// requests while one that never has is left.
TEST_F(ConnectionLimitTest, ANewConnectionReplacesTheLongestIdleOne) {
  auto used = ClientFrom(kAddress);
  ASSERT_TRUE(IsServed(*used));
  auto unused = ClientFrom(kAddress);
  auto next_unused = ClientFrom(kAddress + 1);
  auto another = ClientFrom(kAddress + 1);
  auto added = ClientFrom(kAddress + 2);
  EXPECT_EQ(server->SessionCount(), 4U);
  EXPECT_EQ(server->counters().evicted, 1U);
  EXPECT_FALSE(IsServed(*unused));
  for (const auto& socket : {used, next_unused, another, added}) EXPECT_TRUE(IsServed(*socket));
}

// Guards against one address that takes all connections, and against the end of requests in progress.
TEST_F(ConnectionLimitTest, OneAddressHasAShare) {
  handler.hold_ = true;
  std::vector<std::shared_ptr<net::Tcp::socket>> busy;
  for (int i = 0; i < 3; ++i) {
    busy.push_back(ClientFrom(kAddress));
    net::Error ignored;  // the server closes the third one
    asio::write(*busy.back(), asio::buffer(kPost + "Content-Length: 0\r\n\r\n"), ignored);
    RunFor(loop, std::chrono::milliseconds(20));
  }
  EXPECT_EQ(server->SessionCount(), 2U);
  EXPECT_EQ(server->counters().refused, 1U);
  handler.hold_ = false;
  auto other = ClientFrom(kAddress + 1);
  EXPECT_TRUE(IsServed(*other));
  EXPECT_EQ(handler.clients_gone_, 0);
}

// Guards against a connection that is evicted when its next request has just been read, and that serves it
// without telling its client that it ends.
TEST_F(ConnectionLimitTest, AnEvictedConnectionThatServesAnnouncesItsEnd) {
  constexpr int kMaxSteps = 20;  // more than the loop takes for the first response and the second request
  int served = 0;
  for (int steps = 0; steps < kMaxSteps; ++steps) {
    asio::io_context own_loop{1};
    EchoHandler own_handler(own_loop);
    net::Error error;
    const auto own_server = net::HttpServer::Listen(own_loop, testing::Loopback(), own_handler, &error);
    ASSERT_TRUE(own_server) << error.message();
    net::ServerLimits limits;
    limits.connections = 1;
    own_server->SetLimits(limits);
    net::Tcp::socket socket(own_loop);
    socket.connect(testing::Loopback(own_server->Port()));
    own_handler.hold_ = true;
    asio::write(socket, asio::buffer(kPost + "Content-Length: 0\r\n\r\n"));
    for (int i = 0; i < 1000 && own_handler.requests_ == 0; ++i) {
      own_loop.run_one_for(std::chrono::milliseconds(5));
    }
    asio::write(socket, asio::buffer(kPost + "Content-Length: 0\r\n\r\n"));
    own_handler.hold_ = false;
    for (int i = 0; i < steps; ++i) own_loop.run_one_for(std::chrono::milliseconds(10));
    net::Tcp::socket added(own_loop);
    added.connect(testing::Loopback(own_server->Port()));
    while (own_server->counters().evicted == 0 && own_handler.requests_ < 2) {
      if (own_loop.run_one_for(std::chrono::milliseconds(10)) == 0) break;
    }
    const bool evicted_first = own_server->counters().evicted > 0 && own_handler.requests_ < 2;
    RunFor(own_loop, std::chrono::milliseconds(20));
    const std::string answers = testing::ReadAvailable(socket);
    const size_t second = answers.find("HTTP/1.1 200", 1);
    if (evicted_first && own_handler.requests_ == 2) {
      ++served;
      ASSERT_NE(second, std::string::npos) << answers;
      EXPECT_NE(answers.find("Connection: close", second), std::string::npos) << answers;
    }
    own_server->StopAccepting();
    RunFor(own_loop, std::chrono::milliseconds(20));
  }
  EXPECT_GT(served, 0);
}

// Guards against clients that keep others out by beginning requests and never completing them.
TEST_F(ConnectionLimitTest, ANewConnectionReplacesAStalledOne) {
  std::vector<std::shared_ptr<net::Tcp::socket>> stalled;
  for (uint32_t i = 0; i < 4; ++i) {
    stalled.push_back(ClientFrom(kAddress + i));
    SendAndReceive(*stalled.back(), "POST / HTTP/1.1\r\n", std::chrono::milliseconds(5));
  }
  RunFor(loop, net::MemoryAccount::kStallLimit + std::chrono::milliseconds(50));
  auto added = ClientFrom(kAddress + 5);
  EXPECT_TRUE(IsServed(*added));
  EXPECT_EQ(server->SessionCount(), 4U);
}

}  // namespace
}  // namespace cornelplank
