#include <gtest/gtest.h>

#include <csignal>
#include <future>

#include "tests/system/harness/test_processes.h"

namespace cornelplank::harness {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

json ChatBody(unsigned max_tokens, bool stream = true) {
  return {{"model", "m"},
          {"messages", {{{"role", "user"}, {"content", "hello"}}}},
          {"max_tokens", max_tokens},
          {"stream", stream}};
}

void StartEngine(TestProcesses& processes, const std::string& name, const std::string& ms_per_token) {
  processes.StartListening(name, "standin-engine",
                           {"--model", "m", "--ms-per-token", ms_per_token, "--prefill-us-per-token", "10"});
}

std::future<Reply> PostAsync(TestProcesses& processes, const std::string& url, const json& body,
                             const http::Headers& headers = {}, milliseconds timeout = seconds{10}) {
  return std::async(std::launch::async, [&processes, url, body, headers, timeout] {
    return processes.Post(url, body, headers, timeout);
  });
}

class OptionsTest : public testing::TestWithParam<const char*> {};

// Guards against a program that lacks --help, --version or --check, or that accepts an unknown option.
TEST_P(OptionsTest, HelpVersionCheckAndBadOption) {
  TestProcesses processes;
  EXPECT_EQ(processes.Start("help", GetParam(), {"--help"}).WaitForExit(seconds{10}), 0);
  EXPECT_EQ(processes.Start("version", GetParam(), {"--version"}).WaitForExit(seconds{10}), 0);
  EXPECT_EQ(processes.at("version").Output(), "0.1.0\n");
  std::vector<std::string> check{"--check"};
  if (std::string(GetParam()) == "standin-relay") {
    check.insert(check.end(), {"--listen", "127.0.0.1:0", "--to", "127.0.0.1:1"});
  }
  EXPECT_EQ(processes.Start("check", GetParam(), check).WaitForExit(seconds{10}), 0);
  EXPECT_EQ(processes.Start("bad", GetParam(), {"--no-such-option"}).WaitForExit(seconds{10}), 2);
}

INSTANTIATE_TEST_SUITE_P(Table, OptionsTest,
                         testing::Values("standin-engine", "standin-service", "standin-platform",
                                         "standin-relay"),
                         [](const auto& info) { return std::string(info.param).substr(8); });

// Guards against an engine that breaks off running requests, or accepts new ones, when it is leaving or
// terminated.
TEST(EngineProcessTest, KeepsRunningWorkWhenLeaving) {
  TestProcesses processes;
  StartEngine(processes, "engine", "10");
  auto running = PostAsync(processes, processes.url("engine") + "/v1/chat/completions", ChatBody(60));
  ASSERT_TRUE(WaitUntil(
      seconds{5}, [&] { return processes.Get(processes.url("engine") + "/load").Json()["running"] == 1; }));
  EXPECT_EQ(processes.Post(processes.url("engine") + "/standin/leave", json::object()).status, 200);
  const Reply refused = processes.Post(processes.url("engine") + "/v1/chat/completions", ChatBody(1));
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(http::HeaderValue(refused.headers, "Engine-State"), "leaving");
  EXPECT_EQ(refused.Json()["outcome"], "not-run");
  EXPECT_EQ(processes.Get(processes.url("engine") + "/load").Json()["state"], "leaving");
  EXPECT_EQ(processes.Terminate("engine"), 0);
  const Reply answer = running.get();
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n")) << answer.body;
}

// Guards against a stream that looks complete when the engine dies while it sends it.
TEST(EngineProcessTest, DeathMidStreamIsRecognisable) {
  TestProcesses processes;
  StartEngine(processes, "engine", "2");
  processes.Post(processes.url("engine") + "/standin/fault", {{"kind", "die-after-tokens"}, {"n", 5}});
  const Reply answer = processes.Post(processes.url("engine") + "/v1/chat/completions", ChatBody(50));
  EXPECT_EQ(answer.status, 0);
  EXPECT_EQ(processes.at("engine").WaitForExit(seconds{5}), 3);
}

// Guards against a restarted engine whose load reports count as older than those of its former process.
TEST(EngineProcessTest, RestartRaisesTheIncarnation) {
  TestProcesses processes;
  StartEngine(processes, "first", "1");
  const uint64_t first =
      processes.Get(processes.url("first") + "/load").Json()["incarnation"].get<uint64_t>();
  processes.Kill("first");
  StartEngine(processes, "second", "1");
  EXPECT_GT(processes.Get(processes.url("second") + "/load").Json()["incarnation"].get<uint64_t>(), first);
}

// Guards against a resumed stream that repeats or skips tokens.
TEST(EngineProcessTest, ResumedStreamContinuesTheSameAnswer) {
  TestProcesses processes;
  StartEngine(processes, "first", "1");
  StartEngine(processes, "second", "1");
  json request = ChatBody(20);
  const Reply whole =
      processes.Post(processes.url("first") + "/v1/chat/completions", request, {{"Request-Id", "r"}});
  request["resume_tokens"] = 12;
  const Reply rest =
      processes.Post(processes.url("second") + "/v1/chat/completions", request, {{"Request-Id", "r"}});
  ASSERT_EQ(rest.status, 200);
  const size_t start = whole.body.find("data: {\"id\":\"r\",\"index\":12,");
  ASSERT_NE(start, std::string::npos);
  EXPECT_EQ(whole.body.substr(start), rest.body);
}

// Guards against an engine that keeps generating tokens after the client has closed the connection.
TEST(EngineProcessTest, ClosedConnectionCancelsTheRequest) {
  TestProcesses processes;
  StartEngine(processes, "engine", "5");
  const Reply answer = processes.Post(processes.url("engine") + "/v1/chat/completions", ChatBody(100000), {},
                                      milliseconds{200});
  EXPECT_EQ(answer.status, 0);
  EXPECT_TRUE(WaitUntil(
      seconds{5}, [&] { return processes.Get(processes.url("engine") + "/load").Json()["running"] == 0; }));
  EXPECT_EQ(processes.Get(processes.url("engine") + "/standin/log").Json()["requests"][0]["outcome"],
            "disconnected");
}

struct StreamFault {
  const char* kind;
  unsigned n;
  const char* result;
};

class StreamFaultTest : public testing::TestWithParam<StreamFault> {};

// Guards against simulated stream faults that have no effect, and against a load generator that does not
// detect them.
TEST_P(StreamFaultTest, IsNoticedByTheLoadGenerator) {
  TestProcesses processes;
  StartEngine(processes, "engine", "1");
  processes.Post(processes.url("engine") + "/standin/fault",
                 {{"kind", GetParam().kind}, {"n", GetParam().n}});
  Process& load =
      processes.Start("load", "cornelplank-load",
                      {"--url", processes.url("engine"), "--streams", "1", "--duration-ms", "300", "--json"});
  EXPECT_EQ(load.WaitForExit(seconds{30}), 1);
  EXPECT_GT(json::parse(load.Output(), nullptr, false)["results"][GetParam().result], 0);
}

INSTANTIATE_TEST_SUITE_P(Table, StreamFaultTest,
                         testing::Values(StreamFault{"end-after-tokens", 5, "unmarked-truncation"},
                                         StreamFault{"cross-chunks", 1, "wrong"},
                                         StreamFault{"repeat-chunks", 1, "wrong"}),
                         [](const auto& info) {
                           std::string name = info.param.kind;
                           std::erase(name, '-');
                           return name;
                         });

// Guards against model loads that are faster than the weight store's rate, or that never end.
TEST(EngineProcessTest, LoadsAModelAtTheRateOfTheWeightStore) {
  TestProcesses processes;
  // Two models of 3 MB at 2 MB/s: the store's token bucket starts with the bytes of 1 s, so the other 4 MB
  // take 2 s. The engine's own rate is higher, but low enough that the first load is in progress when the
  // state is read.
  processes.StartListening("platform", "standin-platform", {"--weights-mb-s", "2", "--model-gb", "0.003"});
  processes.StartListening("engine", "standin-engine",
                           {"--weight-store", processes.url("platform"), "--load-gb-s", "0.01"});
  const std::string url = processes.url("engine");
  const auto started = Clock::now();
  for (const char* model : {"m", "n"}) {
    const Reply reply = processes.Post(url + "/orders", {{"order_id", model},
                                                         {"fence", 1},
                                                         {"orderer", "z"},
                                                         {"action", "load"},
                                                         {"model", model},
                                                         {"version", "7"}});
    EXPECT_EQ(reply.Json()["status"], "accepted");
  }
  EXPECT_EQ(processes.Get(url + "/load").Json()["state"], "loading");
  EXPECT_TRUE(
      WaitUntil(seconds{10}, [&] { return processes.Get(url + "/load").Json()["models"].size() == 2; }));
  EXPECT_GE(Clock::now() - started, milliseconds{1900});
  EXPECT_EQ(processes.Get(url + "/load").Json()["state"], "ready");
}

// Guards against an exported KV cache that another engine can't import or does not use.
TEST(EngineProcessTest, ExportedCacheIsUsedAfterImport) {
  TestProcesses processes;
  StartEngine(processes, "from", "1");
  StartEngine(processes, "to", "1");
  json request = ChatBody(1);
  request["messages"][0]["content"] = std::string(640, 'p');
  processes.Post(processes.url("from") + "/v1/chat/completions", request);
  const json events = processes.Get(processes.url("from") + "/cache-events?after=0").Json()["events"];
  ASSERT_EQ(events.size(), 10U);
  const std::string path = "/kv/" + events.back()["prefix"].get<std::string>();
  http::ClientRequest import;
  import.method = "PUT";
  import.url = processes.url("to") + path;
  import.body = processes.Get(processes.url("from") + path).body;
  EXPECT_EQ(processes.Send(import).status, 200);
  const Reply warm = processes.Post(processes.url("to") + "/v1/chat/completions", request);
  EXPECT_TRUE(http::HeaderValue(warm.headers, "Engine-Load").ends_with("cached=160"));
}

struct ServiceFault {
  const char* kind;
  unsigned executions;
  int status;
};

class ServiceFaultTest : public testing::TestWithParam<ServiceFault> {};

// Guards against service faults that execute a call when they should not, or do not execute it when they
// should.
TEST_P(ServiceFaultTest, CountsExecutions) {
  TestProcesses processes;
  processes.StartListening("service", "standin-service", {"--delay", "5"});
  const std::string url = processes.url("service");
  processes.Post(url + "/standin/fault", {{"kind", GetParam().kind}, {"n", 1}, {"delay_ms", 50}});
  const Reply reply =
      processes.Post(url + "/receipts", json::object(), {{"Idempotency-Key", "k"}}, milliseconds{500});
  EXPECT_EQ(reply.status, GetParam().status);
  EXPECT_EQ(processes.Get(url + "/executions").Json().value("k", 0U), GetParam().executions);
}

INSTANTIATE_TEST_SUITE_P(Table, ServiceFaultTest,
                         testing::Values(ServiceFault{"none", 1, 200}, ServiceFault{"no-answer", 1, 0},
                                         ServiceFault{"slow-answer", 1, 200}, ServiceFault{"reject", 0, 503},
                                         ServiceFault{"close-after-execution", 1, 0}),
                         [](const auto& info) {
                           std::string name = info.param.kind;
                           std::erase(name, '-');
                           return name;
                         });

// Guards against a long poll that answers late after a publication, and against one that answers early
// without one.
TEST(PlatformProcessTest, WatchReturnsAtOnceOnPublication) {
  TestProcesses processes;
  processes.StartListening("platform", "standin-platform", {});
  const std::string url = processes.url("platform");
  auto watch = std::async(std::launch::async, [&] {
    const Reply reply = processes.Get(url + "/v1/config/log?after=0&wait_ms=8000");
    return std::make_pair(reply, Clock::now());
  });
  ASSERT_TRUE(WaitUntil(seconds{5}, [&] {
    return processes.Get(url + "/standin/calls").Json()["config-log"]["pending"] == 1;
  }));
  const auto published = Clock::now();
  EXPECT_EQ(
      processes.Post(url + "/operator/config/log", {{"base", 0}, {"author", "a"}, {"patch", json::array()}})
          .status,
      200);
  const auto [reply, answered] = watch.get();
  EXPECT_EQ(reply.Json()["head_seq"], 1);
  EXPECT_EQ(reply.Json()["entries"][0]["seq"], 1);
  EXPECT_LT(answered - published, seconds{1});
  const auto asked = Clock::now();
  EXPECT_EQ(processes.Get(url + "/v1/config/log?after=1&wait_ms=100").Json()["entries"].size(), 0U);
  EXPECT_GE(Clock::now() - asked, milliseconds{100});
}

// Guards against platform modes that affect other endpoints than the named one, or that can't be ended.
TEST(PlatformProcessTest, ModesConcernOneEndpoint) {
  TestProcesses processes;
  processes.StartListening("platform", "standin-platform", {});
  const std::string url = processes.url("platform");
  processes.Post(url + "/standin/mode", {{"endpoint", "vms"}, {"mode", "unavailable"}});
  EXPECT_EQ(processes.Get(url + "/v1/vms").status, 503);
  EXPECT_EQ(processes.Get(url + "/v1/clients").status, 200);
  processes.Post(url + "/standin/mode", {{"endpoint", "vms"}, {"mode", "no-answer"}});
  EXPECT_EQ(processes.Get(url + "/v1/vms", milliseconds{100}).status, 0);
  processes.Post(url + "/standin/mode", {{"mode", "ok"}});
  EXPECT_EQ(processes.Get(url + "/v1/vms").status, 200);
}

// Guards against a rate limit that does not answer with status 429 and a Retry-After header.
TEST(PlatformProcessTest, RateLimitAnswers429) {
  TestProcesses processes;
  processes.StartListening("platform", "standin-platform", {"--rate", "1", "--burst", "2"});
  const std::string url = processes.url("platform") + "/v1/vms";
  EXPECT_EQ(processes.Get(url).status, 200);
  EXPECT_EQ(processes.Get(url).status, 200);
  const Reply refused = processes.Get(url);
  EXPECT_EQ(refused.status, 429);
  EXPECT_EQ(http::HeaderValue(refused.headers, "Retry-After"), "1");
}

class RelayProcessTest : public testing::Test {
 protected:
  void SetUp() override {
    StartEngine(processes_, "engine", "5");
    Process& relay = processes_.StartListening(
        "relay", "standin-relay", {"--listen", "127.0.0.1:0", "--to", processes_.address("engine")});
    control_ = "http://" + relay.WaitForLine("control on ", seconds{5}).value_or("");
    url_ = processes_.url("relay");
  }

  int SendCommand(const json& command) { return processes_.Post(control_ + "/mode", command).status; }
  Reply SendChat(milliseconds timeout = seconds{10}) {
    return processes_.Post(url_ + "/v1/chat/completions", ChatBody(3), {}, timeout);
  }
  // Starts a stream of `tokens` tokens through the relay and waits until it runs on the engine.
  std::future<Reply> StartStream(unsigned tokens, milliseconds timeout) {
    auto stream = PostAsync(processes_, url_ + "/v1/chat/completions", ChatBody(tokens), {}, timeout);
    EXPECT_TRUE(WaitUntil(seconds{5}, [&] { return RunningRequests() == 1; }));
    return stream;
  }
  unsigned RunningRequests() {
    return processes_.Get(processes_.url("engine") + "/load").Json()["running"].get<unsigned>();
  }

  TestProcesses processes_;
  std::string control_;
  std::string url_;
};

// Guards against a relay that changes or loses bytes without a command.
TEST_F(RelayProcessTest, ForwardsWholeAnswers) {
  const Reply answer = SendChat();
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
}

// Guards against the mode drop closing the connections that it silences, or affecting connections opened
// after it.
TEST_F(RelayProcessTest, SilentConnectionWhileNewOnesWork) {
  auto silent = StartStream(200, milliseconds{2500});
  EXPECT_EQ(SendCommand({{"mode", "drop"}, {"direction", "to-client"}}), 200);
  const auto asked = Clock::now();
  EXPECT_EQ(SendChat().status, 200);
  // The stream takes 1 s. Its client must see neither an end nor an error but run into its own timeout.
  EXPECT_EQ(silent.get().status, 0);
  EXPECT_GE(Clock::now() - asked, milliseconds{1000});
}

// Guards against the mode cut leaving connections open or accepting new ones, and against a cut pair that
// can't go back to the mode forward.
TEST_F(RelayProcessTest, CutResetsAndRefuses) {
  auto broken = StartStream(100000, seconds{20});
  EXPECT_EQ(SendCommand({{"mode", "cut"}}), 200);
  EXPECT_EQ(broken.get().status, 0);
  EXPECT_EQ(SendChat(milliseconds{500}).status, 0);
  EXPECT_TRUE(WaitUntil(seconds{5}, [&] { return RunningRequests() == 0; }));
  EXPECT_EQ(SendCommand({{"mode", "forward"}}), 200);
  EXPECT_EQ(SendChat().status, 200);
}

// Guards against the mode freeze losing bytes.
TEST_F(RelayProcessTest, FrozenConnectionContinuesLater) {
  auto frozen = StartStream(40, seconds{20});
  EXPECT_EQ(SendCommand({{"mode", "freeze"}}), 200);
  EXPECT_EQ(SendChat(milliseconds{300}).status, 0);
  EXPECT_EQ(SendCommand({{"mode", "forward"}}), 200);
  const Reply answer = frozen.get();
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
}

// Guards against a delay that applies to one direction only.
TEST_F(RelayProcessTest, DelayConcernsBothDirections) {
  EXPECT_EQ(SendCommand({{"mode", "delay"}, {"ms", 100}}), 200);
  const auto asked = Clock::now();
  EXPECT_EQ(SendChat().status, 200);
  EXPECT_GE(Clock::now() - asked, milliseconds{200});
}

// Guards against a load generator that reports correct answers, or refused connections, as wrong answers.
TEST_F(RelayProcessTest, LoadGeneratorChecksAnswers) {
  const std::vector<std::string> load{
      "--url", url_,     "--rate",       "50", "--streams",      "3",  "--duration-ms",
      "1000",  "--json", "--max-tokens", "10", "--stream-share", "0.5"};
  EXPECT_EQ(processes_.Start("load", "cornelplank-load", load).WaitForExit(seconds{30}), 0);
  const json result = json::parse(processes_.at("load").Output(), nullptr, false);
  EXPECT_GT(result["results"]["whole"], 20);
  EXPECT_EQ(result["results"]["no-connection"], 0);
  EXPECT_EQ(SendCommand({{"mode", "cut"}}), 200);
  EXPECT_EQ(processes_.Start("cut", "cornelplank-load", load).WaitForExit(seconds{30}), 0);
  const json cut = json::parse(processes_.at("cut").Output(), nullptr, false);
  EXPECT_EQ(cut["results"]["whole"], 0);
  EXPECT_GT(cut["results"]["no-connection"], 20);
}

// Guards against a harness that kills or reaps a stopped process, or that reports a wrong exit code for a
// killed one.
TEST(HarnessTest, StoppedProcessContinues) {
  TestProcesses processes;
  processes.StartListening("platform", "standin-platform", {});
  processes.at("platform").Signal(SIGSTOP);
  EXPECT_EQ(processes.Get(processes.url("platform") + "/v1/vms", milliseconds{200}).status, 0);
  processes.at("platform").Signal(SIGCONT);
  EXPECT_EQ(processes.Get(processes.url("platform") + "/v1/vms").status, 200);
  processes.Kill("platform");
  EXPECT_EQ(processes.at("platform").WaitForExit(seconds{1}), 128 + SIGKILL);
}

}  // namespace
}  // namespace cornelplank::harness
