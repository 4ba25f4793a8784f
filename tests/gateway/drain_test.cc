#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

#include "tests/gateway/fake_fleet.h"

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDrainLimit{3000};

struct LateCase {
  const char* name;
  bool completion;    // else a call that must not be repeated
  milliseconds work;  // that the upstream needs
  milliseconds sent;  // after the drain has begun
  std::string code;   // of the answer to the late request; empty: it is served
  bool reaches_upstream;
  std::string earlier_code;  // of the answer to a request that was sent before the drain
};
class LateRequestTest : public testing::TestWithParam<LateCase> {
 protected:
  /// The whole answer; empty when it was cut. An error event ends a stream that could not be completed.
  static std::string Exchange(const FakeFleet& fleet, const http::ClientRequest& request, bool completion) {
    if (!completion) {
      const auto response = fleet.Send(request);
      return response ? response->body : "";
    }
    bool whole = false;
    const std::string text = fleet.ReadStream(request, &whole);
    return whole || text.find("event: error") != std::string::npos || text.starts_with("{") ? text : "";
  }

  /// The code of an answer that is an error; empty when the answer is none.
  static std::string CodeOf(const std::string& text) {
    const std::string mark = "\"code\":\"";
    const size_t at = text.find(mark);
    return at == std::string::npos
               ? ""
               : text.substr(at + mark.size(), text.find('"', at + mark.size()) - at - mark.size());
  }
};

// Guards against requests that are taken late in a drain and cut when the process ends, and against ones in
// progress that are cut without an answer.
TEST_P(LateRequestTest, IsAnsweredOrRefusedAsNotRun) {
  const auto& param = GetParam();
  FakeUpstream upstream([&](const http::Request& request) {
    if (param.completion) return ScriptedStream(request, {.count = 10, .gap = param.work / 10});
    std::this_thread::sleep_for(param.work);
    http::Response response;
    response.body = "done";
    return response;
  });
  FakeFleet fleet;
  fleet.drain_limit = kDrainLimit;
  fleet.progress_limit = std::chrono::seconds{20};
  if (param.completion) fleet.AddEngine("a", "e1", upstream.address());
  if (!param.completion) fleet.AddService("a", "s1", upstream.address());
  const size_t vm = fleet.StartVm("a");
  const http::ClientRequest request = param.completion
                                          ? fleet.Completion(vm, true)
                                          : fleet.Request(vm, "POST", "/v1/services/ledger/book", "{}");
  std::string earlier;
  std::thread client([&] { earlier = Exchange(fleet, request, param.completion); });
  while (upstream.Received().empty()) std::this_thread::sleep_for(milliseconds{5});
  std::thread drain([&] {
    fleet.vm(vm).Drain();
    fleet.StopVm(vm);
  });
  std::this_thread::sleep_for(param.sent);
  const std::string late = Exchange(fleet, request, param.completion);
  client.join();
  drain.join();
  EXPECT_FALSE(late.empty()) << "the late request was cut";
  EXPECT_FALSE(earlier.empty()) << "the earlier request was cut";
  EXPECT_EQ(CodeOf(late), param.code) << late;
  EXPECT_EQ(CodeOf(earlier), param.earlier_code) << earlier;
  const bool not_run = late.find("\"outcome\":\"not-run\"") != std::string::npos;
  EXPECT_EQ(not_run, !param.reaches_upstream) << late;
  const auto received = upstream.Received();
  const auto posts = std::count_if(received.begin(), received.end(),
                                   [](const http::Request& one) { return one.method == "POST"; });
  EXPECT_EQ(posts, param.reaches_upstream ? 2 : 1);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, LateRequestTest,
    testing::Values(
        LateCase{"Completion", true, milliseconds{1500}, milliseconds{200}, "", true, ""},
        LateCase{"CompletionLate", true, milliseconds{2000}, milliseconds{1500}, "entry-leaving", false, ""},
        LateCase{"CompletionTooLong", true, milliseconds{4900}, milliseconds{200}, "deadline", true,
                 "entry-leaving"},
        LateCase{"Call", false, milliseconds{1500}, milliseconds{200}, "draining", false, ""},
        LateCase{"CallLate", false, milliseconds{2000}, milliseconds{1500}, "entry-leaving", false, ""},
        LateCase{"CallTooLong", false, milliseconds{4900}, milliseconds{200}, "draining", false,
                 "upstream-broken"}),
    [](const auto& info) { return info.param.name; });

// Guards against a call with a ticket that is refused as not run although it may have run, since its client
// may have sent it before.
TEST(LateTicketTest, IsRunByItsOwner) {
  FakeUpstream ledger([](const http::Request&) {
    http::Response response;
    response.body = "receipt";
    return response;
  });
  FakeFleet fleet;
  fleet.drain_limit = kDrainLimit;
  fleet.AddService("a", "s1", ledger.address());
  const size_t vm = fleet.StartVm("a");
  const auto minted = fleet.Send(fleet.Request(vm, "POST", "/v1/tickets", R"({"service":"ledger"})"));
  ASSERT_TRUE(minted);
  auto call = fleet.Request(vm, "POST", "/v1/services/ledger/book", "{}");
  call.headers["Idempotency-Key"] = nlohmann::json::parse(minted->body)["ticket"];
  std::thread drain([&] { fleet.vm(vm).Drain(); });
  std::this_thread::sleep_for(milliseconds{1500});
  const auto response = fleet.Send(call);
  const auto again = fleet.Send(call);
  drain.join();
  ASSERT_TRUE(response && again);
  EXPECT_EQ(response->body, "receipt");
  EXPECT_EQ(again->body, "receipt");
  EXPECT_EQ(ledger.Received().size(), 1U);
}

}  // namespace
}  // namespace cornelplank::gateway
