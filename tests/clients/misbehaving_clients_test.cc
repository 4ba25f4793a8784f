#include <charconv>

#include "tests/clients/crowd.h"
#include "tests/platform/entry_process.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using testing::ClientScript;
using testing::Crowd;
using testing::EchoReplica;
using testing::EntryProcessTest;
using testing::RunFor;

// Limits of the VM under test. The memory is low, so that few clients reach it.
constexpr size_t kMemoryMb = 48;
constexpr size_t kMemoryBoundKb = kMemoryMb * 1024 * 8 / 10;  // 80% of memory_mb
constexpr size_t kDescriptors = 1100;
constexpr size_t kHeaderBytes = 16384;
constexpr size_t kBodyBytes = 1 << 20;
// Longer than the tests wait, so that idle connections don't end by themselves.
constexpr std::chrono::milliseconds kIdleTimeout{30000};

constexpr size_t kChunkBytes = 65536;
constexpr size_t kSmallPieceBytes = 512;
constexpr size_t kLargeResponseBytes = 2 << 20;

/// What the misbehaving clients address.
struct Target {
  const char* name;
  const char* listener;
  const char* path;
  const char* large_path;  // has a large response where there is one
  const char* held_path;   // its requests stay in progress for a while where that is possible
  const char* extra_header;

  friend void PrintTo(const Target& target, std::ostream* out) { *out << target.name; }
};

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

/// The head of a request without its last line, so that fields can follow.
std::string OpenHead(const Target& target, const std::string& method, const std::string& path) {
  return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 5\r\nDeadline-Ms: 9000\r\n" +
         target.extra_header;
}

std::string UploadHead(const Target& target, size_t bytes) {
  return OpenHead(target, "POST", target.path) + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string ChunkedHead(const Target& target) {
  return OpenHead(target, "POST", target.path) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string ChunkStart() {
  char size[8];
  const auto end = std::to_chars(std::begin(size), std::end(size), kChunkBytes, 16).ptr;
  return std::string(size, end) + "\r\n";
}

std::string Chunk() { return ChunkStart() + std::string(kChunkBytes, 'b') + "\r\n"; }

/// A head of nearly the legal size that consists of very many short fields, without its last line.
std::string ShortFields(const Target& target) {
  std::string head = OpenHead(target, "GET", target.held_path) + "Padding: ";
  // The parser takes fields one by one as they arrive, unless the first 512 bytes end with 3 or more bytes
  // that it can't take yet; then it waits for the last line. They end 2 bytes after a field here.
  while (head.size() % 4 != 0) head += "p";
  head += "\r\n";
  while (head.size() + 64 < kHeaderBytes) head += "a:\r\n";
  return head;
}

struct Misbehaviour {
  const char* name;
  ClientScript (*script)(const Target& target);

  friend void PrintTo(const Misbehaviour& misbehaviour, std::ostream* out) { *out << misbehaviour.name; }
};

const Misbehaviour kMisbehaviours[] = {
    {"BodyWithoutLastByte",
     [](const Target& target) {
       return ClientScript{.clients = 64,
                           .start = UploadHead(target, kBodyBytes),
                           .piece = std::string(kBodyBytes - 1, 'b'),
                           .pieces = 1};
     }},
    {"BodyInSmallPieces",
     [](const Target& target) {
       return ClientScript{.clients = 64,
                           .start = UploadHead(target, kBodyBytes),
                           .piece = std::string(kSmallPieceBytes, 'b'),
                           .pieces = kBodyBytes / kSmallPieceBytes - 1,
                           .end = std::string(kSmallPieceBytes - 1, 'b')};
     }},
    {"ChunkedBodyWithoutLastByte",
     [](const Target& target) {
       return ClientScript{.clients = 64,
                           .start = ChunkedHead(target),
                           .piece = Chunk(),
                           .pieces = kBodyBytes / kChunkBytes - 1,
                           .end = ChunkStart() + std::string(kChunkBytes - 1, 'b')};
     }},
    {"EndlessChunkedBody",
     [](const Target& target) {
       return ClientScript{.clients = 64, .start = ChunkedHead(target), .piece = Chunk(), .pieces = 160};
     }},
    {"BodyFarOverTheLimit",
     [](const Target& target) {
       return ClientScript{.clients = 64,
                           .start = UploadHead(target, 1 << 30),
                           .piece = std::string(kChunkBytes, 'b'),
                           .pieces = 160};
     }},
    {"ShortFields",
     [](const Target& target) {
       return ClientScript{.clients = 180, .start = ShortFields(target), .end = "\r\n"};
     }},
    {"ShortFieldsWithoutLastLine",
     [](const Target& target) { return ClientScript{.clients = 180, .start = ShortFields(target)}; }},
    {"PipelinedRequests",
     [](const Target& target) {
       std::string requests;
       for (int i = 0; i < 100; ++i) requests += OpenHead(target, "GET", target.path) + "\r\n";
       return ClientScript{.clients = 8, .piece = requests, .pieces = 20};
     }},
    {"UnreadResponse",
     [](const Target& target) {
       return ClientScript{.clients = 64, .start = OpenHead(target, "GET", target.large_path) + "\r\n"};
     }},
    {"ByteAtATime",
     [](const Target& target) {
       return ClientScript{.clients = 250,
                           .start = OpenHead(target, "GET", target.path),
                           .byte_interval = std::chrono::milliseconds(100)};
     }},
    {"HalfAHead",
     [](const Target& target) {
       return ClientScript{.clients = 250, .start = OpenHead(target, "GET", target.path)};
     }},
    {"IdleConnections", [](const Target&) { return ClientScript{.clients = 1200}; }},
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
    ASSERT_TRUE(WaitUntilReady());
    ASSERT_TRUE(WaitUntilStatus("200"));
  }

  /// Greatest resident memory of the process so far; 0 when it has ended.
  size_t PeakMemoryKb() const {
    std::ifstream status("/proc/" + std::to_string(process_->pid()) + "/status");
    const std::string key = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with(key)) return std::stoul(line.substr(key.size()));
    }
    return 0;
  }

  size_t OpenDescriptors() const {
    std::error_code error;  // the process may have ended
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(process_->pid()) + "/fd",
                                                    error);
    return error ? 0 : static_cast<size_t>(std::distance(begin(files), end(files)));
  }

  /// Records the peaks of memory and descriptors.
  void Sample() {
    peak_memory_kb_ = std::max(peak_memory_kb_, PeakMemoryKb());
    peak_descriptors_ = std::max(peak_descriptors_, OpenDescriptors());
  }

  /// Waits until neither the bytes sent nor the process's memory change any more, or the process has ended.
  void WaitUntilSettled(const Crowd& crowd) {
    constexpr int kQuietPolls = 25;
    int quiet_polls = 0;
    size_t sent = 0;
    size_t memory = 0;
    WaitUntil([&] {
      Sample();
      const bool quiet = crowd.sent() == sent && peak_memory_kb_ == memory;
      quiet_polls = quiet ? quiet_polls + 1 : 0;
      sent = crowd.sent();
      memory = peak_memory_kb_;
      return quiet_polls >= kQuietPolls || !process_->running();
    });
  }

  /// Sends requests until `accept` takes a response. Returns false when none does within `kTimeout`.
  bool Ask(const std::string& listener, const std::string& path,
           const std::function<bool(const std::string&)>& accept) {
    return WaitUntil([&] {
      Sample();
      return accept(SendRequest(listener, path, std::chrono::seconds(2)));
    });
  }

  static bool IsComplete(const std::string& response) {
    return response.starts_with("HTTP/1.1 ") && response.find("\r\n\r\n") != std::string::npos;
  }
  static bool IsServed(const std::string& response) {
    return response.starts_with("HTTP/1.1 200") && IsComplete(response);
  }

  EchoReplica replica_{loop_, kLargeResponseBytes};
  size_t peak_memory_kb_ = 0;
  size_t peak_descriptors_ = 0;

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
  Sample();
  ASSERT_LT(peak_memory_kb_, kMemoryBoundKb / 2) << "without misbehaving clients";
  Crowd crowd(loop_, EndpointOf(target.listener), misbehaviour.script(target));
  WaitUntilSettled(crowd);
  EXPECT_TRUE(Ask("clients", "/a/x", IsComplete)) << "no answer beside the misbehaving clients";
  EXPECT_TRUE(process_->running()) << process_->Errors();
  crowd.Close();
  EXPECT_TRUE(Ask("clients", "/a/x", IsServed)) << "not served after the misbehaving clients";
  EXPECT_TRUE(Ask("readiness", "/readiness", IsServed)) << "not ready after the misbehaving clients";
  EXPECT_TRUE(process_->running()) << process_->Errors();
  EXPECT_GT(crowd.connected(), 0U);
  EXPECT_LT(peak_memory_kb_, kMemoryBoundKb);
  EXPECT_LT(peak_descriptors_, kDescriptors);
  RecordProperty("peak_memory_kb", static_cast<int>(peak_memory_kb_));
  RecordProperty("peak_descriptors", static_cast<int>(peak_descriptors_));
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
  constexpr size_t kFieldBytes = 500;
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
