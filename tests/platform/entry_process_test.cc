#include "tests/platform/entry_process.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using testing::EntryProcessTest;
using testing::RunFor;
using testing::ScriptedServer;
using Mode = testing::FakeStore::Mode;

const char kResponse[] =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody";

struct FaultCase {
  const char* name;
  std::string section;
  std::string from;
  std::string to;
  std::string expected_text;  // in the error message
};
class BadSettingsTest : public EntryProcessTest, public ::testing::WithParamInterface<FaultCase> {};

// Guards against a VM that starts although its settings are faulty, and against messages that don't name the
// fault.
TEST_P(BadSettingsTest, EndTheProgramWithAMessageThatNamesTheKey) {
  std::string settings = Settings();
  const size_t position = settings.find(GetParam().from);
  ASSERT_NE(position, std::string::npos);
  settings.replace(position, GetParam().from.size(), GetParam().to);
  Start(settings);
  EXPECT_EQ(process_->WaitForExit(kTimeout), 2);
  EXPECT_NE(process_->Errors().find(GetParam().expected_text), std::string::npos) << process_->Errors();
}

INSTANTIATE_TEST_SUITE_P(
    Faults, BadSettingsTest,
    ::testing::Values(
        FaultCase{"NoName", "vm", "name=vm-1\n", "", "name"},
        FaultCase{"UnknownZone", "vm", "zone=z\n", "zone=y\n", "zone"},
        FaultCase{"NoPort", "store", "[store]\naddress=", "[store]\naddress=;", "address"},
        FaultCase{"GraceIsNoTime", "limits", "grace=3s", "grace=soon", "grace"},
        FaultCase{"BoundBelowTheLeast", "limits", "grace=3s", "change_bound=900ms", "change_bound"},
        FaultCase{"DrainBoundBelowTheLeast", "limits", "grace=3s", "drain_bound=0s", "drain_bound"},
        FaultCase{"StrictIsNoTruthValue", "limits", "grace=3s", "strict_revocation=maybe",
                  "strict_revocation"},
        FaultCase{"FirstStartIsNoTruthValue", "vm", "name=vm-1\n", "name=vm-1\nfirst_start=perhaps\n",
                  "first_start"},
        FaultCase{"UnknownKey", "limits", "grace=3s", "grave=3s", "grave"}),
    [](const auto& info) { return info.param.name; });

// Guards against a VM that reports itself ready, or responds 404, before it has read the configuration, and
// against one that does not connect to a store that starts later.
TEST_F(EntryProcessTest, RefusesUntilTheStoreIsReachableAndThenServes) {
  Start(Settings());
  ASSERT_TRUE(WaitUntilStatus("503"));
  const std::string refusal = SendRequest("clients", "/a/x");
  EXPECT_NE(refusal.find("Retry-After: "), std::string::npos) << refusal;
  const std::string readiness = SendRequest("readiness", "/readiness");
  EXPECT_TRUE(readiness.starts_with("HTTP/1.1 503")) << readiness;
  ScriptedServer replica(loop_, kResponse, ScriptedServer::Ending::kKeepOpen);
  StartStore();
  store_->Put("servers/i-1", testing::ReplicaText("svc", replica.Endpoint()));
  ASSERT_TRUE(WaitUntilReady());
  ASSERT_TRUE(WaitUntilStatus("200"));
  EXPECT_TRUE(SendRequest("clients", "/none/x").starts_with("HTTP/1.1 404"));
  const std::string metrics = SendRequest("metrics", "/metrics");
  EXPECT_NE(metrics.find("cornelplank_requests_total{hop=\"0\",outcome=\"answered\""), std::string::npos)
      << metrics;
  EXPECT_NE(metrics.find("cornelplank_first_byte_seconds_bucket"), std::string::npos);
  EXPECT_NE(metrics.find("cornelplank_state{kind=\"config_version\"} 3"), std::string::npos);
}

// Guards against a VM that stops serving, or reports itself not ready, when the store stops answering.
TEST_F(EntryProcessTest, KeepsServingDuringAStoreOutage) {
  ScriptedServer replica(loop_, kResponse, ScriptedServer::Ending::kKeepOpen);
  StartStore();
  store_->Put("servers/i-1", testing::ReplicaText("svc", replica.Endpoint()));
  Start(Settings());
  ASSERT_TRUE(WaitUntilStatus("200"));
  store_->SetMode(Mode::kSilent);
  RunFor(loop_, std::chrono::seconds(3));
  EXPECT_TRUE(SendRequest("clients", "/a/x").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(SendRequest("readiness", "/readiness").starts_with("HTTP/1.1 200"));
}

// Guards against replicas that keep working for clients that have closed their connection.
TEST_F(EntryProcessTest, CancelsTheAttemptWhenTheClientDisconnects) {
  ScriptedServer replica(loop_, " ", ScriptedServer::Ending::kKeepOpen);
  StartStore();
  store_->Put("servers/i-1", testing::ReplicaText("svc", replica.Endpoint()));
  Start(Settings());
  ASSERT_TRUE(WaitUntilReady());
  SendRequest("clients", "/a/x", std::chrono::milliseconds(300));  // then the client closes its connection
  ASSERT_GE(replica.connections(), 1);
  EXPECT_TRUE(WaitUntil([&] { return process_->Output().find("event=client_gone") != std::string::npos; }));
}

struct SuspensionCase {
  const char* name;
  std::chrono::milliseconds time_to_change;  // from the suspension until the home of the route moves
  Mode mode_after;                           // of the store after the change
};
class SuspensionTest : public EntryProcessTest, public ::testing::WithParamInterface<SuspensionCase> {};

// Guards against requests that are served in a former home region by a process that was suspended while the
// configuration changed, also when an answer from before the change waits in its connection to the store.
TEST_P(SuspensionTest, ServesNoRequestInAFormerHome) {
  const auto config_with_home = [](int version, const std::string& region) {
    std::string text = testing::ConfigText(version);
    const std::string field = R"("attempts":2)";
    return text.replace(text.find(field), field.size(), field + R"(,"home_regions":[")" + region + R"("])");
  };
  ScriptedServer replica(loop_, kResponse, ScriptedServer::Ending::kKeepOpen);
  StartStore();
  store_->Put("op/config", config_with_home(4, "r"));
  store_->Put("servers/i-1", testing::ReplicaText("svc", replica.Endpoint()));
  Start(Settings());
  ASSERT_TRUE(WaitUntilStatus("200"));
  net::Tcp::socket socket(loop_);
  socket.connect(EndpointOf("clients"));
  RunFor(loop_, std::chrono::milliseconds(100));
  process_->Signal(SIGSTOP);
  asio::write(socket, asio::buffer(std::string("GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 78\r\n"
                                               "Deadline-Ms: 9000\r\n\r\n")));
  RunFor(loop_, GetParam().time_to_change);
  store_->Put("op/config", config_with_home(5, "q"));
  store_->SetMode(GetParam().mode_after);
  RunFor(loop_, std::chrono::seconds(5));
  process_->Signal(SIGCONT);
  const std::string response = ReadResponse(socket, std::chrono::seconds(2));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
  EXPECT_EQ(replica.received().find("Attempt-Id: 78"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Changes, SuspensionTest,
                         ::testing::Values(SuspensionCase{"ChangeWaitsInTheConnection",
                                                          std::chrono::milliseconds(1000), Mode::kServe},
                                           SuspensionCase{"OlderAnswerWaitsInTheConnection",
                                                          std::chrono::milliseconds(3000), Mode::kSilent}),
                         [](const auto& info) { return info.param.name; });

// Guards against a shutdown that closes connections before their requests are served, and against a process
// that does not exit.
TEST_F(EntryProcessTest, ServesOpenConnectionsBeforeItExits) {
  ScriptedServer replica(loop_, kResponse, ScriptedServer::Ending::kKeepOpen);
  StartStore();
  store_->Put("servers/i-1", testing::ReplicaText("svc", replica.Endpoint()));
  Start(Settings());
  ASSERT_TRUE(WaitUntilStatus("200"));
  net::Tcp::socket socket(loop_);
  socket.connect(EndpointOf("clients"));
  process_->Signal(SIGTERM);
  ASSERT_TRUE(WaitUntil([this] { return process_->Output().find("event=stopping") != std::string::npos; }));
  EXPECT_TRUE(SendRequest("readiness", "/readiness").starts_with("HTTP/1.1 503"));
  asio::write(socket, asio::buffer(std::string("GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 77\r\n"
                                               "Deadline-Ms: 2000\r\n\r\n")));
  const std::string response = ReadResponse(socket, std::chrono::milliseconds(500));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  EXPECT_NE(response.find("Connection: close"), std::string::npos) << response;
  EXPECT_TRUE(WaitUntil([this] { return !process_->running(); }));
  EXPECT_EQ(process_->WaitForExit(kPollInterval), 0);
}

// Guards against a reload that ends the process or applies faulty settings.
TEST_F(EntryProcessTest, KeepsItsSettingsWhenTheNewOnesAreFaulty) {
  StartStore();
  Start(Settings());
  ASSERT_TRUE(WaitUntilReady());
  std::ofstream(folder_ + "/vm.ini") << "[vm]\nname=\n";
  process_->Signal(SIGHUP);
  ASSERT_TRUE(
      WaitUntil([this] { return process_->Output().find("event=settings_fault") != std::string::npos; }));
  EXPECT_TRUE(SendRequest("readiness", "/readiness").starts_with("HTTP/1.1 200"));
  std::ofstream(folder_ + "/vm.ini") << Settings();
  process_->Signal(SIGHUP);
  EXPECT_TRUE(WaitUntil([this] { return process_->Output().find("event=reloaded") != std::string::npos; }));
}

}  // namespace
}  // namespace cornelplank
