#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "tests/gateway/fake_fleet.h"

namespace cornelplank::gateway {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// The token texts of a stream, joined. The terminal event counts as "DONE", an error event as
/// "error:OUTCOME".
std::string Tokens(const std::string& stream) {
  std::string tokens;
  http::SseParser parser;
  parser.Feed(stream, [&](const http::SseEvent& event) {
    if (event.event == "error") {
      tokens += "error:" + json::parse(event.data)["outcome"].get<std::string>();
    } else {
      tokens += event.data == http::kSseDone ? "DONE" : json::parse(event.data)["text"].get<std::string>();
    }
    return true;
  });
  return tokens;
}

FakeUpstream::Handler Stream(const StreamScript& script) {
  return [script](const http::Request& request) { return ScriptedStream(request, script); };
}

struct BrokenCase {
  const char* name;
  StreamScript broken;  // what the first engine that is called sends
};
class BrokenStreamTest : public testing::TestWithParam<BrokenCase> {};

// When a stream breaks, the gateway resumes it on another engine. Guards against an answer that then lacks
// tokens, repeats them or has tokens of another request.
TEST_P(BrokenStreamTest, IsResumedElsewhereWithEachTokenOnce) {
  std::atomic<int> calls{0};
  const auto handler = [&calls](const http::Request& request) {
    if (calls++ == 0) return ScriptedStream(request, GetParam().broken);
    return ScriptedStream(request, {.count = 6});
  };
  FakeUpstream first(handler);
  FakeUpstream second(handler);
  FakeFleet fleet;
  fleet.AddEngine("a", "e1", first.address());
  fleet.AddEngine("a", "e2", second.address());
  const size_t vm = fleet.StartVm("a");
  bool whole = false;
  const std::string stream = fleet.ReadStream(fleet.Completion(vm, true), &whole);
  EXPECT_EQ(Tokens(stream), "t0t1t2t3t4t5DONE");
  EXPECT_TRUE(whole);
  EXPECT_EQ(calls, 2);
}
INSTANTIATE_TEST_SUITE_P(Table, BrokenStreamTest,
                         testing::Values(BrokenCase{"CutAfterThreeTokens", {.count = 3, .done = false}},
                                         BrokenCase{"EndsBeforeFirstToken", {.count = 0, .done = false}},
                                         BrokenCase{"EventsOfAnotherRequest", {.count = 6, .id = "another"}},
                                         BrokenCase{"FirstTokensMissing", {.first = 2, .count = 6}},
                                         BrokenCase{"SilentPastTheProgressLimit",
                                                    {.count = 3, .silence = milliseconds{1200}}}),
                         [](const auto& info) { return info.param.name; });

// Guards against a truncated answer that a client takes for a complete one. A stream that can't be resumed,
// here because there is no second engine, must end with an error event, without the terminal event, and with
// a broken transfer.
TEST(CompletionTest, MarksAStreamThatCannotBeContinued) {
  FakeUpstream engine(Stream({.count = 3, .done = false}));
  FakeFleet fleet;
  fleet.AddEngine("a", "e1", engine.address());
  const size_t vm = fleet.StartVm("a");
  bool whole = true;
  const std::string stream = fleet.ReadStream(fleet.Completion(vm, true), &whole);
  EXPECT_EQ(Tokens(stream), "t0t1t2error:unknown");
  EXPECT_FALSE(whole);
}

struct ResumptionCase {
  const char* name;
  int status;  // of the engines that are to resume the stream
  const char* body;
};
class FailedResumptionTest : public testing::TestWithParam<ResumptionCase> {};

// Guards against the text of a later engine's answer in the middle of a stream, and against a whole stream.
TEST_P(FailedResumptionTest, EndsTheStreamWithAnErrorEvent) {
  std::atomic<int> calls{0};
  const auto handler = [&calls](const http::Request& request) {
    if (calls++ == 0) return ScriptedStream(request, {.count = 3, .done = false});
    http::Response response;
    response.status = GetParam().status;
    response.body = GetParam().body;
    return response;
  };
  FakeUpstream first(handler);
  FakeUpstream second(handler);
  FakeFleet fleet;
  fleet.AddEngine("a", "e1", first.address());
  fleet.AddEngine("a", "e2", second.address());
  const size_t vm = fleet.StartVm("a");
  bool whole = true;
  const std::string stream = fleet.ReadStream(fleet.Completion(vm, true), &whole);
  EXPECT_EQ(Tokens(stream), "t0t1t2error:unknown");
  EXPECT_EQ(stream.find("marker"), std::string::npos) << stream;
  EXPECT_FALSE(whole);
  EXPECT_GE(calls, 2);
}
INSTANTIATE_TEST_SUITE_P(
    Table, FailedResumptionTest,
    testing::Values(ResumptionCase{"Refusal", 503,
                                   R"({"code":"full","detail":"marker","outcome":"not-run"})"},
                    ResumptionCase{"Error", 500, "marker"},
                    ResumptionCase{"NoStream", 200, R"({"id":"marker","choices":[]})"}),
    [](const auto& info) { return info.param.name; });

// Guards against passing on the answer to another request, which an engine that mixes up requests may send.
// The answer's id shows it.
TEST(CompletionTest, NeverPassesAnotherRequestsWholeAnswer) {
  FakeUpstream engine([](const http::Request&) {
    http::Response response;
    response.body = R"({"id":"another","choices":[]})";
    return response;
  });
  FakeFleet fleet;
  fleet.AddEngine("a", "e1", engine.address());
  const size_t vm = fleet.StartVm("a");
  const auto response = fleet.Send(fleet.Completion(vm, false));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_EQ(json::parse(response->body)["outcome"], "unknown");
}

// Guards against the outcome `not-run` for a request that may have reached an engine, after which a client
// would run it a second time, and against `unknown` for one that no engine was connected for.
TEST(CompletionTest, SaysNotRunOnlyWhenNothingWasSent) {
  FakeUpstream engine(Stream({.count = 0, .done = false}));
  FakeFleet fleet;
  fleet.AddEngine("a", "e1", engine.address());
  const size_t vm = fleet.StartVm("a");
  auto response = fleet.Send(fleet.Completion(vm, true));
  ASSERT_TRUE(response);
  EXPECT_EQ(json::parse(response->body)["outcome"], "unknown");
  engine.Stop();
  response = fleet.Send(fleet.Completion(vm, true));
  ASSERT_TRUE(response);
  EXPECT_EQ(json::parse(response->body)["outcome"], "not-run");
}

// Guards against `not-run` for a request that a first engine may have run, when a second one refuses it.
TEST(CompletionTest, ALaterRefusalDoesNotMakeAnUnknownOutcomeNotRun) {
  std::atomic<int> calls{0};
  const auto handler = [&calls](const http::Request& request) {
    if (calls++ == 0) return ScriptedStream(request, {.count = 0, .done = false});
    http::Response refusal;
    refusal.status = 503;
    refusal.body = R"({"code":"full","outcome":"not-run"})";
    return refusal;
  };
  FakeUpstream first(handler);
  FakeUpstream second(handler);
  FakeFleet fleet;
  fleet.AddEngine("a", "e1", first.address());
  fleet.AddEngine("a", "e2", second.address());
  const size_t vm = fleet.StartVm("a");
  const auto response = fleet.Send(fleet.Completion(vm, true));
  ASSERT_TRUE(response);
  EXPECT_GE(calls, 2);
  EXPECT_EQ(json::parse(response->body)["outcome"], "unknown");
}

// Guards against an engine that goes on generating tokens after the client has closed the connection.
TEST(CompletionTest, CancelsTheEngineWhenTheClientLeaves) {
  FakeUpstream engine(Stream({.count = 1000, .gap = milliseconds{20}}));
  FakeFleet fleet;
  fleet.AddEngine("a", "e1", engine.address());
  const size_t vm = fleet.StartVm("a");
  {
    const auto client = http::Client::Create();
    const auto exchange = client->Open(fleet.Completion(vm, true));
    while (exchange->Next(milliseconds{1000}).kind != http::ExchangeEvent::Kind::kData) {
    }
  }
  bool cancelled = false;
  for (int i = 0; i < 200 && !cancelled; ++i) {
    std::this_thread::sleep_for(milliseconds{20});
    for (const auto& request : engine.Received()) cancelled = cancelled || request.method == "DELETE";
  }
  EXPECT_TRUE(cancelled);
}

// Guards against a graceful shutdown that cuts off a stream in progress, and against a leaving VM that still
// lists itself as an entry VM.
TEST(CompletionTest, DrainsWithoutCuttingAStream) {
  FakeUpstream engine(Stream({.count = 40, .gap = milliseconds{50}}));
  FakeFleet fleet;
  fleet.AddEngine("a", "e1", engine.address());
  const size_t vm = fleet.StartVm("a");
  bool whole = false;
  std::string stream;
  std::thread client([&] { stream = fleet.ReadStream(fleet.Completion(vm, true), &whole); });
  while (engine.Received().empty()) std::this_thread::sleep_for(milliseconds{5});
  bool drained = false;
  std::thread drain([&] { drained = fleet.vm(vm).Drain(); });
  std::this_thread::sleep_for(milliseconds{200});
  const auto entries = fleet.Send(fleet.Request(vm, "GET", "/v1/entry"));
  drain.join();
  client.join();
  EXPECT_TRUE(drained);
  EXPECT_TRUE(whole);
  EXPECT_TRUE(Tokens(stream).ends_with("t39DONE"));
  ASSERT_TRUE(entries);
  EXPECT_EQ(http::HeaderValue(entries->headers, "Entry-Leaving"), "1");
  EXPECT_TRUE(json::parse(entries->body)["entries"].empty());
}

struct RefusedCase {
  const char* name;
  http::Headers headers;
  std::string body;
  int status;
  const char* code;
};
class RefusedTest : public testing::TestWithParam<RefusedCase> {};

// Guards against invalid or forbidden requests that reach an engine or are refused without the code of the
// reason.
TEST_P(RefusedTest, IsRefusedAsNotRunWithAReason) {
  FakeUpstream engine(Stream({.count = 1}));
  FakeFleet fleet;
  fleet.AddEngine("a", "e1", engine.address());
  const size_t vm = fleet.StartVm("a");
  auto request = fleet.Completion(vm, true);
  for (const auto& [name, value] : GetParam().headers) request.headers[name] = value;
  if (!GetParam().body.empty()) request.body = GetParam().body;
  const auto response = fleet.Send(request);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, GetParam().status) << response->body;
  const auto problem = json::parse(response->body);
  EXPECT_EQ(problem["code"], GetParam().code);
  EXPECT_EQ(problem["outcome"], "not-run");
  EXPECT_TRUE(engine.Received().empty());
}
INSTANTIATE_TEST_SUITE_P(
    Table, RefusedTest,
    testing::Values(
        RefusedCase{"UnknownKey", {{"Authorization", "Bearer nobody"}}, "", 401, "unknown-client"},
        RefusedCase{"BodyIsNotJson", {}, "{", 400, "invalid-request"},
        RefusedCase{"NoMessages", {}, R"({"model":"m"})", 400, "invalid-request"},
        RefusedCase{"UnknownModel", {}, R"({"model":"x","messages":[{"content":"c"}]})", 404, "no-route"},
        RefusedCase{"ClassOfAnotherClient", {{"Priority-Class", "tax"}}, "", 403, "class-not-allowed"},
        RefusedCase{"HomeNotAllowed",
                    {{"Authorization", "Bearer two"}, {"Data-Home", "a"}},
                    "",
                    403,
                    "home-not-allowed"},
        RefusedCase{"NegativeTimeout", {{"Request-Timeout-Ms", "-1"}}, "", 400, "invalid-request"},
        RefusedCase{"BodyTooLong", {}, std::string(20000, 'x'), 413, "body-too-long"},
        // The client's data may be processed only in region b, and region b has no VM.
        RefusedCase{"NoVmInTheAllowedRegion", {{"Authorization", "Bearer two"}}, "", 404, "no-route"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::gateway
