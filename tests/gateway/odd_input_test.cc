#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "tests/gateway/fake_fleet.h"

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;

std::string Nested(size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

struct LoadCase {
  const char* name;
  std::string load;  // what the engine answers when it is asked for its load
};
class OddLoadTest : public testing::TestWithParam<LoadCase> {};

// Guards against a VM that ends because an engine's load report has a field of another type or no end.
TEST_P(OddLoadTest, LeavesTheVmServing) {
  FakeUpstream engine([](const http::Request& request) { return ScriptedStream(request, {.count = 3}); });
  FakeFleet fleet;
  fleet.AddEngine("a", "e1", engine.address());
  const size_t vm = fleet.StartVm("a");
  engine.SetLoad(GetParam().load);
  std::this_thread::sleep_for(milliseconds{700});  // several polls
  engine.SetLoad(R"({"state":"ready","models":[{"model":"m","version":"1"}]})");
  std::this_thread::sleep_for(milliseconds{700});
  bool whole = false;
  fleet.ReadStream(fleet.Completion(vm, true), &whole);
  EXPECT_TRUE(whole);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, OddLoadTest,
    testing::Values(
        LoadCase{"StateIsNumber", R"({"state":5,"running":0})"},
        LoadCase{"VersionIsNumber", R"({"models":[{"model":"m","version":1}]})"},
        LoadCase{"NumbersTooLarge",
                 R"({"running":18446744073709551615,"queued":1e300,"age_ms":18446744073709551615})"},
        LoadCase{"NamesOfOddBytes",
                 R"({"state":"\u0000","models":[{"model":"a&b+c#d%zz e\r\n\u0000","version":"\u2028"}]})"},
        LoadCase{"ModelsIsObject", R"({"incarnation":{"a":1},"models":{"model":"m"}})"},
        LoadCase{"DeeplyNested", R"({"models":)" + Nested(100'000) + "}"},
        LoadCase{"NumberBeyondDoubles", R"({"running":1e999})"}),
    [](const auto& info) { return info.param.name; });

// Guards against a VM that ends because a client's body is nested deeply.
TEST(OddBodyTest, IsRefused) {
  FakeUpstream engine([](const http::Request& request) { return ScriptedStream(request, {.count = 3}); });
  FakeFleet fleet;
  fleet.AddEngine("a", "e1", engine.address());
  const size_t vm = fleet.StartVm("a");
  const std::string body =
      R"({"model":"m","messages":[{"role":"user","content":"a"}],"more":)" + Nested(4900) + "}";
  const auto response = fleet.Send(fleet.Request(vm, "POST", "/v1/chat/completions", body));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 400);
  EXPECT_TRUE(engine.Received().empty());
}

}  // namespace
}  // namespace cornelplank::gateway
