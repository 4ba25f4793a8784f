// A replica answers before it has read a long body, without a length, and crashes in the middle of its
// answer. The client must not get the first half as a complete answer.

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "review/support/harness.h"

namespace review {
namespace {

constexpr char kHost[] = "docs.example";
constexpr int kBodyBytes = 2000000;      // the limit of the configuration is 4194304
constexpr int kReceiveBuffer = 65536;    // of the replica, so that most of the body stays unread
constexpr int kSegment = 1460;           // as on an Ethernet link; the loopback has much larger ones
constexpr int kShortBodyBytes = 100000;  // sent at once, though the replica does not read it either
constexpr int kTriesPerKind = 3;
constexpr int kAnswerLines = 200;
constexpr Milliseconds kBetweenHalves{700};
constexpr Milliseconds kKillAfterHalf{200};

struct Kind {
  const char* name;
  const char* path;
  bool stream;
};
constexpr Kind kKinds[] = {
    {"safe", "/safe/", false}, {"unsafe", "/unsafe/", false}, {"streaming", "/stream/", true}};

/// The whole answer to a request.
std::string AnswerBody(const std::string& id, bool stream) {
  std::string body;
  for (int i = 1; i <= kAnswerLines; ++i) {
    const std::string line = "line " + std::to_string(i) + " of the answer to " + id + "\n";
    body += stream ? "id: " + std::to_string(i) + "\ndata: " + line + "\n" : line;
  }
  return body;
}

/// Size of the first half, which ends with a line or an event.
size_t HalfOf(const std::string& body, bool stream) {
  const std::string end = stream ? "\n\n" : "\n";
  return body.find(end, body.size() / 2) + end.size();
}

/// The program of the replica's process. Prints what it does.
int RunReplica(const std::string& ip, int port) {
  Listener listener(
      ip, port,
      [](Connection& connection) {
        Message request;
        if (connection.ReadHead(&request, Milliseconds(60000)) != ReadEnd::kComplete) return;
        const std::string id = request.Header("Attempt-Id");
        const bool stream = request.Target().rfind("/stream/", 0) == 0;
        const std::string body = AnswerBody(id, stream);
        const size_t half = HalfOf(body, stream);
        std::cout << "runs " << id << std::endl;
        connection.Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: whole." +
                         std::to_string(body.size()) + "\r\n" +
                         (stream ? "Content-Type: text/event-stream\r\n" : "") + "Connection: close\r\n\r\n" +
                         body.substr(0, half));
        std::cout << "half " << id << std::endl;
        SleepFor(kBetweenHalves);
        connection.Write(body.substr(half));
        std::cout << "whole " << id << std::endl;
        connection.CloseGracefully();
      },
      kReceiveBuffer, kSegment);
  SleepFor(std::chrono::minutes(2));
  return 0;
}

bool Contains(const std::string& path, const std::string& text) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (line == text) return true;
  }
  return false;
}

std::string Config() {
  std::string routes;
  for (const Kind& kind : kKinds) {
    routes +=
        (routes.empty() ? "" : ",") + std::string("{\"name\":\"") + kind.name + "\",\"host\":\"" + kHost +
        "\",\"path_prefix\":\"" + kind.path + "\",\"kind\":\"" + kind.name +
        "\",\"timeout_ms\":4000,\"target_latency_ms\":1200,\"priority\":1,\"service\":\"docs\","
        "\"attempts\":1,\"sticky\":false,\"resumable\":false,\"target_gap_ms\":300,\"home_regions\":[]}";
  }
  return "{\"version\":7,\"routes\":[" + routes +
         "],\"services\":[{\"name\":\"docs\",\"health_path\":\"/health\",\"connection_limit\":100,"
         "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
         "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000}}";
}

/// Sends one request, to a replica of its own. Returns whether the rule held.
bool Try(Store& store, Fleet& fleet, const Kind& kind, int number, int body_bytes,
         const std::string& program) {
  const std::string name = std::string(kind.name) + std::to_string(number);
  const std::string id = "a-" + name;
  const Address address{RunIp(20), FreePorts({RunIp(20)}, 1).front()};
  const std::string log = std::string(std::getenv("REVIEW_FOLDER")) + "/replica-" + name + ".log";
  const pid_t replica = StartChild(program, {"replica", address.ip, std::to_string(address.port)}, {}, log);
  if (!WaitUntil([&] { return Connection::Open(address, Milliseconds(100)) != nullptr; },
                 Milliseconds(3000))) {
    Abandon("the replica doesn't listen");
  }
  store.Put("servers/i-" + name, ReplicaEntry("docs", address, "z1", 8, "ready", WallClockMs()));
  SleepFor(Milliseconds(500));

  const auto client = Connection::Open(fleet.Frontend(0));
  if (!client) Abandon("the VM takes no connection");
  std::thread killer([&] {
    if (!Trouble()) return;
    WaitUntil([&] { return Contains(log, "half " + id); }, Milliseconds(4000));
    SleepFor(kKillAfterHalf);
    kill(replica, SIGKILL);
    Record::Line("replica i-" + name + " is killed");
  });
  Record::Line("request " + id + " is sent, " + std::to_string(body_bytes) + " bytes");
  client->Write("POST " + std::string(kind.path) + "x HTTP/1.1\r\nHost: " + kHost + "\r\nAttempt-Id: " + id +
                "\r\nDeadline-Ms: 6000\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
                std::string(static_cast<size_t>(body_bytes), 'x'));
  Message answer;
  ReadEnd end = client->ReadHead(&answer, Milliseconds(7000));
  if (end == ReadEnd::kComplete) end = client->ReadBody(&answer, Milliseconds(7000));
  killer.join();
  const std::string whole = AnswerBody(id, kind.stream);
  const bool success = answer.Status() / 100 == 2;
  const bool complete = end == ReadEnd::kComplete;
  const bool broken = success && complete && answer.body != whole;
  Record::Line("request " + id + ": " + std::to_string(answer.Status()) + ", signature '" +
               answer.Header("Response-Signature") + "', " + ReadEndName(end) + ", " +
               std::to_string(answer.body.size()) + " of " + std::to_string(whole.size()) + " bytes" +
               (broken ? "  <- BROKEN: looks complete" : ""));
  if (!Trouble() && !(success && complete && answer.body == whole)) {
    Record::Line("  without trouble the whole answer was due");
    Abandon("the undisturbed request wasn't served");
  }
  kill(replica, SIGKILL);
  store.Remove("servers/i-" + name);
  SleepFor(Milliseconds(2600));  // until the VM has forgotten the replica
  return !broken;
}

[[noreturn]] void RunCase(const std::string& program) {
  Store store(RunIp(10));
  store.Put("op/config", Config());
  Fleet fleet({{RunIp(1), "z1"}}, "z1:r1", {store.address()});
  fleet.Start(0);
  fleet.AwaitReady(0);
  int broken = 0;
  int tries = 1;
  for (const Kind& kind : kKinds) {
    for (int number = 1; number <= kTriesPerKind; ++number) {
      ++tries;
      if (!Try(store, fleet, kind, number, kBodyBytes, program)) ++broken;
    }
  }
  // The same crash with a body that the VM has sent whole: the VM gets the reset and reports it.
  const bool control_held = Try(store, fleet, kKinds[0], 0, kShortBodyBytes, program);
  Record::Line(std::string("the same with a short body: ") + (control_held ? "held" : "broken"));
  if (!control_held) ++broken;
  Record::Line("MIXED: " + std::to_string(broken) + " of " + std::to_string(tries) +
               " answers were cut in half and looked complete");
  std::cout << broken << " of " << tries << " answers were cut in half and looked complete\n";
  Finish(broken > 0 ? kRuleBroken : kRuleHeld);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc == 4 && std::string(argv[1]) == "replica") {
    return review::RunReplica(argv[2], std::atoi(argv[3]));
  }
  review::RunCase(argv[0]);
}
