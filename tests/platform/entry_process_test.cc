#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "tests/platform/fake_store.h"
#include "tests/system/harness/process.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using harness::Process;
using testing::FakeStore;
using testing::RunFor;
using testing::ScriptedServer;

constexpr std::chrono::milliseconds kStep{20};
constexpr std::chrono::seconds kPatience{15};  // beside busy processes

/// The program `cornelplank-entry` with its settings; the store and replicas run on the loop of the test.
class EntryProcessTest : public ::testing::Test {
 protected:
  EntryProcessTest() {
    folder_ = ::testing::TempDir() + "entry-" + std::to_string(getpid());
    std::filesystem::create_directories(folder_);
    for (const char* name : {"clients", "readiness", "directory", "beats", "hops", "metrics", "store"}) {
      ports_[name] = harness::FreePort();
    }
  }
  ~EntryProcessTest() override { std::filesystem::remove_all(folder_); }

  /// An address of this test process alone, so that no other one takes its ports meanwhile.
  static net::Tcp::endpoint Address(uint16_t port) {
    const auto pid = static_cast<uint32_t>(getpid());
    return {asio::ip::address_v4(0x7f010000 | (pid & 0xffff)), port};
  }
  net::Tcp::endpoint EndpointOf(const std::string& name) { return Address(ports_.at(name)); }
  std::string At(const std::string& name) {
    const auto endpoint = EndpointOf(name);
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }

  std::string Settings() {
    std::string text = "[vm]\nname=vm-1\nip=" + Address(0).address().to_string() +
                       "\nzone=z\nzones=z:r\nseeds=" + At("beats") + "\n[listen]\n";
    for (const char* name : {"clients", "readiness", "directory", "beats", "hops", "metrics"}) {
      text += std::string(name) + "=" + At(name) + "\n";
    }
    return text + "[store]\naddress=" + At("store") + "\n[limits]\nsecond_sends=10\ngrace=3s\n";
  }

  void Start(const std::string& settings) {
    const std::string path = folder_ + "/vm.ini";
    std::ofstream(path) << settings;
    process_ = Process::Start(folder_, "entry", "cornelplank-entry", {"--settings", path});
    ASSERT_NE(process_, nullptr);
  }

  void StartStore() {
    store_ = std::make_unique<FakeStore>(loop_, EndpointOf("store"));
    store_->Put("op/config", testing::ConfigText(3));
  }

  /// The answer to one request, up to `limit`; empty when none came.
  std::string Ask(const std::string& port, const std::string& target,
                  std::chrono::milliseconds limit = std::chrono::milliseconds(500)) {
    net::Tcp::socket socket(loop_);
    net::Error error;
    socket.connect(EndpointOf(port), error);
    if (error) return "";
    asio::write(socket,
                asio::buffer("GET " + target +
                             " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 77\r\nDeadline-Ms: 2000\r\n"
                             "Connection: close\r\n\r\n"),
                error);
    return ReadAnswer(socket, limit);
  }

  std::string ReadAnswer(net::Tcp::socket& socket, std::chrono::milliseconds limit) {
    std::string answer;
    socket.non_blocking(true);
    for (std::chrono::milliseconds waited{0}; waited < limit; waited += kStep) {
      RunFor(loop_, kStep);
      char part[4096];
      net::Error error;
      const size_t size = socket.read_some(asio::buffer(part), error);
      answer.append(part, size);
      if (error && error != asio::error::would_block) break;
    }
    return answer;
  }

  bool Await(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (std::chrono::steady_clock::now() < end) {
      if (condition()) return true;
      RunFor(loop_, kStep);
    }
    return false;
  }

  bool AwaitReady() {
    return Await([this] { return Ask("readiness", "/readiness").starts_with("HTTP/1.1 200"); });
  }

  bool AwaitAnswer(const std::string& status) {
    return Await([&] { return Ask("clients", "/a/x").starts_with("HTTP/1.1 " + status); });
  }

  asio::io_context loop_{1};
  // Without a store or replica the loop has nothing else to wait for.
  asio::executor_work_guard<asio::io_context::executor_type> guard_{loop_.get_executor()};
  std::string folder_;
  std::map<std::string, uint16_t> ports_;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<Process> process_;
};

const char kAnswer[] =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody";

struct FaultCase {
  const char* name;
  std::string section;
  std::string from;
  std::string to;
  std::string named;  // in the message
};
class BadSettingsTest : public EntryProcessTest, public ::testing::WithParamInterface<FaultCase> {};

// Guards against a VM that starts with settings that it can't keep.
TEST_P(BadSettingsTest, EndTheProgramWithAClearLine) {
  std::string settings = Settings();
  const size_t place = settings.find(GetParam().from);
  ASSERT_NE(place, std::string::npos);
  settings.replace(place, GetParam().from.size(), GetParam().to);
  Start(settings);
  EXPECT_EQ(process_->WaitForExit(kPatience), 2);
  EXPECT_NE(process_->Errors().find(GetParam().named), std::string::npos) << process_->Errors();
}

INSTANTIATE_TEST_SUITE_P(
    Faults, BadSettingsTest,
    ::testing::Values(FaultCase{"NoName", "vm", "name=vm-1\n", "", "name"},
                      FaultCase{"UnknownZone", "vm", "zone=z\n", "zone=y\n", "zone"},
                      FaultCase{"NoPort", "store", "[store]\naddress=", "[store]\naddress=;", "address"},
                      FaultCase{"GraceIsNoTime", "limits", "grace=3s", "grace=soon", "grace"},
                      FaultCase{"UnknownKey", "limits", "grace=3s", "grave=3s", "grave"}),
    [](const auto& info) { return info.param.name; });

// Guards against a VM that says it is ready, or tells clients that routes don't exist, before it has read the
// configuration, and against one that never finds a store that comes later.
TEST_F(EntryProcessTest, RefusesUntilTheStoreIsThereAndThenServes) {
  Start(Settings());
  ASSERT_TRUE(AwaitAnswer("503"));
  const std::string refusal = Ask("clients", "/a/x");
  EXPECT_NE(refusal.find("Retry-After: "), std::string::npos) << refusal;
  const std::string readiness = Ask("readiness", "/readiness");
  EXPECT_TRUE(readiness.starts_with("HTTP/1.1 503")) << readiness;
  ScriptedServer replica(loop_, kAnswer, ScriptedServer::Ending::kKeepOpen);
  StartStore();
  store_->Put("servers/i-1", testing::ReplicaText("svc", replica.Endpoint()));
  ASSERT_TRUE(AwaitReady());
  ASSERT_TRUE(AwaitAnswer("200"));
  EXPECT_TRUE(Ask("clients", "/none/x").starts_with("HTTP/1.1 404"));
  const std::string metrics = Ask("metrics", "/metrics");
  EXPECT_NE(metrics.find("cornelplank_requests_total{hop=\"0\",outcome=\"answered\""), std::string::npos)
      << metrics;
  EXPECT_NE(metrics.find("cornelplank_first_byte_seconds_bucket"), std::string::npos);
  EXPECT_NE(metrics.find("cornelplank_state{kind=\"config_version\"} 3"), std::string::npos);
}

// Guards against a VM that stops serving what it knows when the store goes away.
TEST_F(EntryProcessTest, ServesOnWithoutTheStore) {
  ScriptedServer replica(loop_, kAnswer, ScriptedServer::Ending::kKeepOpen);
  StartStore();
  store_->Put("servers/i-1", testing::ReplicaText("svc", replica.Endpoint()));
  Start(Settings());
  ASSERT_TRUE(AwaitAnswer("200"));
  store_->SetMode(FakeStore::Mode::kSilent);
  RunFor(loop_, std::chrono::seconds(3));
  EXPECT_TRUE(Ask("clients", "/a/x").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(Ask("readiness", "/readiness").starts_with("HTTP/1.1 200"));
}

// Guards against work at replicas for clients that have left.
TEST_F(EntryProcessTest, EndsTheAttemptOfAClientThatLeaves) {
  ScriptedServer replica(loop_, " ", ScriptedServer::Ending::kKeepOpen);
  StartStore();
  store_->Put("servers/i-1", testing::ReplicaText("svc", replica.Endpoint()));
  Start(Settings());
  ASSERT_TRUE(AwaitReady());
  Ask("clients", "/a/x", std::chrono::milliseconds(300));  // closes after that time
  ASSERT_GE(replica.connections(), 1);
  EXPECT_TRUE(Await([&] { return process_->Output().find("event=client_gone") != std::string::npos; }));
}

// Guards against answers that a shutdown cuts, and against a process that does not end.
TEST_F(EntryProcessTest, AnswersOpenConnectionsBeforeItStops) {
  ScriptedServer replica(loop_, kAnswer, ScriptedServer::Ending::kKeepOpen);
  StartStore();
  store_->Put("servers/i-1", testing::ReplicaText("svc", replica.Endpoint()));
  Start(Settings());
  ASSERT_TRUE(AwaitAnswer("200"));
  net::Tcp::socket socket(loop_);
  socket.connect(EndpointOf("clients"));
  process_->Signal(SIGTERM);
  ASSERT_TRUE(Await([this] { return process_->Output().find("event=stopping") != std::string::npos; }));
  EXPECT_TRUE(Ask("readiness", "/readiness").starts_with("HTTP/1.1 503"));
  asio::write(socket, asio::buffer(std::string("GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 77\r\n"
                                               "Deadline-Ms: 2000\r\n\r\n")));
  const std::string answer = ReadAnswer(socket, std::chrono::milliseconds(500));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  EXPECT_TRUE(Await([this] { return !process_->running(); }));
  EXPECT_EQ(process_->WaitForExit(kStep), 0);
}

// Guards against a reload that ends the process or takes over faulty settings.
TEST_F(EntryProcessTest, KeepsItsSettingsWhenTheNewOnesAreFaulty) {
  StartStore();
  Start(Settings());
  ASSERT_TRUE(AwaitReady());
  std::ofstream(folder_ + "/vm.ini") << "[vm]\nname=\n";
  process_->Signal(SIGHUP);
  ASSERT_TRUE(Await([this] { return process_->Output().find("event=settings_fault") != std::string::npos; }));
  EXPECT_TRUE(Ask("readiness", "/readiness").starts_with("HTTP/1.1 200"));
  std::ofstream(folder_ + "/vm.ini") << Settings();
  process_->Signal(SIGHUP);
  EXPECT_TRUE(Await([this] { return process_->Output().find("event=reloaded") != std::string::npos; }));
}

}  // namespace
}  // namespace cornelplank
