#include <gtest/gtest.h>

#include <csignal>
#include <future>

#include "tests/system/harness/fleet.h"

namespace cornelplank::harness {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

json Chat(unsigned max_tokens, bool stream = true) {
  return {{"model", "m"},
          {"messages", {{{"role", "user"}, {"content", "hello"}}}},
          {"max_tokens", max_tokens},
          {"stream", stream}};
}

void StartEngine(Fleet& fleet, const std::string& name, const std::string& ms_per_token) {
  fleet.StartListening(name, "standin-engine",
                       {"--model", "m", "--ms-per-token", ms_per_token, "--prefill-us-per-token", "10"});
}

std::future<Reply> PostLater(Fleet& fleet, const std::string& url, const json& body,
                             const http::Headers& headers = {}, milliseconds timeout = seconds{10}) {
  return std::async(std::launch::async, [&fleet, url, body, headers, timeout] {
    return fleet.Post(url, body, headers, timeout);
  });
}

class OptionsTest : public testing::TestWithParam<const char*> {};

// Guards against a binary without the options that operators and tests rely on.
TEST_P(OptionsTest, HelpVersionCheckAndBadOption) {
  Fleet fleet;
  EXPECT_EQ(fleet.Start("help", GetParam(), {"--help"}).WaitExit(seconds{10}), 0);
  EXPECT_EQ(fleet.Start("version", GetParam(), {"--version"}).WaitExit(seconds{10}), 0);
  EXPECT_EQ(fleet.at("version").Output(), "0.1.0\n");
  std::vector<std::string> check{"--check"};
  if (std::string(GetParam()) == "standin-relay") {
    check.insert(check.end(), {"--listen", "127.0.0.1:0", "--to", "127.0.0.1:1"});
  }
  EXPECT_EQ(fleet.Start("check", GetParam(), check).WaitExit(seconds{10}), 0);
  EXPECT_EQ(fleet.Start("bad", GetParam(), {"--no-such-option"}).WaitExit(seconds{10}), 2);
}

INSTANTIATE_TEST_SUITE_P(Table, OptionsTest,
                         testing::Values("standin-engine", "standin-service", "standin-platform",
                                         "standin-relay"),
                         [](const auto& info) { return std::string(info.param).substr(8); });

// Guards against an engine that drops running work when it leaves or is terminated.
TEST(EngineProcessTest, KeepsRunningWorkWhenLeaving) {
  Fleet fleet;
  StartEngine(fleet, "engine", "10");
  auto running = PostLater(fleet, fleet.url("engine") + "/v1/chat/completions", Chat(60));
  ASSERT_TRUE(
      WaitUntil(seconds{5}, [&] { return fleet.Get(fleet.url("engine") + "/load").Json()["running"] == 1; }));
  EXPECT_EQ(fleet.Post(fleet.url("engine") + "/standin/leave", json::object()).status, 200);
  const Reply refused = fleet.Post(fleet.url("engine") + "/v1/chat/completions", Chat(1));
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(http::HeaderValue(refused.headers, "Engine-State"), "leaving");
  EXPECT_EQ(refused.Json()["outcome"], "not-run");
  EXPECT_EQ(fleet.Get(fleet.url("engine") + "/load").Json()["state"], "leaving");
  EXPECT_EQ(fleet.Terminate("engine"), 0);
  const Reply answer = running.get();
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n")) << answer.body;
}

// Guards against a stream whose end can't be told from a whole answer when the engine dies.
TEST(EngineProcessTest, DeathMidStreamIsRecognisable) {
  Fleet fleet;
  StartEngine(fleet, "engine", "2");
  fleet.Post(fleet.url("engine") + "/standin/fault", {{"kind", "die-after-tokens"}, {"n", 5}});
  const Reply answer = fleet.Post(fleet.url("engine") + "/v1/chat/completions", Chat(50));
  EXPECT_EQ(answer.status, 0);
  EXPECT_EQ(fleet.at("engine").WaitExit(seconds{5}), 3);
}

// Guards against a restarted engine whose reports count as older than those of its predecessor.
TEST(EngineProcessTest, RestartRaisesTheIncarnation) {
  Fleet fleet;
  StartEngine(fleet, "first", "1");
  const uint64_t first = fleet.Get(fleet.url("first") + "/load").Json()["incarnation"].get<uint64_t>();
  fleet.Kill("first");
  StartEngine(fleet, "second", "1");
  EXPECT_GT(fleet.Get(fleet.url("second") + "/load").Json()["incarnation"].get<uint64_t>(), first);
}

// Guards against a resumed stream that repeats or skips tokens.
TEST(EngineProcessTest, ResumedStreamContinuesTheSameAnswer) {
  Fleet fleet;
  StartEngine(fleet, "first", "1");
  StartEngine(fleet, "second", "1");
  json request = Chat(20);
  const Reply whole = fleet.Post(fleet.url("first") + "/v1/chat/completions", request, {{"Request-Id", "r"}});
  request["resume_tokens"] = 12;
  const Reply rest = fleet.Post(fleet.url("second") + "/v1/chat/completions", request, {{"Request-Id", "r"}});
  ASSERT_EQ(rest.status, 200);
  const size_t start = whole.body.find("data: {\"id\":\"r\",\"index\":12,");
  ASSERT_NE(start, std::string::npos);
  EXPECT_EQ(whole.body.substr(start), rest.body);
}

// Guards against an engine that keeps generating for a client that has left.
TEST(EngineProcessTest, ClosedConnectionCancelsTheRequest) {
  Fleet fleet;
  StartEngine(fleet, "engine", "5");
  const Reply answer =
      fleet.Post(fleet.url("engine") + "/v1/chat/completions", Chat(100000), {}, milliseconds{200});
  EXPECT_EQ(answer.status, 0);
  EXPECT_TRUE(
      WaitUntil(seconds{5}, [&] { return fleet.Get(fleet.url("engine") + "/load").Json()["running"] == 0; }));
  EXPECT_EQ(fleet.Get(fleet.url("engine") + "/standin/log").Json()["requests"][0]["outcome"], "disconnected");
}

struct StreamFault {
  const char* kind;
  unsigned n;
  const char* result;
};

class StreamFaultTest : public testing::TestWithParam<StreamFault> {};

// Guards against stream faults that a client can't notice, and against a generator that does not notice them.
TEST_P(StreamFaultTest, IsNoticedByTheLoadGenerator) {
  Fleet fleet;
  StartEngine(fleet, "engine", "1");
  fleet.Post(fleet.url("engine") + "/standin/fault", {{"kind", GetParam().kind}, {"n", GetParam().n}});
  Process& load =
      fleet.Start("load", "cornelplank-load",
                  {"--url", fleet.url("engine"), "--streams", "1", "--duration-ms", "300", "--json"});
  EXPECT_EQ(load.WaitExit(seconds{30}), 1);
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

// Guards against loads that ignore the weight store's rate, or that never end.
TEST(EngineProcessTest, LoadsAModelAtTheRateOfTheWeightStore) {
  Fleet fleet;
  // Two models of 3 MB at 2 MB/s. The bucket starts with the bytes of 1 s, so 4 MB take 2 s. The engine's own
  // rate is higher, but low enough that the first load does not end before its state is read.
  fleet.StartListening("platform", "standin-platform", {"--weights-mb-s", "2", "--model-gb", "0.003"});
  fleet.StartListening("engine", "standin-engine",
                       {"--weight-store", fleet.url("platform"), "--load-gb-s", "0.01"});
  const std::string url = fleet.url("engine");
  const auto started = Clock::now();
  for (const char* model : {"m", "n"}) {
    const Reply reply = fleet.Post(url + "/orders", {{"order_id", model},
                                                     {"fence", 1},
                                                     {"orderer", "z"},
                                                     {"action", "load"},
                                                     {"model", model},
                                                     {"version", "7"}});
    EXPECT_EQ(reply.Json()["status"], "accepted");
  }
  EXPECT_EQ(fleet.Get(url + "/load").Json()["state"], "loading");
  EXPECT_TRUE(WaitUntil(seconds{10}, [&] { return fleet.Get(url + "/load").Json()["models"].size() == 2; }));
  EXPECT_GE(Clock::now() - started, milliseconds{1900});
  EXPECT_EQ(fleet.Get(url + "/load").Json()["state"], "ready");
}

// Guards against KV cache that can't be moved to another engine.
TEST(EngineProcessTest, ExportedCacheIsUsedAfterImport) {
  Fleet fleet;
  StartEngine(fleet, "from", "1");
  StartEngine(fleet, "to", "1");
  json request = Chat(1);
  request["messages"][0]["content"] = std::string(640, 'p');
  fleet.Post(fleet.url("from") + "/v1/chat/completions", request);
  const json events = fleet.Get(fleet.url("from") + "/cache-events?after=0").Json()["events"];
  ASSERT_EQ(events.size(), 10U);
  const std::string path = "/kv/" + events.back()["prefix"].get<std::string>();
  http::ClientRequest import;
  import.method = "PUT";
  import.url = fleet.url("to") + path;
  import.body = fleet.Get(fleet.url("from") + path).body;
  EXPECT_EQ(fleet.Send(import).status, 200);
  const Reply warm = fleet.Post(fleet.url("to") + "/v1/chat/completions", request);
  EXPECT_TRUE(http::HeaderValue(warm.headers, "Engine-Load").ends_with("cached=160"));
}

struct ServiceFault {
  const char* kind;
  unsigned executions;
  int status;
};

class ServiceFaultTest : public testing::TestWithParam<ServiceFault> {};

// Guards against faults that execute when they should not, or the reverse.
TEST_P(ServiceFaultTest, CountsExecutions) {
  Fleet fleet;
  fleet.StartListening("service", "standin-service", {"--delay", "5"});
  const std::string url = fleet.url("service");
  fleet.Post(url + "/standin/fault", {{"kind", GetParam().kind}, {"n", 1}, {"delay_ms", 50}});
  const Reply reply =
      fleet.Post(url + "/receipts", json::object(), {{"Idempotency-Key", "k"}}, milliseconds{500});
  EXPECT_EQ(reply.status, GetParam().status);
  EXPECT_EQ(fleet.Get(url + "/executions").Json().value("k", 0U), GetParam().executions);
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

// Guards against a watch that answers late, and against one that answers at once without news.
TEST(PlatformProcessTest, WatchReturnsAtOnceOnPublication) {
  Fleet fleet;
  fleet.StartListening("platform", "standin-platform", {});
  const std::string url = fleet.url("platform");
  auto watch = std::async(std::launch::async, [&] {
    const Reply reply = fleet.Get(url + "/v1/config/log?after=0&wait_ms=8000");
    return std::make_pair(reply, Clock::now());
  });
  ASSERT_TRUE(WaitUntil(
      seconds{5}, [&] { return fleet.Get(url + "/standin/calls").Json()["config-log"]["pending"] == 1; }));
  const auto published = Clock::now();
  EXPECT_EQ(fleet.Post(url + "/operator/config/log", {{"base", 0}, {"author", "a"}, {"patch", json::array()}})
                .status,
            200);
  const auto [reply, answered] = watch.get();
  EXPECT_EQ(reply.Json()["head_seq"], 1);
  EXPECT_EQ(reply.Json()["entries"][0]["seq"], 1);
  EXPECT_LT(answered - published, seconds{1});
  const auto asked = Clock::now();
  EXPECT_EQ(fleet.Get(url + "/v1/config/log?after=1&wait_ms=100").Json()["entries"].size(), 0U);
  EXPECT_GE(Clock::now() - asked, milliseconds{100});
}

// Guards against modes that concern the wrong endpoint or that can't be ended.
TEST(PlatformProcessTest, ModesConcernOneEndpoint) {
  Fleet fleet;
  fleet.StartListening("platform", "standin-platform", {});
  const std::string url = fleet.url("platform");
  fleet.Post(url + "/standin/mode", {{"endpoint", "vms"}, {"mode", "unavailable"}});
  EXPECT_EQ(fleet.Get(url + "/v1/vms").status, 503);
  EXPECT_EQ(fleet.Get(url + "/v1/clients").status, 200);
  fleet.Post(url + "/standin/mode", {{"endpoint", "vms"}, {"mode", "no-answer"}});
  EXPECT_EQ(fleet.Get(url + "/v1/vms", milliseconds{100}).status, 0);
  fleet.Post(url + "/standin/mode", {{"mode", "ok"}});
  EXPECT_EQ(fleet.Get(url + "/v1/vms").status, 200);
}

// Guards against a rate limit that answers with anything but 429.
TEST(PlatformProcessTest, RateLimitAnswers429) {
  Fleet fleet;
  fleet.StartListening("platform", "standin-platform", {"--rate", "1", "--burst", "2"});
  const std::string url = fleet.url("platform") + "/v1/vms";
  EXPECT_EQ(fleet.Get(url).status, 200);
  EXPECT_EQ(fleet.Get(url).status, 200);
  const Reply refused = fleet.Get(url);
  EXPECT_EQ(refused.status, 429);
  EXPECT_EQ(http::HeaderValue(refused.headers, "Retry-After"), "1");
}

class RelayProcessTest : public testing::Test {
 protected:
  void SetUp() override {
    StartEngine(fleet_, "engine", "5");
    Process& relay = fleet_.StartListening("relay", "standin-relay",
                                           {"--listen", "127.0.0.1:0", "--to", fleet_.address("engine")});
    control_ = "http://" + relay.WaitLine("control on ", seconds{5}).value_or("");
    url_ = fleet_.url("relay");
  }

  int Command(const json& command) { return fleet_.Post(control_ + "/mode", command).status; }
  Reply Ask(milliseconds timeout = seconds{10}) {
    return fleet_.Post(url_ + "/v1/chat/completions", Chat(3), {}, timeout);
  }
  // A long stream through the relay that has begun.
  std::future<Reply> StartStream(unsigned tokens, milliseconds timeout) {
    auto stream = PostLater(fleet_, url_ + "/v1/chat/completions", Chat(tokens), {}, timeout);
    EXPECT_TRUE(WaitUntil(seconds{5}, [&] { return Running() == 1; }));
    return stream;
  }
  unsigned Running() { return fleet_.Get(fleet_.url("engine") + "/load").Json()["running"].get<unsigned>(); }

  Fleet fleet_;
  std::string control_;
  std::string url_;
};

// Guards against a relay that changes or loses bytes without a command.
TEST_F(RelayProcessTest, ForwardsWholeAnswers) {
  const Reply answer = Ask();
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
}

// Guards against a silent connection that is closed, and against a fault that concerns new connections.
TEST_F(RelayProcessTest, SilentConnectionWhileNewOnesWork) {
  auto silent = StartStream(200, milliseconds{2500});
  EXPECT_EQ(Command({{"mode", "drop"}, {"direction", "to-client"}}), 200);
  const auto asked = Clock::now();
  EXPECT_EQ(Ask().status, 200);
  // The stream takes 1 s; its client must see neither an end nor an error, but its own time limit.
  EXPECT_EQ(silent.get().status, 0);
  EXPECT_GE(Clock::now() - asked, milliseconds{1000});
}

// Guards against a cut that leaves connections open or accepts new ones, and against one that can't be
// healed.
TEST_F(RelayProcessTest, CutResetsAndRefuses) {
  auto broken = StartStream(100000, seconds{20});
  EXPECT_EQ(Command({{"mode", "cut"}}), 200);
  EXPECT_EQ(broken.get().status, 0);
  EXPECT_EQ(Ask(milliseconds{500}).status, 0);
  EXPECT_TRUE(WaitUntil(seconds{5}, [&] { return Running() == 0; }));
  EXPECT_EQ(Command({{"mode", "forward"}}), 200);
  EXPECT_EQ(Ask().status, 200);
}

// Guards against a freeze that loses bytes.
TEST_F(RelayProcessTest, FrozenConnectionContinuesLater) {
  auto frozen = StartStream(40, seconds{20});
  EXPECT_EQ(Command({{"mode", "freeze"}}), 200);
  EXPECT_EQ(Ask(milliseconds{300}).status, 0);
  EXPECT_EQ(Command({{"mode", "forward"}}), 200);
  const Reply answer = frozen.get();
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
}

// Guards against a delay that concerns one direction only.
TEST_F(RelayProcessTest, DelayConcernsBothDirections) {
  EXPECT_EQ(Command({{"mode", "delay"}, {"ms", 100}}), 200);
  const auto asked = Clock::now();
  EXPECT_EQ(Ask().status, 200);
  EXPECT_GE(Clock::now() - asked, milliseconds{200});
}

// Guards against a generator that misses wrong answers, or that reports them without a failing exit code.
TEST_F(RelayProcessTest, LoadGeneratorChecksAnswers) {
  const std::vector<std::string> load{
      "--url", url_,     "--rate",       "50", "--streams",      "3",  "--duration-ms",
      "1000",  "--json", "--max-tokens", "10", "--stream-share", "0.5"};
  EXPECT_EQ(fleet_.Start("load", "cornelplank-load", load).WaitExit(seconds{30}), 0);
  const json result = json::parse(fleet_.at("load").Output(), nullptr, false);
  EXPECT_GT(result["results"]["whole"], 20);
  EXPECT_EQ(result["results"]["no-connection"], 0);
  EXPECT_EQ(Command({{"mode", "cut"}}), 200);
  EXPECT_EQ(fleet_.Start("cut", "cornelplank-load", load).WaitExit(seconds{30}), 0);
  const json cut = json::parse(fleet_.at("cut").Output(), nullptr, false);
  EXPECT_EQ(cut["results"]["whole"], 0);
  EXPECT_GT(cut["results"]["no-connection"], 20);
}

// Guards against a paused process that the harness takes for a dead one.
TEST(HarnessTest, StoppedProcessContinues) {
  Fleet fleet;
  fleet.StartListening("platform", "standin-platform", {});
  fleet.at("platform").Signal(SIGSTOP);
  EXPECT_EQ(fleet.Get(fleet.url("platform") + "/v1/vms", milliseconds{200}).status, 0);
  fleet.at("platform").Signal(SIGCONT);
  EXPECT_EQ(fleet.Get(fleet.url("platform") + "/v1/vms").status, 200);
  fleet.Kill("platform");
  EXPECT_EQ(fleet.at("platform").WaitExit(seconds{1}), 128 + SIGKILL);
}

}  // namespace
}  // namespace cornelplank::harness
