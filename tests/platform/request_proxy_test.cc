#include <gtest/gtest.h>

#include "platform/platform.h"
#include "tests/net/endless_server.h"
#include "tests/net/loopback.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using testing::EndlessServer;
using testing::RunFor;
using testing::ScriptedServer;
using Ending = ScriptedServer::Ending;

/// The only live entry VM is this one, so no request can be forwarded.
class NoHops final : public serving::HopDirectory {
 public:
  std::vector<serving::RemoteRegion> RemoteRegions(const std::string&) const override { return {}; }
  std::optional<net::Tcp::endpoint> PickVm(const std::string&) override { return std::nullopt; }
  void ReportHopFailure(const net::Tcp::endpoint&) override {}
  std::vector<std::string> OwnRegionVms() const override { return {"own"}; }
};

serving::RouteConfig MakeRoute(const std::string& prefix, serving::RequestKind kind, uint32_t attempts,
                               bool resumable) {
  serving::RouteConfig route;
  route.name = prefix;
  route.host = "h.example";
  route.path_prefix = prefix;
  route.kind = kind;
  route.timeout = std::chrono::milliseconds(800);
  route.target_latency = std::chrono::milliseconds(100);
  route.attempts = attempts;
  route.resumable = resumable;
  route.services = {{"svc", 1}};
  return route;
}

/// A request proxy, with routes for each kind of request, between a client and scripted replicas on loopback.
struct RequestProxyTest : ::testing::Test {
  RequestProxyTest() : proxy({loop, clock, codec, registry, hops, placer, replicas, peers}) {
    auto config = std::make_shared<serving::RoutingConfig>();
    config->version = 3;
    config->services["svc"] = serving::ServiceConfig{"svc", "/health", 10, {}, 0, std::nullopt};
    config->routes = {MakeRoute("/safe/", serving::RequestKind::kIdempotent, 2, false),
                      MakeRoute("/once/", serving::RequestKind::kAtMostOnce, 2, false),
                      MakeRoute("/stream/", serving::RequestKind::kStream, 2, true),
                      MakeRoute("/fixed/", serving::RequestKind::kStream, 2, false),
                      MakeRoute("/long/", serving::RequestKind::kStream, 2, true)};
    config->routes.back().timeout = std::chrono::seconds(5);
    config->routes.push_back(MakeRoute("/slow/", serving::RequestKind::kAtMostOnce, 1, false));
    config->routes.back().timeout = std::chrono::seconds(5);
    registry.SetConfig(config);
    proxy.SetSecondSendBurst(5);
    net::Error error;
    server = net::HttpServer::Listen(loop, testing::Loopback(), proxy, &error);
    if (!server) throw std::runtime_error(error.message());
    net::Spawn(loop, "silence", proxy.RunSilenceChecks());
  }

  void AddReplica(const std::string& id, const net::Tcp::endpoint& address, bool preferred) {
    serving::PublishedReplica replica;
    replica.id = id;
    replica.service = "svc";
    replica.address = address;
    replica.zone = "z";
    replica.region = "r";
    replica.slots = 4;
    registry.Upsert(replica, clock.Now());
    // Ten outstanding requests ensure that the proxy tries the preferred replica first.
    if (!preferred) registry.BeginAttempt(*registry.Find(id), {10, 0, 0}, 0, clock.Now());
  }

  /// Sends a request and runs the loop for `time`. Returns what has arrived of the response by then.
  std::string SendRequest(const std::string& path, std::chrono::milliseconds time) {
    net::Tcp::socket socket(loop);
    socket.connect(testing::Loopback(server->Port()));
    const std::string request = "POST " + path +
                                " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 77\r\nDeadline-Ms: 2000\r\n"
                                "Hold: stolen\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";
    asio::write(socket, asio::buffer(request));
    RunFor(loop, time);
    return testing::ReadAvailable(socket);
  }

  /// The bytes of a replica's complete response to the request `id`, with `more` as further header lines.
  static std::string MakeResponse(const std::string& status, const std::string& id, const std::string& body,
                                  const std::string& more = "") {
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  net::asio::io_context loop{1};
  base::SystemClock clock;
  platform::PlatformCodec codec;
  serving::ReplicaRegistry registry;
  NoHops hops;
  serving::Placer placer{"own", "r", {}, 5};
  net::ConnectionPool replicas{loop, clock, {}};
  net::ConnectionPool peers{loop, clock, {}};
  serving::RequestProxy proxy;
  std::unique_ptr<net::HttpServer> server;
};

struct ReplicaCase {
  const char* name;
  std::string path;
  std::string first_response;  // bytes that the preferred replica sends; empty: it refuses connections
  Ending first_ending;
  std::string expected_status;  // of the response that the client gets
  std::string expected_text;    // in that response
  int second_sends;             // requests that reach the other replica, which responds correctly
};

class ReplicaFaultTest : public RequestProxyTest, public ::testing::WithParamInterface<ReplicaCase> {};

// Guards against requests that run twice although their route allows it only once, refusals of requests that
// could have been served, and responses that belong to another request or are invalid. The names of the cases
// end with the route where it matters: Once (at most once) or Safe (idempotent).
TEST_P(ReplicaFaultTest, ClientGetsACorrectResponse) {
  const auto& param = GetParam();
  uint16_t free_port = 0;
  {
    net::Tcp::acceptor unused(loop, testing::Loopback());
    free_port = unused.local_endpoint().port();
  }
  ScriptedServer first(loop, param.first_response, param.first_ending);
  ScriptedServer second(loop, MakeResponse("200 OK", "77", "second"), Ending::kKeepOpen);
  AddReplica("first", param.first_response.empty() ? testing::Loopback(free_port) : first.Endpoint(), true);
  AddReplica("second", second.Endpoint(), false);
  const std::string response = SendRequest(param.path, std::chrono::milliseconds(1100));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 " + param.expected_status)) << response;
  EXPECT_NE(response.find(param.expected_text), std::string::npos) << response;
  EXPECT_EQ(second.connections(), param.second_sends);
  EXPECT_EQ(first.received().find("Hold"), std::string::npos);
}

const char kRefusal[] = "HTTP/1.1 503 Full\r\nAttempt-Id: 77\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const char kWrongReplica[] = "HTTP/1.1 421 Moved\r\nInstance-Id: x\r\nContent-Length: 0\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Faults, ReplicaFaultTest,
    ::testing::Values(
        ReplicaCase{"Correct", "/once/a", RequestProxyTest::MakeResponse("200 OK", "77", "first"),
                    Ending::kKeepOpen, "200", "first", 0},
        ReplicaCase{"NotListeningOnce", "/once/a", "", Ending::kClose, "200", "second", 1},
        ReplicaCase{"WrongReplicaOnce", "/once/a", kWrongReplica, Ending::kKeepOpen, "200", "second", 1},
        ReplicaCase{"FullOnce", "/once/a", kRefusal, Ending::kKeepOpen, "200", "second", 1},
        ReplicaCase{"ConnectionLostOnce", "/once/a", "HTTP/1.1 200 OK\r\n", Ending::kReset, "502", "", 0},
        ReplicaCase{"ConnectionLostSafe", "/safe/a", "HTTP/1.1 200 OK\r\n", Ending::kReset, "200", "second",
                    1},
        ReplicaCase{"ErrorOnce", "/once/a", RequestProxyTest::MakeResponse("500 No", "77", "why"),
                    Ending::kKeepOpen, "500", "why", 0},
        ReplicaCase{"ErrorSafe", "/safe/a", RequestProxyTest::MakeResponse("500 No", "77", "why"),
                    Ending::kKeepOpen, "200", "second", 1},
        ReplicaCase{"RefusedWithoutNotExecutedOnce", "/once/a",
                    RequestProxyTest::MakeResponse("503 No", "77", "why"), Ending::kKeepOpen, "502", "", 0},
        ReplicaCase{"SilentSafe", "/safe/a", " ", Ending::kKeepOpen, "200", "second", 1},
        ReplicaCase{"SilentOnce", "/once/a", " ", Ending::kKeepOpen, "504", "", 0},
        ReplicaCase{"ResponseToAnotherRequestFirst", "/once/a",
                    RequestProxyTest::MakeResponse("200 OK", "76", "foreign") +
                        RequestProxyTest::MakeResponse("200 OK", "77", "own"),
                    Ending::kKeepOpen, "200", "own", 0},
        ReplicaCase{"NoSignature", "/once/a",
                    "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nContent-Length: 2\r\n\r\nhi", Ending::kKeepOpen,
                    "502", "", 0},
        ReplicaCase{"ContentEncodingSafe", "/safe/a",
                    RequestProxyTest::MakeResponse("200 OK", "77", "zip", "Content-Encoding: gzip\r\n"),
                    Ending::kKeepOpen, "200", "second", 1}),
    [](const auto& info) { return info.param.name; });

// Guards against lost or repeated events when a connection breaks within an event and another replica resumes
// the stream: the proxy has to drop the incomplete event and resume after the last complete one.
TEST_F(RequestProxyTest, ResumesAStreamAfterTheLastCompleteEvent) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: one\r\nContent-Type: "
      "text/event-stream\r\n\r\n";
  ScriptedServer first(loop, head + "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", Ending::kReset);
  ScriptedServer second(loop, head + "id: 3\ndata: c\n\n", Ending::kClose);
  AddReplica("first", first.Endpoint(), true);
  AddReplica("second", second.Endpoint(), false);
  const std::string response = SendRequest("/stream/a", std::chrono::milliseconds(400));
  EXPECT_NE(second.received().find("Last-Event-Id: 2"), std::string::npos) << second.received();
  for (const char* data : {"data: a", "data: b", "data: c"}) {
    EXPECT_NE(response.find(data), std::string::npos) << response;
    EXPECT_EQ(response.find(data), response.rfind(data)) << response;
  }
  EXPECT_NE(response.find("\r\n0\r\n\r\n"), std::string::npos) << response;
}

struct StreamEndCase {
  const char* name;
  std::string path;
  std::string stream;  // bytes of the first replica after the head, which states no length
  int resumptions;     // requests that reach the second replica
  bool complete;       // the client gets a complete answer
};
class StreamEndTest : public RequestProxyTest, public ::testing::WithParamInterface<StreamEndCase> {};

// Guards against a stream that was broken off inside an event and is passed on as a complete one.
TEST_P(StreamEndTest, IsCompleteOnlyAfterAWholeEvent) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: one\r\nContent-Type: "
      "text/event-stream\r\n\r\n";
  ScriptedServer first(loop, head + GetParam().stream, Ending::kClose);
  ScriptedServer second(loop, head + "id: 2\ndata: b\n\n", Ending::kClose);
  AddReplica("first", first.Endpoint(), true);
  AddReplica("second", second.Endpoint(), false);
  const std::string response = SendRequest(GetParam().path, std::chrono::milliseconds(400));
  EXPECT_EQ(response.find("\r\n0\r\n\r\n") != std::string::npos, GetParam().complete) << response;
  EXPECT_EQ(second.connections(), GetParam().resumptions);
}

INSTANTIATE_TEST_SUITE_P(
    Streams, StreamEndTest,
    ::testing::Values(StreamEndCase{"WholeEvents", "/stream/a", "id: 1\ndata: a\n\n", 0, true},
                      StreamEndCase{"BeforeAnyEvent", "/stream/a", "", 1, true},
                      StreamEndCase{"InsideAnEvent", "/stream/a", "id: 1\ndata: a\n\nid: 2\nda", 1, true},
                      StreamEndCase{"InsideAnEventOnce", "/fixed/a", "id: 1\ndata: a\n\nid: 2\nda", 0,
                                    false}),
    [](const auto& info) { return info.param.name; });

struct EndlessCase {
  const char* name;
  std::string start;  // of the answer
  std::string part;   // repeated until the proxy closes the connection
};
class EndlessAnswerTest : public RequestProxyTest, public ::testing::WithParamInterface<EndlessCase> {};

// Guards against a VM that takes bytes without end from a faulty replica until its memory or the request's
// time is used up.
TEST_P(EndlessAnswerTest, IsGivenUp) {
  constexpr size_t kMaxTaken = 24 << 20;  // the greatest limit, and buffers of both sockets
  EndlessServer replica(loop, GetParam().start, GetParam().part);
  AddReplica("replica", replica.Endpoint(), true);
  const std::string response = SendRequest("/slow/a", std::chrono::milliseconds(1500));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 502")) << response.substr(0, 200);
  EXPECT_EQ(replica.connections(), 1);
  EXPECT_EQ(replica.closed(), 1);
  EXPECT_LE(replica.sent(), kMaxTaken);
}

const char kOwnHead[] = "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\n";

INSTANTIATE_TEST_SUITE_P(
    Answers, EndlessAnswerTest,
    ::testing::Values(
        EndlessCase{"Head", kOwnHead, "X-More: aaaaaaaaaaaaaaaa\r\n"},
        EndlessCase{"InterimHeads", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
        EndlessCase{"NoAnswer", "garbage", "garbage"},
        EndlessCase{"Body", std::string(kOwnHead) + "\r\n", "aaaaaaaaaaaaaaaa"},
        EndlessCase{"Chunks", std::string(kOwnHead) + "Transfer-Encoding: chunked\r\n\r\n",
                    "400\r\n" + std::string(1024, 'a') + "\r\n"},
        EndlessCase{"ChunkSize", std::string(kOwnHead) + "Transfer-Encoding: chunked\r\n\r\n", "0000"},
        EndlessCase{"ChunkExtension", std::string(kOwnHead) + "Transfer-Encoding: chunked\r\n\r\n2;x=", "aa"},
        EndlessCase{"TrailerLine",
                    std::string(kOwnHead) + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "aa"},
        EndlessCase{"Trailers", std::string(kOwnHead) + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                    "X: a\r\n"},
        EndlessCase{
            "ErrorTrailerLine",
            "HTTP/1.1 500 No\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n"
            "\r\n0\r\nX: ",
            "aaaa"},
        EndlessCase{"ChunkExtensionOfAnotherAnswer",
                    "HTTP/1.1 200 OK\r\nAttempt-Id: 76\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", "aaaa"},
        EndlessCase{"ErrorBody", "HTTP/1.1 500 No\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\n\r\n",
                    "aaaa"},
        EndlessCase{"Event", std::string(kOwnHead) + "Content-Type: text/event-stream\r\n\r\n",
                    "data: aaaaaaaa\n"},
        EndlessCase{"AnswerToAnotherRequest", "HTTP/1.1 200 OK\r\nAttempt-Id: 76\r\n\r\n", "aaaa"}),
    [](const auto& info) { return info.param.name; });

struct PauseCase {
  const char* name;
  double second_sends;
  bool second_replica;
  int expected_resumptions;  // requests that reach the second replica
};
class PauseTest : public RequestProxyTest, public ::testing::WithParamInterface<PauseCase> {};

// Guards against aborting a response because its replica pauses, when no second send is left or no other
// replica can resume the stream.
TEST_P(PauseTest, CancelsAnAttemptOnlyWhenAnotherCanFollow) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: one\r\nContent-Type: "
      "text/event-stream\r\n\r\n";
  ScriptedServer first(loop, head + "id: 1\ndata: a\n\n", Ending::kKeepOpen);
  ScriptedServer second(loop, head + "id: 2\ndata: b\n\n", Ending::kClose);
  AddReplica("first", first.Endpoint(), true);
  if (GetParam().second_replica) AddReplica("second", second.Endpoint(), false);
  proxy.SetSecondSendBurst(GetParam().second_sends);
  SendRequest("/long/a", std::chrono::milliseconds(1600));
  EXPECT_EQ(proxy.counters().failed, 0U);
  EXPECT_EQ(second.connections(), GetParam().expected_resumptions);
}

INSTANTIATE_TEST_SUITE_P(Pauses, PauseTest,
                         ::testing::Values(PauseCase{"NoSecondSendLeft", 0, true, 0},
                                           PauseCase{"NoOtherReplica", 5, false, 0},
                                           PauseCase{"OtherReplicaResumes", 5, true, 1}),
                         [](const auto& info) { return info.param.name; });

struct OutdatedConfigCase {
  const char* name;
  std::vector<std::string> homes;        // of the route, by the configuration at the arrival of the request
  std::vector<std::string> later_homes;  // by a version that is read 50 ms later; empty: none is read
  bool read_failed;                      // reads have failed for some seconds
  int expected_sends;
};
class HomeChangeTest : public RequestProxyTest {
 protected:
  /// Puts a new version in force in which the route has these home regions.
  void SetHomes(const std::string& prefix, const std::vector<std::string>& homes) {
    auto config = std::make_shared<serving::RoutingConfig>(*registry.config());
    ++config->version;
    for (serving::RouteConfig& route : config->routes) {
      if (route.path_prefix == prefix) route.home_regions = homes;
    }
    registry.SetConfig(config);
  }
};
class OutdatedConfigTest : public HomeChangeTest, public ::testing::WithParamInterface<OutdatedConfigCase> {};

// Guards against requests that are served in a former home region because the process was suspended while the
// configuration changed.
TEST_P(OutdatedConfigTest, PlacesBoundRequestsByAConfirmedVersionOnly) {
  ScriptedServer replica(loop, MakeResponse("200 OK", "77", "body"), Ending::kKeepOpen);
  AddReplica("replica", replica.Endpoint(), true);
  SetHomes("/once/", GetParam().homes);
  registry.config_freshness().OnConfirmed(clock.Now() - std::chrono::seconds(7));
  if (GetParam().read_failed) registry.config_freshness().OnReadFailed(clock.Now() - std::chrono::seconds(4));
  asio::steady_timer read(loop, std::chrono::milliseconds(50));
  if (!GetParam().later_homes.empty()) {
    read.async_wait([&](const net::Error&) {
      SetHomes("/once/", GetParam().later_homes);
      registry.config_freshness().OnConfirmed(clock.Now());
    });
  }
  const std::string response = SendRequest("/once/a", std::chrono::milliseconds(900));
  EXPECT_TRUE(response.starts_with(GetParam().expected_sends > 0 ? "HTTP/1.1 200" : "HTTP/1.1 503"))
      << response;
  EXPECT_EQ(replica.connections(), GetParam().expected_sends);
}

INSTANTIATE_TEST_SUITE_P(Versions, OutdatedConfigTest,
                         ::testing::Values(OutdatedConfigCase{"NotConfirmed", {"r"}, {}, false, 0},
                                           OutdatedConfigCase{"HomeMoved", {"r"}, {"q"}, false, 0},
                                           OutdatedConfigCase{"HomeKept", {"r"}, {"r", "q"}, false, 1},
                                           OutdatedConfigCase{"NewlyBound", {}, {"q"}, false, 0},
                                           OutdatedConfigCase{"StoreUnreachable", {"r"}, {}, true, 1},
                                           OutdatedConfigCase{"NotBound", {}, {}, false, 1}),
                         [](const auto& info) { return info.param.name; });

struct DenialCase {
  const char* name;
  std::chrono::milliseconds confirmed_before;       // of the request
  bool read_failed;                                 // reads have failed for some seconds
  std::chrono::milliseconds newer_heard_before{0};  // another VM has a newer version; 0: none has
  bool route_arrives = false;                       // the newer version, with the route, is read 50 ms later
  const char* expected_status;
};
class DenialTest : public HomeChangeTest, public ::testing::WithParamInterface<DenialCase> {};

// Guards against a 404 by an outdated configuration for a route that the newest version has.
TEST_P(DenialTest, NeedsAConfirmedConfiguration) {
  ScriptedServer replica(loop, MakeResponse("200 OK", "77", "body"), Ending::kKeepOpen);
  AddReplica("replica", replica.Endpoint(), true);
  serving::ConfigFreshness& freshness = registry.config_freshness();
  freshness.OnConfirmed(clock.Now() - GetParam().confirmed_before);
  if (GetParam().read_failed) freshness.OnReadFailed(clock.Now() - std::chrono::seconds(4));
  if (GetParam().newer_heard_before.count() > 0) {
    freshness.OnVersionHeard(registry.config()->version + 1, clock.Now() - GetParam().newer_heard_before);
  }
  asio::steady_timer read(loop, std::chrono::milliseconds(50));
  if (GetParam().route_arrives) {
    read.async_wait([&](const net::Error&) {
      auto config = std::make_shared<serving::RoutingConfig>(*registry.config());
      ++config->version;
      config->routes.push_back(MakeRoute("/added/", serving::RequestKind::kAtMostOnce, 1, false));
      registry.SetConfig(config);
      freshness.OnConfirmed(clock.Now());
    });
  }
  const std::string response = SendRequest("/added/a", std::chrono::milliseconds(900));
  EXPECT_TRUE(response.starts_with(std::string("HTTP/1.1 ") + GetParam().expected_status)) << response;
  const bool refused = std::string(GetParam().expected_status) == "503";
  EXPECT_EQ(response.find("Retry-After: ") != std::string::npos, refused) << response;
}

INSTANTIATE_TEST_SUITE_P(
    States, DenialTest,
    ::testing::Values(
        DenialCase{"Confirmed", std::chrono::milliseconds(1000), false, {}, false, "404"},
        DenialCase{"NewerVersionOnItsWay", std::chrono::milliseconds(100), false,
                   std::chrono::milliseconds(20), true, "200"},
        DenialCase{"NewerVersionMissed", std::chrono::milliseconds(100), false,
                   std::chrono::milliseconds(1500), false, "503"},
        DenialCase{"NotConfirmed", std::chrono::milliseconds(7000), false, {}, false, "503"},
        DenialCase{"ConfirmedMeanwhile", std::chrono::milliseconds(7000), false, {}, true, "200"},
        DenialCase{"StoreUnreachable", std::chrono::milliseconds(7000), true, {}, false, "503"}),
    [](const auto& info) { return info.param.name; });

// Guards against replicas that are handed more time than the request has left after a wait for a
// confirmation.
TEST_F(HomeChangeTest, DeductsTheWaitFromTheTimeLeft) {
  ScriptedServer replica(loop, MakeResponse("200 OK", "77", "body"), Ending::kKeepOpen);
  AddReplica("replica", replica.Endpoint(), true);
  registry.config_freshness().OnConfirmed(clock.Now() - std::chrono::seconds(7));
  SendRequest("/once/a", std::chrono::milliseconds(900));  // the route's timeout is 0.8 s, the wait 0.5 s
  const std::string name = "Deadline-Ms: ";
  const size_t position = replica.received().find(name);
  ASSERT_NE(position, std::string::npos);
  EXPECT_LE(std::stoi(replica.received().substr(position + name.size())), 300);
}

// Guards against a further attempt in a region that has ceased to be a home since the request arrived.
TEST_F(HomeChangeTest, ResumesNoStreamInAFormerHome) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: one\r\nContent-Type: "
      "text/event-stream\r\n\r\n";
  ScriptedServer first(loop, head + "id: 1\ndata: a\n\n", Ending::kReset);
  ScriptedServer second(loop, head + "id: 2\ndata: b\n\n", Ending::kClose);
  AddReplica("first", first.Endpoint(), true);
  AddReplica("second", second.Endpoint(), false);
  SetHomes("/stream/", {"r"});
  asio::steady_timer change(loop, std::chrono::milliseconds(10));
  change.async_wait([&](const net::Error&) { SetHomes("/stream/", {"q"}); });
  const std::string response = SendRequest("/stream/a", std::chrono::milliseconds(400));
  EXPECT_NE(response.find("data: a"), std::string::npos) << response;
  EXPECT_EQ(second.connections(), 0);
  EXPECT_EQ(response.find("\r\n0\r\n\r\n"), std::string::npos) << response;
}

// Guards against requests that wait although no replica is known. A path without a route gets a 404.
TEST_F(RequestProxyTest, RefusesAtOnceWithoutReplicas) {
  const std::string response = SendRequest("/safe/a", std::chrono::milliseconds(60));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
  EXPECT_NE(response.find("Retry-After: "), std::string::npos) << response;
  EXPECT_TRUE(SendRequest("/none/a", std::chrono::milliseconds(60)).starts_with("HTTP/1.1 404"));
}

}  // namespace
}  // namespace cornelplank
