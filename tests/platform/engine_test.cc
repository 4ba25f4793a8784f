#include <gtest/gtest.h>

#include "platform/platform.h"
#include "tests/net/loopback.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using testing::RunFor;
using testing::ScriptedServer;
using Ending = ScriptedServer::Ending;

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

/// The request engine with a client and scripted replicas on loopback.
struct EngineTest : ::testing::Test {
  EngineTest() : engine({loop, clock, dialect, table, hops, placer, replicas, peers}) {
    auto config = std::make_shared<serving::RoutingConfig>();
    config->version = 3;
    config->services["svc"] = serving::ServiceConfig{"svc", "/health", 10, {}, 0, std::nullopt};
    config->routes = {MakeRoute("/safe/", serving::RequestKind::kIdempotent, 2, false),
                      MakeRoute("/once/", serving::RequestKind::kAtMostOnce, 2, false),
                      MakeRoute("/stream/", serving::RequestKind::kStream, 2, true),
                      MakeRoute("/long/", serving::RequestKind::kStream, 2, true)};
    config->routes.back().timeout = std::chrono::seconds(5);
    table.SetConfig(config);
    engine.SetSecondSendBurst(5);
    net::Error error;
    server = net::HttpServer::Listen(loop, testing::Loopback(), engine, &error);
    if (!server) throw std::runtime_error(error.message());
    net::Spawn(loop, "silence", engine.RunSilenceChecks());
  }

  void AddReplica(const std::string& id, const net::Tcp::endpoint& address, bool preferred) {
    serving::PublishedReplica facts;
    facts.id = id;
    facts.service = "svc";
    facts.address = address;
    facts.zone = "z";
    facts.region = "r";
    facts.slots = 4;
    table.Upsert(facts, clock.Now());
    // Ten requests ahead of the others make the order of choice certain.
    if (!preferred) table.BeginAttempt(*table.Find(id), {10, 0, 0}, 0, clock.Now());
  }

  std::string Ask(const std::string& path, std::chrono::milliseconds time) {
    net::Tcp::socket socket(loop);
    socket.connect(testing::Loopback(server->Port()));
    const std::string request = "POST " + path +
                                " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 77\r\nDeadline-Ms: 2000\r\n"
                                "Hold: stolen\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";
    asio::write(socket, asio::buffer(request));
    RunFor(loop, time);
    std::string answer(65536, '\0');
    net::Error error;
    socket.non_blocking(true);
    answer.resize(socket.read_some(asio::buffer(answer), error));
    return answer;
  }

  static std::string Answer(const std::string& status, const std::string& id, const std::string& body,
                            const std::string& more = "") {
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  net::asio::io_context loop{1};
  base::SystemClock clock;
  platform::PlatformCodec dialect;
  serving::ReplicaRegistry table;
  NoHops hops;
  serving::Placer placer{"own", "r", {}, 5};
  net::ConnectionPool replicas{loop, clock, {}};
  net::ConnectionPool peers{loop, clock, {}};
  serving::RequestProxy engine;
  std::unique_ptr<net::HttpServer> server;
};

struct ReplicaCase {
  const char* name;
  std::string path;
  std::string first;  // bytes of the preferred replica; empty: no server there
  Ending ending;
  std::string status;  // of the client's answer
  std::string holds;
  int second_sends;  // to the other replica, which answers well
};

class ReplicaFaultTest : public EngineTest, public ::testing::WithParamInterface<ReplicaCase> {};

// Guards against second runs, false refusals, foreign and broken answers.
TEST_P(ReplicaFaultTest, ClientGetsATrueAnswer) {
  const auto& param = GetParam();
  uint16_t free_port = 0;
  {
    net::Tcp::acceptor unused(loop, testing::Loopback());
    free_port = unused.local_endpoint().port();
  }
  ScriptedServer first(loop, param.first, param.ending);
  ScriptedServer second(loop, Answer("200 OK", "77", "second"), Ending::kKeepOpen);
  AddReplica("first", param.first.empty() ? testing::Loopback(free_port) : first.Endpoint(), true);
  AddReplica("second", second.Endpoint(), false);
  const std::string answer = Ask(param.path, std::chrono::milliseconds(1100));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + param.status)) << answer;
  EXPECT_NE(answer.find(param.holds), std::string::npos) << answer;
  EXPECT_EQ(second.connections(), param.second_sends);
  EXPECT_EQ(first.received().find("Hold"), std::string::npos);
}

const char kRefusal[] = "HTTP/1.1 503 Full\r\nAttempt-Id: 77\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const char kMoved[] = "HTTP/1.1 421 Moved\r\nInstance-Id: x\r\nContent-Length: 0\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Faults, ReplicaFaultTest,
    ::testing::Values(
        ReplicaCase{"Good", "/once/a", EngineTest::Answer("200 OK", "77", "first"), Ending::kKeepOpen, "200",
                    "first", 0},
        ReplicaCase{"NoServerOnce", "/once/a", "", Ending::kClose, "200", "second", 1},
        ReplicaCase{"AnotherReplicaOnce", "/once/a", kMoved, Ending::kKeepOpen, "200", "second", 1},
        ReplicaCase{"FullOnce", "/once/a", kRefusal, Ending::kKeepOpen, "200", "second", 1},
        ReplicaCase{"LostOnce", "/once/a", "HTTP/1.1 200 OK\r\n", Ending::kReset, "502", "", 0},
        ReplicaCase{"LostSafe", "/safe/a", "HTTP/1.1 200 OK\r\n", Ending::kReset, "200", "second", 1},
        ReplicaCase{"ErrorOnce", "/once/a", EngineTest::Answer("500 No", "77", "why"), Ending::kKeepOpen,
                    "500", "why", 0},
        ReplicaCase{"ErrorSafe", "/safe/a", EngineTest::Answer("500 No", "77", "why"), Ending::kKeepOpen,
                    "200", "second", 1},
        ReplicaCase{"BusyWithoutPromiseOnce", "/once/a", EngineTest::Answer("503 No", "77", "why"),
                    Ending::kKeepOpen, "502", "", 0},
        ReplicaCase{"SilentSafe", "/safe/a", " ", Ending::kKeepOpen, "200", "second", 1},
        ReplicaCase{"SilentOnce", "/once/a", " ", Ending::kKeepOpen, "504", "", 0},
        ReplicaCase{"ForeignAnswerFirst", "/once/a",
                    EngineTest::Answer("200 OK", "76", "foreign") + EngineTest::Answer("200 OK", "77", "own"),
                    Ending::kKeepOpen, "200", "own", 0},
        ReplicaCase{"NoSignature", "/once/a",
                    "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nContent-Length: 2\r\n\r\nhi", Ending::kKeepOpen,
                    "502", "", 0},
        ReplicaCase{"Encoded", "/safe/a",
                    EngineTest::Answer("200 OK", "77", "zip", "Content-Encoding: gzip\r\n"),
                    Ending::kKeepOpen, "200", "second", 1}),
    [](const auto& info) { return info.param.name; });

// Guards against a stream whose pieces are missing or come twice after it was continued elsewhere.
TEST_F(EngineTest, ResumesAStreamAfterTheLastWholeEvent) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: one\r\nContent-Type: "
      "text/event-stream\r\n\r\n";
  ScriptedServer first(loop, head + "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", Ending::kReset);
  ScriptedServer second(loop, head + "id: 3\ndata: c\n\n", Ending::kClose);
  AddReplica("first", first.Endpoint(), true);
  AddReplica("second", second.Endpoint(), false);
  const std::string answer = Ask("/stream/a", std::chrono::milliseconds(400));
  EXPECT_NE(second.received().find("Last-Event-Id: 2"), std::string::npos) << second.received();
  for (const char* data : {"data: a", "data: b", "data: c"}) {
    EXPECT_NE(answer.find(data), std::string::npos) << answer;
    EXPECT_EQ(answer.find(data), answer.rfind(data)) << answer;
  }
  EXPECT_NE(answer.find("\r\n0\r\n\r\n"), std::string::npos) << answer;
}

struct PauseCase {
  const char* name;
  double second_sends;
  bool second_replica;
  int resumed;
};
class PauseTest : public EngineTest, public ::testing::WithParamInterface<PauseCase> {};

// Guards against ending an answer in its middle for a pause of its replica when nothing can continue it.
TEST_P(PauseTest, EndsAnAttemptOnlyForAnother) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: one\r\nContent-Type: "
      "text/event-stream\r\n\r\n";
  ScriptedServer first(loop, head + "id: 1\ndata: a\n\n", Ending::kKeepOpen);
  ScriptedServer second(loop, head + "id: 2\ndata: b\n\n", Ending::kClose);
  AddReplica("first", first.Endpoint(), true);
  if (GetParam().second_replica) AddReplica("second", second.Endpoint(), false);
  engine.SetSecondSendBurst(GetParam().second_sends);
  Ask("/long/a", std::chrono::milliseconds(1600));
  EXPECT_EQ(engine.counters().failed, 0U);
  EXPECT_EQ(second.connections(), GetParam().resumed);
}

INSTANTIATE_TEST_SUITE_P(Pauses, PauseTest,
                         ::testing::Values(PauseCase{"NoSecondSendLeft", 0, true, 0},
                                           PauseCase{"NoOtherReplica", 5, false, 0},
                                           PauseCase{"Continued", 5, true, 1}),
                         [](const auto& info) { return info.param.name; });

TEST_F(EngineTest, RefusesAtOnceWhenNothingCanServe) {
  const std::string answer = Ask("/safe/a", std::chrono::milliseconds(60));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
  EXPECT_TRUE(Ask("/none/a", std::chrono::milliseconds(60)).starts_with("HTTP/1.1 404"));
}

}  // namespace
}  // namespace cornelplank
