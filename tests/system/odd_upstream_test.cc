#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <thread>

#include "tests/system/harness/deployment.h"

namespace cornelplank::harness {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPartner[] = "gavekvittering";
constexpr size_t kBodyBytes = 12'000'000;  // more than the buffers of a connection
constexpr size_t kBodyLimit = 16 << 20;

/// How the upstream ends its connection after its answer.
enum class Ending {
  kOrderly,            // after it has read the whole request
  kResetAtOnce,        // while the request is being sent
  kResetLater,         // 150 ms later
  kCrashWhileReading,  // closed after all that had arrived was read, as the kernel does for a process that
                       // crashes
};

/// An engine and a replica of a service in one server. It answers a call as soon as it has read the head of
/// the request, and its other requests as a loaded engine does.
class OddUpstream {
 public:
  /// `answer`: as sent, with the id of the request in place of "ID".
  OddUpstream(std::string answer, Ending ending) : answer_(std::move(answer)), ending_(ending) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    // A small buffer and small segments, so that most of a long request waits in the sender.
    const int buffer = 65536;
    const int segment = 1460;
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
    setsockopt(listener_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(listener_, generic, size) != 0 || listen(listener_, SOMAXCONN) != 0) {
      throw std::runtime_error("can't listen");
    }
    getsockname(listener_, generic, &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Run(); });
  }
  ~OddUpstream() {
    shutdown(listener_, SHUT_RDWR);  // ends `accept`
    thread_.join();
    close(listener_);
  }
  OddUpstream(const OddUpstream&) = delete;
  OddUpstream& operator=(const OddUpstream&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  /// The number of calls that ended as `ending` says, which a crash does only when some of the body is
  /// unread.
  int calls() const { return calls_; }

 private:
  void Run() {
    for (int connection; (connection = accept(listener_, nullptr, nullptr)) >= 0;) {
      const timeval timeout{5, 0};
      setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
      Serve(connection);
      close(connection);
    }
  }

  static void Write(int connection, const std::string& text) {
    send(connection, text.data(), text.size(), MSG_NOSIGNAL);
  }

  /// Appends bytes that have arrived. Returns false when there are none, or the connection has ended.
  static bool ReadSome(int connection, std::string* out, int flags) {
    char part[65536];
    const ssize_t size = recv(connection, part, sizeof part, flags);
    if (size > 0) out->append(part, static_cast<size_t>(size));
    return size > 0;
  }

  void Serve(int connection) {
    std::string request;
    size_t head = std::string::npos;
    while ((head = request.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadSome(connection, &request, 0)) return;
    }
    std::string body = request.substr(head + 4);
    request.resize(head);
    if (!request.starts_with("POST /v1/") && !request.starts_with("POST /receipts")) {
      const std::string load = R"({"state":"ready","models":[{"model":"letter","version":"1"}],"events":[]})";
      return Write(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
                                   std::to_string(load.size()) + "\r\n\r\n" + load);
    }
    const size_t length = std::strtoul(FieldOf(request, "Content-Length").c_str(), nullptr, 10);
    while (ending_ == Ending::kOrderly && body.size() < length) {
      if (!ReadSome(connection, &body, 0)) return;
    }
    Write(connection, AnswerTo(request));
    if (ending_ == Ending::kResetLater) std::this_thread::sleep_for(milliseconds{150});
    while (ending_ == Ending::kCrashWhileReading && ReadSome(connection, &body, MSG_DONTWAIT)) {
    }
    const linger reset{1, 0};
    if (ending_ == Ending::kResetAtOnce || ending_ == Ending::kResetLater) {
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    if (ending_ == Ending::kOrderly || body.size() < length) ++calls_;
  }

  static std::string FieldOf(const std::string& request, const std::string& name) {
    const std::string field = "\r\n" + name + ": ";
    const size_t at = request.find(field);
    if (at == std::string::npos) return "";
    const size_t begin = at + field.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
  }

  std::string AnswerTo(const std::string& request) const {
    std::string answer = answer_;
    const size_t mark = answer.find("ID");
    if (mark != std::string::npos) answer.replace(mark, 2, FieldOf(request, "Request-Id"));
    return answer;
  }

  const std::string answer_;
  const Ending ending_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<int> calls_{0};
  std::thread thread_;
};

/// What a client of the gateway requests.
enum class Call { kService, kWholeAnswer, kStream };

/// A gateway process in front of an OddUpstream.
class OddUpstreamTest : public testing::Test {
 protected:
  void StartGateway() {
    deployment_.AddClient("home", kPartner, "ost", std::string(kPartner) + "-home");
    deployment_.Publish();
    deployment_.StartVm("a", "ost-1", kBodyLimit);
    ASSERT_TRUE(deployment_.WaitForVersion(1, seconds{10})) << processes_.Logs();
  }

  /// Starts the upstream and the gateway, and sends calls until one has ended at the upstream. Returns its
  /// reply.
  Reply ReplyOver(OddUpstream& upstream, Call call) {
    if (call == Call::kService) deployment_.AddServiceAt("odd", kPartner, "ost-1", upstream.address());
    if (call != Call::kService) deployment_.AddEngineAt("odd", kPartner, "ost-1", upstream.address());
    StartGateway();
    Reply reply;
    EXPECT_TRUE(WaitUntil(seconds{15},
                          [&] {
                            reply = Send(call);
                            return upstream.calls() > 0;
                          }))
        << reply.body << processes_.Logs();
    return reply;
  }

  Reply Send(Call call) {
    const std::string text(kBodyBytes, 'x');
    const http::Headers headers{{"Authorization", "Bearer key-home"}};
    const std::string url = deployment_.clients_url("a") + "/v1/";
    if (call == Call::kService) {
      return processes_.Post(url + "services/ledger/receipts", {{"text", text}}, headers);
    }
    return processes_.Post(url + "chat/completions",
                           {{"model", "letter"},
                            {"messages", {{{"role", "user"}, {"content", "hello"}}}},
                            {"padding", text},
                            {"stream", call == Call::kStream}},
                           headers);
  }

  TestProcesses processes_;
  Deployment deployment_{&processes_};
};

struct CallCase {
  const char* name;
  Call call;
  std::string body;  // of the answer
};
// A stream's text would have further events, and a whole answer is not cut inside its JSON text.
const CallCase kService{"Service", Call::kService, "first part"};
const CallCase kWholeAnswer{"WholeAnswer", Call::kWholeAnswer, R"({"id":"ID","choices":[]})"};
const CallCase kStream{"Stream", Call::kStream, "data: {\"id\":\"ID\",\"index\":0}\n\n"};

struct EndingCase {
  const char* name;
  Ending ending;
};
class GatewayEarlyAnswerTest : public OddUpstreamTest,
                               public testing::WithParamInterface<std::tuple<CallCase, EndingCase>> {};

// Guards against the first part of an answer that the gateway passes on as a whole one, since its upstream
// answered early and without a length and then broke the connection.
TEST_P(GatewayEarlyAnswerTest, ThatIsCutIsNotWhole) {
  const auto& [call, ending] = GetParam();
  OddUpstream upstream("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + call.body, ending.ending);
  const Reply reply = ReplyOver(upstream, call.call);
  EXPECT_NE(reply.status, 200) << reply.body;
  if (reply.status != 0) {
    EXPECT_EQ(reply.Json().value("outcome", ""), "unknown") << reply.body;
  }
}

std::string EarlyAnswerName(const testing::TestParamInfo<GatewayEarlyAnswerTest::ParamType>& info) {
  return std::string(std::get<0>(info.param).name) + std::get<1>(info.param).name;
}

INSTANTIATE_TEST_SUITE_P(Answers, GatewayEarlyAnswerTest,
                         testing::Combine(testing::Values(kService, kWholeAnswer, kStream),
                                          testing::Values(EndingCase{"ResetAtOnce", Ending::kResetAtOnce},
                                                          EndingCase{"ResetLater", Ending::kResetLater},
                                                          EndingCase{"CrashWhileReading",
                                                                     Ending::kCrashWhileReading})),
                         EarlyAnswerName);

struct StatusCase {
  const char* name;
  CallCase call;
  std::string status;
  int reply;  // status of the client's response
};
class GatewayStatusTest : public OddUpstreamTest, public testing::WithParamInterface<StatusCase> {};

// Guards against an invalid status of an upstream that becomes that of the client's response.
TEST_P(GatewayStatusTest, IsOneOfAFinalResponse) {
  const StatusCase& param = GetParam();
  OddUpstream upstream("HTTP/1.1 " + param.status + "\r\nConnection: close\r\n\r\n" + param.call.body,
                       Ending::kOrderly);
  const Reply reply = ReplyOver(upstream, param.call.call);
  EXPECT_EQ(reply.status, param.reply) << reply.body;
}

INSTANTIATE_TEST_SUITE_P(Statuses, GatewayStatusTest,
                         testing::Values(StatusCase{"ServiceOk", kService, "200 OK", 200},
                                         StatusCase{"ServiceLastError", kService, "599 No", 599},
                                         StatusCase{"ServiceZero", kService, "000 No", 503},
                                         StatusCase{"ServiceBelowInterim", kService, "099 No", 503},
                                         StatusCase{"ServiceSwitchingProtocols", kService, "101 Up", 503},
                                         StatusCase{"ServiceAboveErrors", kService, "600 No", 503},
                                         StatusCase{"EngineOk", kWholeAnswer, "200 OK", 200},
                                         StatusCase{"EngineZero", kWholeAnswer, "000 No", 503},
                                         StatusCase{"EngineBelowInterim", kWholeAnswer, "099 No", 503},
                                         StatusCase{"EngineAboveErrors", kWholeAnswer, "600 No", 503}),
                         [](const auto& info) { return info.param.name; });

struct SignalCase {
  const char* name;
  int signal;
};
class GatewayFatalSignalTest : public OddUpstreamTest, public testing::WithParamInterface<SignalCase> {};

// Guards against a gateway that ends by a fault without a line that says so and where.
TEST_P(GatewayFatalSignalTest, LeavesOneLineWithTheStack) {
  StartGateway();
  Process& gateway = processes_.at("a");
  gateway.Signal(GetParam().signal);
  EXPECT_EQ(gateway.WaitForExit(seconds{15}), 128 + GetParam().signal);
  const std::string errors = gateway.Errors();
  const size_t begin = errors.find(" event=fatal_signal signal=" + std::string(GetParam().name) +
                                   " sender_pid=" + std::to_string(getpid()) + " stack=\"");
  ASSERT_NE(begin, std::string::npos) << errors;
  EXPECT_EQ(errors.find("event=fatal_signal", begin + 10), std::string::npos) << errors;
  const std::string line = errors.substr(begin, errors.find('\n', begin) - begin);
  EXPECT_NE(line.find(" cornelplank-gateway+0x"), std::string::npos) << line;
  EXPECT_TRUE(line.ends_with('"')) << line;
}

INSTANTIATE_TEST_SUITE_P(Signals, GatewayFatalSignalTest,
                         testing::Values(SignalCase{"SIGSEGV", SIGSEGV}, SignalCase{"SIGABRT", SIGABRT}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cornelplank::harness
