#include <boost/beast/http.hpp>

#include "tests/platform/entry_process.h"
#include "tests/platform/proxy_path.h"
#include "tests/platform/wire.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using testing::EntryProcessTest;
using testing::ProxyPath;
using testing::RunFor;
using testing::SequenceServer;
using testing::wire::kRequestId;

/// A replica that answers each request after a time, and paths under /stream/ with two events that are as far
/// apart.
class SlowReplica {
 public:
  explicit SlowReplica(asio::io_context& loop) : loop_(loop), acceptor_(loop, testing::Loopback()) {
    net::Spawn(loop, "slow_replica", Accept());
  }
  net::Tcp::endpoint Endpoint() const { return testing::Loopback(acceptor_.local_endpoint().port()); }
  void SetDelay(milliseconds delay) { delay_ = delay; }
  bool HasGot(const std::string& id) const { return ids_.contains(id); }

 private:
  net::Task<> Accept() {
    while (true) {
      net::Error error;
      auto socket = std::make_shared<net::Tcp::socket>(loop_);
      co_await acceptor_.async_accept(*socket, net::Into(error));
      if (error) co_return;
      net::Spawn(loop_, "slow_connection", Serve(socket));
    }
  }

  net::Task<> Serve(std::shared_ptr<net::Tcp::socket> socket) {
    boost::beast::flat_buffer buffer;
    while (true) {
      net::Error error;
      http::request<http::string_body> request;
      co_await http::async_read(*socket, buffer, request, net::Into(error));
      if (error) co_return;
      const std::string id(request[kRequestId]);
      ids_.insert(id);
      const std::string head =
          "HTTP/1.1 200 OK\r\n" + std::string(kRequestId) + ": " + id + "\r\nResponse-Signature: s\r\n";
      co_await net::Sleep(loop_, delay_);
      if (!std::string_view(request.target().data(), request.target().size()).starts_with("/stream/")) {
        const std::string answer = head + "Content-Length: 4\r\n\r\nbody";
        co_await asio::async_write(*socket, asio::buffer(answer), net::Into(error));
        continue;
      }
      const std::string event = "8\r\ndata: a\n\r\n1\r\n\n\r\n";
      const std::string first =
          head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + event;
      co_await asio::async_write(*socket, asio::buffer(first), net::Into(error));
      co_await net::Sleep(loop_, delay_);
      const std::string last = event + "0\r\n\r\n";
      co_await asio::async_write(*socket, asio::buffer(last), net::Into(error));
    }
  }

  asio::io_context& loop_;
  net::Tcp::acceptor acceptor_;
  milliseconds delay_{0};
  std::set<std::string> ids_;
};

/// One request on a connection that was opened before the stop.
struct Attempt {
  std::string id;
  std::shared_ptr<net::Tcp::socket> socket;
  unsigned status = 0;  // 0 until a complete response has arrived
  bool closed = false;
};

struct StopCase {
  const char* name;
  const char* path;
  milliseconds usual_time;      // that the replica needs before the stop, for each part of its answer
  milliseconds time_from_stop;  // that it needs from the stop on
  size_t min_served;            // of the requests in the grace
};
class PlannedStopTest : public EntryProcessTest, public ::testing::WithParamInterface<StopCase> {
 protected:
  static constexpr milliseconds kGrace{3000};
  static constexpr milliseconds kStep{100};

  net::Task<> Exchange(Attempt& attempt, std::string path) {
    const std::string request = "POST " + path + attempt.id + " HTTP/1.1\r\nHost: h.example\r\n" +
                                std::string(kRequestId) + ": " + attempt.id +
                                "\r\nDeadline-Ms: 9000\r\nContent-Length: 2\r\n\r\nhi";
    net::Error error;
    co_await asio::async_write(*attempt.socket, asio::buffer(request), net::Into(error));
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!error) {
      co_await http::async_read(*attempt.socket, buffer, response, net::Into(error));
    }
    if (!error) attempt.status = response.result_int();
    attempt.closed = true;
  }

  std::string Config() const {
    serving::RoutingConfig config;
    config.version = 3;
    for (const auto& [prefix, kind] : {std::pair("/once/", serving::RequestKind::kAtMostOnce),
                                       std::pair("/safe/", serving::RequestKind::kIdempotent),
                                       std::pair("/stream/", serving::RequestKind::kStream)}) {
      serving::RouteConfig route;
      route.name = prefix;
      route.host = "h.example";
      route.path_prefix = prefix;
      route.kind = kind;
      route.timeout = std::chrono::seconds(8);
      route.target_latency = std::chrono::seconds(5);
      route.target_gap = std::chrono::seconds(5);
      route.services = {{"svc", 1}};
      config.routes.push_back(route);
    }
    config.services["svc"].name = "svc";
    config.services["svc"].connection_limit = 100;
    return testing::wire::EncodeConfig(config);
  }
};

// Guards against requests that are taken late in the grace of a planned stop, passed on to a replica, and cut
// without an answer when the process ends.
TEST_P(PlannedStopTest, AnswersWhatItHasPassedOn) {
  const auto& param = GetParam();
  SlowReplica replica(loop_);
  replica.SetDelay(param.usual_time);
  StartStore();
  store_->Put("op/config", Config());
  auto entry = testing::ReplicaText("svc", replica.Endpoint());
  entry.replace(entry.find("\"slots\":4"), 9, "\"slots\":400");
  store_->Put("servers/i-1", entry);
  Start(Settings());
  ASSERT_TRUE(WaitUntilReady());
  std::vector<Attempt> attempts;
  const size_t count = static_cast<size_t>(kGrace / kStep);
  for (size_t i = 0; i < 10 + count; ++i) {
    attempts.push_back({std::to_string(100 + i), std::make_shared<net::Tcp::socket>(loop_)});
    attempts.back().socket->connect(EndpointOf("clients"));
  }
  for (size_t i = 0; i < 10; ++i) {
    net::Spawn(loop_, "client", Exchange(attempts[i], param.path));
    RunFor(loop_, milliseconds(50));
  }
  ASSERT_TRUE(WaitUntil([&] { return attempts[9].closed; }));
  EXPECT_EQ(attempts[9].status, 200U);
  replica.SetDelay(param.time_from_stop);
  process_->Signal(SIGTERM);
  for (size_t i = 10; i < attempts.size(); ++i) {
    net::Spawn(loop_, "client", Exchange(attempts[i], param.path));
    RunFor(loop_, kStep);
  }
  EXPECT_TRUE(WaitUntil([&] { return !process_->running(); }));
  RunFor(loop_, milliseconds(200));
  size_t served = 0;
  for (size_t i = 10; i < attempts.size(); ++i) {
    const Attempt& attempt = attempts[i];
    served += attempt.status == 200 ? 1 : 0;
    const bool taken = replica.HasGot(attempt.id);
    EXPECT_TRUE(attempt.closed) << "request " << attempt.id << " has no end";
    EXPECT_FALSE(taken && attempt.status == 0) << "request " << attempt.id << " was cut without an answer";
    EXPECT_FALSE(taken && attempt.status == 503) << "request " << attempt.id << " was taken and refused";
  }
  EXPECT_GE(served, param.min_served);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, PlannedStopTest,
    ::testing::Values(StopCase{"Once", "/once/", milliseconds(900), milliseconds(900), 5},
                      StopCase{"Safe", "/safe/", milliseconds(900), milliseconds(900), 5},
                      StopCase{"Stream", "/stream/", milliseconds(500), milliseconds(500), 5},
                      StopCase{"Quick", "/once/", milliseconds(5), milliseconds(5), 8},
                      StopCase{"OnceAndSlowFromThen", "/once/", milliseconds(100), milliseconds(6000), 0},
                      StopCase{"StreamAndSlowFromThen", "/stream/", milliseconds(100), milliseconds(6000),
                               0}),
    [](const auto& info) { return info.param.name; });

struct HopStopCase {
  const char* name;
  const char* path;
  bool ends_in_progress;  // the VM of the other region ends its requests while it serves this one
  std::string expected_status;
  int first_requests;  // that reach the replica of the region whose VM stops
};
class StopOverAHopTest : public ProxyPath, public ::testing::WithParamInterface<HopStopCase> {};

// Guards against requests that the VM of another region takes shortly before it exits, and against ones that
// it drops without an answer.
TEST_P(StopOverAHopTest, IsAnsweredOrGoesElsewhere) {
  const auto& param = GetParam();
  const std::string answer =
      "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nResponse-Signature: s\r\nContent-Length: 6\r\n\r\n";
  std::vector<SequenceServer::Answer> silence{{"", false, ""}};
  SequenceServer first(loop, silence);
  SequenceServer second(loop, {{answer + "second", false, ""}});
  Connect(first.Endpoint(), second.Endpoint(), true);
  auto& stopping = remote.front()->proxy;
  if (param.ends_in_progress) {
    net::Spawn(loop, "stop", [](auto& io, auto& proxy) -> net::Task<> {
      co_await net::Sleep(io, milliseconds(100));
      proxy.EndRequests();
    }(loop, stopping));
  } else {
    stopping.BeginStop(clock.Now() + milliseconds(50));
  }
  const std::string response = Send(param.path, "2", milliseconds(400));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 " + param.expected_status)) << response;
  EXPECT_EQ(first.requests(), param.first_requests);
}

INSTANTIATE_TEST_SUITE_P(Paths, StopOverAHopTest,
                         ::testing::Values(HopStopCase{"Once", "/once/a", false, "200", 0},
                                           HopStopCase{"Safe", "/safe/a", false, "200", 0},
                                           HopStopCase{"OnceInProgress", "/once/a", true, "502", 1},
                                           HopStopCase{"SafeInProgress", "/safe/a", true, "200", 1}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank
