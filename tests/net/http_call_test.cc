#include <gtest/gtest.h>

#include "tests/net/loopback.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using net::CallFault;
using testing::RunTask;
using testing::ScriptedServer;
using Ending = ScriptedServer::Ending;

struct Exchange {
  std::optional<net::ResponseHead> head;
  std::string body;
  bool complete = false;
  CallFault fault = CallFault::kNone;
};

net::Task<> Fetch(asio::io_context& loop, net::ConnectionPool& pool, net::Tcp::endpoint endpoint,
                  Exchange* out, net::Request request = {"GET", "/", {}, ""}) {
  const auto call = std::make_shared<net::HttpCall>(loop, pool);
  const std::chrono::milliseconds limit(300);
  if (co_await call->Connect(endpoint, std::chrono::seconds(60)) && co_await call->Send(request)) {
    out->head = co_await call->ReadHead(limit);
  }
  while (out->head && !out->complete) {
    if (!co_await call->ReadSome(&out->body, &out->complete, limit)) break;
  }
  out->fault = call->fault();
  if (out->complete) call->Finish();
}

struct AnswerCase {
  const char* name;
  std::string bytes;
  Ending ending;
  bool complete;
  std::string body;
  int connections_of_two;  // how many connections two calls in a row take
};

class AnswerTest : public ::testing::TestWithParam<AnswerCase> {};

// Guards against taking a broken answer for a whole one, and against reusing a connection on which anything
// odd was seen.
TEST_P(AnswerTest, IsCompleteOrRecognisablyBroken) {
  const AnswerCase& param = GetParam();
  asio::io_context loop(1);
  base::SystemClock clock;
  net::ConnectionPool pool(loop, clock, {});
  ScriptedServer server(loop, param.bytes, param.ending);
  Exchange first;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, server.Endpoint(), &first)));
  EXPECT_EQ(first.complete, param.complete) << net::CallFaultName(first.fault);
  if (param.complete) {
    EXPECT_EQ(first.body, param.body);
  }
  Exchange second;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, server.Endpoint(), &second)));
  EXPECT_EQ(server.connections(), param.connections_of_two);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, AnswerTest,
    ::testing::Values(
        AnswerCase{"WithLength", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Ending::kKeepOpen, true,
                   "ok", 1},
        AnswerCase{"Chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                   Ending::kKeepOpen, true, "ok", 1},
        AnswerCase{"CloseAnnounced", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
                   Ending::kKeepOpen, true, "ok", 2},
        AnswerCase{"EndsWithItsConnection", "HTTP/1.1 200 OK\r\n\r\nok", Ending::kClose, true, "ok", 2},
        AnswerCase{"ResetWithoutLength", "HTTP/1.1 200 OK\r\n\r\nok", Ending::kReset, false, "", 2},
        AnswerCase{"ClosedInsideLength", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", Ending::kClose,
                   false, "", 2},
        AnswerCase{"ClosedInsideChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
                   Ending::kClose, false, "", 2},
        AnswerCase{"SilentInsideLength", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", Ending::kKeepOpen,
                   false, "", 2},
        AnswerCase{"NoHttp", "SSH-2.0-nothing\r\n\r\n", Ending::kClose, false, "", 2},
        AnswerCase{"ExtraBytes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
                   Ending::kKeepOpen, true, "ok", 2},
        AnswerCase{"LargeWithoutLimit",
                   "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n" + std::string(2000000, 'x'),
                   Ending::kClose, true, std::string(2000000, 'x'), 2}),
    [](const auto& info) { return info.param.name; });

// Guards against an answer that comes before a long body was read: the rest of the body must not run into
// another request's bytes on that connection.
TEST(HttpCall, EarlyAnswerEndsTheConnection) {
  asio::io_context loop(1);
  base::SystemClock clock;
  net::ConnectionPool pool(loop, clock, {});
  ScriptedServer server(loop, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno", Ending::kKeepOpen,
                        true);
  const net::Request long_request{"POST", "/", {}, std::string(8 << 20, 'x')};
  Exchange first;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, server.Endpoint(), &first, long_request)));
  EXPECT_TRUE(first.complete);
  Exchange second;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, server.Endpoint(), &second)));
  EXPECT_EQ(server.connections(), 2);
}

TEST(HttpCall, RefusedConnectionSendsNothing) {
  asio::io_context loop(1);
  base::SystemClock clock;
  net::ConnectionPool pool(loop, clock, {});
  uint16_t port = 0;
  {
    net::Tcp::acceptor unused(loop, testing::Loopback());
    port = unused.local_endpoint().port();
  }
  Exchange exchange;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, testing::Loopback(port), &exchange)));
  EXPECT_EQ(exchange.fault, CallFault::kNotConnected);
}

struct HopByHopCase {
  const char* name;
  std::vector<net::Header> before;
  std::vector<std::string> left;
};

class HopByHopTest : public ::testing::TestWithParam<HopByHopCase> {};

// Guards against passing on what concerns one connection only, and against losing repeated headers.
TEST_P(HopByHopTest, KeepsTheRestInOrder) {
  net::Headers headers;
  for (const auto& field : GetParam().before) headers.Add(field.name, field.value);
  net::RemoveHopByHop(&headers);
  std::vector<std::string> left;
  for (const auto& field : headers.fields()) left.push_back(field.name + "=" + field.value);
  EXPECT_EQ(left, GetParam().left);
}

INSTANTIATE_TEST_SUITE_P(
    Headers, HopByHopTest,
    ::testing::Values(HopByHopCase{"Repeated", {{"A", "1"}, {"b", "x"}, {"a", "2"}}, {"A=1", "b=x", "a=2"}},
                      HopByHopCase{"ListedByConnection",
                                   {{"Connection", "close, X-One"}, {"x-one", "1"}, {"Other", "2"}},
                                   {"Other=2"}},
                      HopByHopCase{
                          "Framing", {{"transfer-encoding", "chunked"}, {"Content-Length", "3"}}, {}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank
