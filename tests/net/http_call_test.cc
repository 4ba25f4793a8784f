#include <gtest/gtest.h>

#include "tests/net/loopback.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using net::CallFault;
using testing::RunTask;
using testing::ScriptedServer;
using Ending = ScriptedServer::Ending;

/// What one call brought back.
struct FetchResult {
  std::optional<net::ResponseHead> head;
  std::string body;
  bool complete = false;
  CallFault fault = CallFault::kNone;
};

/// Performs one call with time limits of 300 ms, and returns its connection to the pool when the response is
/// complete.
net::Task<> Fetch(asio::io_context& loop, net::ConnectionPool& pool, net::Tcp::endpoint endpoint,
                  FetchResult* out, net::Request request = {"GET", "/", {}, ""}) {
  const auto call = std::make_shared<net::HttpCall>(loop, pool);
  const std::chrono::milliseconds timeout(300);
  if (co_await call->Connect(endpoint, std::chrono::seconds(60)) && co_await call->Send(request)) {
    out->head = co_await call->ReadHead(timeout);
  }
  while (out->head && !out->complete) {
    if (!co_await call->ReadSome(&out->body, &out->complete, timeout)) break;
  }
  out->fault = call->fault();
  if (out->complete) call->Finish();
}

// Guards against a response without end that is read beyond its deadline, as its bytes are always there.
TEST(HttpCallTest, ReadsNoBytesThatArrivedAfterTheDeadline) {
  asio::io_context loop(1);
  base::SystemClock clock;
  net::ConnectionPool pool(loop, clock, {});
  ScriptedServer server(loop, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", Ending::kKeepOpen);
  const auto call = std::make_shared<net::HttpCall>(loop, pool);
  bool read = true;
  std::string body;
  ASSERT_TRUE(RunTask(
      loop, [](net::HttpCall& http, net::Tcp::endpoint endpoint, bool* ok, std::string* out) -> net::Task<> {
        const net::Request request{"GET", "/", {}, ""};
        bool done = false;
        *ok = co_await http.Connect(endpoint, std::chrono::seconds(60));
        *ok = co_await http.Send(request);
        co_await http.ReadHead(std::chrono::milliseconds(300));
        *ok = co_await http.ReadSome(out, &done, std::chrono::milliseconds(-1));
      }(*call, server.Endpoint(), &read, &body)));
  EXPECT_FALSE(read);
  EXPECT_EQ(call->fault(), CallFault::kTimeout);
}

struct AnswerCase {
  const char* name;
  std::string bytes;
  Ending ending;
  bool complete;
  std::string body;
  int connections_for_two_calls;  // made one after the other; 1 when the connection is reused
};

class AnswerTest : public ::testing::TestWithParam<AnswerCase> {};

// Guards against a truncated or malformed response that is taken for a complete one, and against the reuse of
// a connection after such a response or after bytes beyond the response.
TEST_P(AnswerTest, IsCompleteOrRecognisablyBroken) {
  const AnswerCase& param = GetParam();
  asio::io_context loop(1);
  base::SystemClock clock;
  net::ConnectionPool pool(loop, clock, {});
  ScriptedServer server(loop, param.bytes, param.ending);
  FetchResult first;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, server.Endpoint(), &first)));
  EXPECT_EQ(first.complete, param.complete) << net::CallFaultName(first.fault);
  if (param.complete) {
    EXPECT_EQ(first.body, param.body);
  }
  FetchResult second;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, server.Endpoint(), &second)));
  EXPECT_EQ(server.connections(), param.connections_for_two_calls);
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
        AnswerCase{"NoContentWithBody", "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\nok", Ending::kKeepOpen,
                   true, "", 2},
        AnswerCase{"NotModifiedWithBody", "HTTP/1.1 304 Same\r\nContent-Length: 2\r\n\r\nok",
                   Ending::kKeepOpen, true, "", 2},
        AnswerCase{"LargeWithoutLimit",
                   "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n" + std::string(2000000, 'x'),
                   Ending::kClose, true, std::string(2000000, 'x'), 2}),
    [](const auto& info) { return info.param.name; });

// Guards against the reuse of a connection whose server responded before it had read the whole request body:
// the rest of the body would be read as the start of the next request.
TEST(HttpCallTest, EarlyAnswerEndsTheConnection) {
  asio::io_context loop(1);
  base::SystemClock clock;
  net::ConnectionPool pool(loop, clock, {});
  ScriptedServer server(loop, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno", Ending::kKeepOpen,
                        true);
  const net::Request long_request{"POST", "/", {}, std::string(8 << 20, 'x')};
  FetchResult first;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, server.Endpoint(), &first, long_request)));
  EXPECT_TRUE(first.complete);
  FetchResult second;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, server.Endpoint(), &second)));
  EXPECT_EQ(server.connections(), 2);
}

struct EarlyEndCase {
  const char* name;
  Ending ending;
  bool complete;
};

class EarlyEndTest : public ::testing::TestWithParam<EarlyEndCase> {};

// Guards against the first part of a response without a length that counts as the whole response: the reset
// that ends it is reported to the write of the request's body, which is still in progress.
TEST_P(EarlyEndTest, IsCompleteOnlyAfterAnOrderlyClose) {
  asio::io_context loop(1);
  base::SystemClock clock;
  net::ConnectionPool pool(loop, clock, {});
  ScriptedServer server(loop, "HTTP/1.1 200 OK\r\n\r\nfirst part", GetParam().ending);
  const net::Request long_request{"POST", "/", {}, std::string(16 << 20, 'x')};
  FetchResult result;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, server.Endpoint(), &result, long_request)));
  ASSERT_TRUE(result.head);
  EXPECT_EQ(result.complete, GetParam().complete);
  EXPECT_EQ(result.fault, GetParam().complete ? CallFault::kNone : CallFault::kLost);
}

INSTANTIATE_TEST_SUITE_P(Endings, EarlyEndTest,
                         ::testing::Values(EarlyEndCase{"Reset", Ending::kReset, false},
                                           EarlyEndCase{"ClosedWithUnreadBytes", Ending::kClose, false},
                                           EarlyEndCase{"ShutDown", Ending::kShutDown, true}),
                         [](const auto& info) { return info.param.name; });

struct StatusCase {
  const char* name;
  std::string bytes;
  unsigned status;  // of the response; 0: there is none, since the bytes are malformed
};

class StatusTest : public ::testing::TestWithParam<StatusCase> {};

// Guards against an invalid status, or an interim one, that counts as that of a final response.
TEST_P(StatusTest, IsOneOfAFinalResponse) {
  asio::io_context loop(1);
  base::SystemClock clock;
  net::ConnectionPool pool(loop, clock, {});
  ScriptedServer server(loop, GetParam().bytes, Ending::kKeepOpen);
  FetchResult result;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, server.Endpoint(), &result)));
  const bool valid = GetParam().status != 0;
  EXPECT_EQ(result.head ? result.head->status : 0U, GetParam().status);
  EXPECT_EQ(result.complete, valid);
  EXPECT_EQ(result.fault, valid ? CallFault::kNone : CallFault::kMalformed);
}

std::string WithStatus(const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok";
}

std::string Interim(const std::string& status, int count) {
  std::string bytes;
  for (int i = 0; i < count; ++i) bytes += "HTTP/1.1 " + status + "\r\nA: b\r\n\r\n";
  return bytes;
}

INSTANTIATE_TEST_SUITE_P(
    Statuses, StatusTest,
    ::testing::Values(
        StatusCase{"Zero", WithStatus("000 No"), 0}, StatusCase{"ZeroWithoutReason", WithStatus("000"), 0},
        StatusCase{"BelowInterim", WithStatus("099 No"), 0},
        StatusCase{"AboveErrors", WithStatus("600 No"), 0}, StatusCase{"Greatest", WithStatus("999 No"), 0},
        StatusCase{"FourDigits", WithStatus("2000 OK"), 0}, StatusCase{"TwoDigits", WithStatus("20 OK"), 0},
        StatusCase{"NoDigits", WithStatus("OK"), 0}, StatusCase{"Missing", WithStatus(""), 0},
        StatusCase{"SwitchingProtocols", Interim("101 Up", 1) + WithStatus("200 OK"), 0},
        StatusCase{"Continue", Interim("100 Continue", 2) + WithStatus("200 OK"), 200},
        StatusCase{"Processing", Interim("102 Wait", 2) + WithStatus("200 OK"), 200},
        StatusCase{"EarlyHints", Interim("103 Hints", 2) + WithStatus("200 OK"), 200},
        StatusCase{"UnknownInterim", Interim("199 Wait", 1) + WithStatus("500 No"), 500},
        StatusCase{"TooManyInterim", Interim("103 Hints", 9) + WithStatus("200 OK"), 0},
        StatusCase{"NoContent", "HTTP/1.1 204 No\r\n\r\n", 204},
        StatusCase{"NotModified", "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", 304},
        StatusCase{"LastError", WithStatus("599 No"), 599}),
    [](const auto& info) { return info.param.name; });

struct HeadRequestCase {
  const char* name;
  std::string interim;  // sent before the final response
};

class HeadRequestTest : public ::testing::TestWithParam<HeadRequestCase> {};

// Guards against a call that waits for the body of a response to a HEAD request, which has none, when an
// interim response precedes it.
TEST_P(HeadRequestTest, EndsWithTheHeadOfItsResponse) {
  asio::io_context loop(1);
  base::SystemClock clock;
  net::ConnectionPool pool(loop, clock, {});
  ScriptedServer server(loop, GetParam().interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
                        Ending::kKeepOpen);
  for (int i = 0; i < 2; ++i) {
    FetchResult result;
    ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, server.Endpoint(), &result, {"HEAD", "/", {}, ""})));
    ASSERT_TRUE(result.head);
    EXPECT_EQ(result.head->status, 200U);
    EXPECT_TRUE(result.complete) << net::CallFaultName(result.fault);
  }
  EXPECT_EQ(server.connections(), 1);
}

INSTANTIATE_TEST_SUITE_P(Interim, HeadRequestTest,
                         ::testing::Values(HeadRequestCase{"None", ""},
                                           HeadRequestCase{"Continue", Interim("100 Continue", 1)},
                                           HeadRequestCase{"EarlyHints", Interim("103 Hints", 2)}),
                         [](const auto& info) { return info.param.name; });

// Guards against a refused connection that is reported as a loss after the request was sent, which forbids a
// retry.
TEST(HttpCallTest, RefusedConnectionSendsNothing) {
  asio::io_context loop(1);
  base::SystemClock clock;
  net::ConnectionPool pool(loop, clock, {});
  uint16_t port = 0;
  {
    net::Tcp::acceptor unused(loop, testing::Loopback());
    port = unused.local_endpoint().port();
  }
  FetchResult result;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, testing::Loopback(port), &result)));
  EXPECT_EQ(result.fault, CallFault::kNotConnected);
}

// Guards against more connections than a pool may open, which would take the descriptors of other uses, and
// against idle connections that keep a pool from opening further ones.
TEST(ConnectionPoolTest, OpensNoMoreConnectionsThanItsLimit) {
  asio::io_context loop(1);
  base::SystemClock clock;
  net::PoolSettings settings;
  settings.connections = 1;
  net::ConnectionPool pool(loop, clock, settings);
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  ScriptedServer first(loop, response, Ending::kKeepOpen);
  ScriptedServer second(loop, response, Ending::kKeepOpen);
  FetchResult result;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, first.Endpoint(), &result)));
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, second.Endpoint(), &result)));
  EXPECT_TRUE(result.complete);  // in place of the idle one
  const auto call = std::make_shared<net::HttpCall>(loop, pool);
  ASSERT_TRUE(RunTask(loop, [](auto& held, auto endpoint) -> net::Task<> {
    co_await held.Connect(endpoint, std::chrono::seconds(60));
  }(*call, second.Endpoint())));
  FetchResult refused;
  ASSERT_TRUE(RunTask(loop, Fetch(loop, pool, first.Endpoint(), &refused)));
  EXPECT_EQ(refused.fault, CallFault::kNoDescriptor);
}

struct HopByHopCase {
  const char* name;
  std::vector<net::Header> before;
  std::vector<std::string> remaining;
};

class HopByHopTest : public ::testing::TestWithParam<HopByHopCase> {};

// Guards against forwarding headers that concern one connection only, and against losing repeated headers.
TEST_P(HopByHopTest, KeepsTheRestInOrder) {
  net::Headers headers;
  for (const auto& field : GetParam().before) headers.Add(field.name, field.value);
  net::RemoveHopByHop(&headers);
  std::vector<std::string> remaining;
  for (const auto& field : headers.fields()) remaining.push_back(field.name + "=" + field.value);
  EXPECT_EQ(remaining, GetParam().remaining);
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
