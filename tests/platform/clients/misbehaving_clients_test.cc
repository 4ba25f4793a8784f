#include "tests/platform/clients/misbehaviours.h"
#include "tests/platform/clients/resource_peaks.h"
#include "tests/platform/entry_process.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using testing::Crowd;
using testing::EchoReplica;
using testing::EntryProcessTest;
using testing::kBodyBytes;
using testing::kChunkBytes;
using testing::kHeaderBytes;
using testing::kMisbehaviours;
using testing::Misbehaviour;
using testing::ResourcePeaks;
using testing::RunFor;
using testing::Target;

// Limits of the VM under test. The memory is low, so that few clients reach it.
constexpr size_t kMemoryMb = 48;
constexpr size_t kMemoryBoundKb = kMemoryMb * 1024 * 8 / 10;  // 80% of memory_mb
constexpr size_t kDescriptors = 1100;
// Longer than the tests wait, so that idle connections don't end by themselves.
constexpr std::chrono::milliseconds kIdleTimeout{30000};

constexpr size_t kLargeResponseBytes = 2 << 20;

const char kResolve[] = "/resolve?name=h.example&region=r&zone=z";
const Target kTargets[] = {
    {"Route", "clients", "/a/x", "/a/large", "/a/held", ""},
    {"OnceRoute", "clients", "/once/x", "/once/large", "/once/held", ""},
    {"NoRoute", "clients", "/none/x", "/none/x", "/none/x", ""},
    {"Readiness", "readiness", "/readiness", "/readiness", "/readiness", ""},
    {"Directory", "directory", kResolve, kResolve, kResolve, ""},
    {"Hops", "hops", "/a/x", "/a/large", "/a/held", "Cornelplank-Hop: svc\r\n"},
    {"Metrics", "metrics", "/metrics", "/metrics", "/metrics", ""},
};

class ClientBoundsTest : public EntryProcessTest {
 protected:
  /// Starts the VM, its store and a replica, and waits until a request is served.
  void StartVm(std::chrono::milliseconds idle_timeout = kIdleTimeout) {
    StartStore();
    store_->Put("op/config", Config(idle_timeout));
    store_->Put("servers/i-1", Replica());
    std::string settings = Settings();
    const std::string section = "[vm]\n";
    settings.insert(
        settings.find(section) + section.size(),
        "memory_mb=" + std::to_string(kMemoryMb) + "\ndescriptors=" + std::to_string(kDescriptors) + "\n");
    Start(settings);
    peaks_.emplace(process_->pid());
    ASSERT_TRUE(WaitUntilReady());
    ASSERT_TRUE(WaitUntilStatus("200"));
  }

  /// Waits until neither the bytes sent nor the process's memory change any more, or the process has ended.
  void WaitUntilSettled(const Crowd& crowd) {
    WaitUntil([&] { return peaks_->Settled(crowd.sent()) || !process_->running(); });
  }

  /// Sends requests until `accept` takes a response. Returns false when none does within `kTimeout`.
  bool Ask(const std::string& listener, const std::string& path,
           const std::function<bool(const std::string&)>& accept) {
    return WaitUntil([&] {
      peaks_->Sample();
      return accept(SendRequest(listener, path, std::chrono::seconds(2)));
    });
  }

  /// Whether the response has its whole body, by its Content-Length.
  static bool IsComplete(const std::string& response) {
    const std::string field = "\r\nContent-Length: ";
    const size_t size = response.find(field);
    const size_t body = response.find("\r\n\r\n");
    if (!response.starts_with("HTTP/1.1 ") || body == std::string::npos || size > body) return false;
    return response.size() == body + 4 + std::stoul(response.substr(size + field.size()));
  }
  static bool IsServed(const std::string& response) {
    return response.starts_with("HTTP/1.1 200") && IsComplete(response);
  }

  EchoReplica replica_{loop_, kLargeResponseBytes};
  std::optional<ResourcePeaks> peaks_;  // of the VM, once it has started

 private:
  static std::string Config(std::chrono::milliseconds idle_timeout) {
    const auto route = [](const std::string& name, const std::string& kind) {
      return R"({"name":")" + name + R"(","host":"h.example","path_prefix":"/)" + name + R"(/","kind":")" +
             kind +
             R"(","timeout_ms":8000,"target_latency_ms":4000,"priority":1,"service":"svc","attempts":2})";
    };
    return R"({"version":4,"routes":[)" + route("a", "safe") + "," + route("once", "unsafe") +
           R"(],"services":[{"name":"svc","health_path":"/health","connection_limit":200,"cold_start_s":0,)"
           R"("cold_per_s":0}],"limits":{"header_bytes":)" +
           std::to_string(kHeaderBytes) + R"(,"body_bytes":)" + std::to_string(kBodyBytes) +
           R"(,"header_timeout_ms":3000,"idle_timeout_ms":)" + std::to_string(idle_timeout.count()) + "}}";
  }

  std::string Replica() const {
    std::string text = testing::ReplicaText("svc", replica_.Endpoint());
    const std::string slots = R"("slots":4)";
    return text.replace(text.find(slots), slots.size(), R"("slots":200)");
  }
};

class MisbehavingClientsTest : public ClientBoundsTest,
                               public ::testing::WithParamInterface<std::tuple<Misbehaviour, Target>> {};

// Guards against clients that make the VM exceed its memory or descriptors, end it, or keep it from serving
// other clients, during the misbehaviour or after it.
TEST_P(MisbehavingClientsTest, LeaveTheVmServingWithinItsBounds) {
  const auto& [misbehaviour, target] = GetParam();
  ASSERT_NO_FATAL_FAILURE(StartVm());
  peaks_->Sample();
  ASSERT_LT(peaks_->memory_kb(), kMemoryBoundKb / 2) << "without misbehaving clients";
  Crowd crowd(loop_, EndpointOf(target.listener), misbehaviour.script(target));
  WaitUntilSettled(crowd);
  EXPECT_TRUE(Ask("clients", "/a/x", IsComplete)) << "no answer beside the misbehaving clients";
  EXPECT_TRUE(process_->running()) << process_->Errors();
  crowd.Close();
  EXPECT_TRUE(Ask("clients", "/a/x", IsServed)) << "not served after the misbehaving clients";
  EXPECT_TRUE(Ask("readiness", "/readiness", IsServed)) << "not ready after the misbehaving clients";
  EXPECT_TRUE(process_->running()) << process_->Errors();
  EXPECT_GT(crowd.connected(), 0U);
  EXPECT_LT(peaks_->memory_kb(), kMemoryBoundKb);
  EXPECT_LT(peaks_->descriptors(), kDescriptors);
  RecordProperty("peak_memory_kb", static_cast<int>(peaks_->memory_kb()));
  RecordProperty("peak_descriptors", static_cast<int>(peaks_->descriptors()));
}

INSTANTIATE_TEST_SUITE_P(Clients, MisbehavingClientsTest,
                         ::testing::Combine(::testing::ValuesIn(kMisbehaviours),
                                            ::testing::ValuesIn(kTargets)),
                         [](const auto& info) {
                           return std::string(std::get<0>(info.param).name) + "At" +
                                  std::get<1>(info.param).name;
                         });

// Guards against bounds that refuse a single request of the greatest legal size that arrives slowly.
TEST_F(ClientBoundsTest, ARequestAtTheLimitsIsServed) {
  constexpr int kFields = 30;
  constexpr size_t kFieldBytes = 590;
  constexpr std::chrono::milliseconds kPause{30};
  ASSERT_NO_FATAL_FAILURE(StartVm());
  std::string head = "POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 5\r\nDeadline-Ms: 9000\r\n";
  for (int i = 4; i < kFields; ++i) {
    head += "Field-" + std::to_string(i) + ": " + std::string(kFieldBytes, 'f') + "\r\n";
  }
  head += "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n";
  ASSERT_LT(head.size(), kHeaderBytes);
  net::Tcp::socket socket(loop_);
  socket.connect(EndpointOf("clients"));
  for (size_t at = 0; at < head.size(); at += 1024) {
    asio::write(socket, asio::buffer(head.substr(at, 1024)));
    RunFor(loop_, kPause);
  }
  for (size_t at = 0; at < kBodyBytes; at += kChunkBytes) {
    asio::write(socket, asio::buffer(std::string(kChunkBytes, 'b')));
    RunFor(loop_, kPause);
  }
  std::string response;
  const std::string body = std::to_string(kBodyBytes);
  WaitUntil([&] {
    response += testing::ReadAvailable(socket);
    return response.ends_with("\r\n\r\n" + body);
  });
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  EXPECT_TRUE(response.ends_with("\r\n\r\n" + body)) << response;
}

// Guards against connections that are closed although they may be reused after four fifths of the idle
// timeout.
TEST_F(ClientBoundsTest, AnIdleConnectionIsReusable) {
  constexpr std::chrono::milliseconds kShortIdleTimeout{10000};
  ASSERT_NO_FATAL_FAILURE(StartVm(kShortIdleTimeout));
  net::Tcp::socket socket(loop_);
  socket.connect(EndpointOf("clients"));
  for (int i = 0; i < 2; ++i) {
    if (i > 0) RunFor(loop_, kShortIdleTimeout * 4 / 5);
    net::Error error;
    asio::write(
        socket,
        asio::buffer(std::string("GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 5\r\nDeadline-Ms: "
                                 "9000\r\n\r\n")),
        error);
    std::string response;
    EXPECT_TRUE(WaitUntil([&] {
      response += testing::ReadAvailable(socket);
      return IsServed(response);
    })) << "request "
        << i << ": " << response;
  }
}

}  // namespace
}  // namespace cornelplank
