#include <gtest/gtest.h>

#include <set>

#include "apps/load/core/entry_list.h"
#include "apps/load/core/stats.h"
#include "standins/engine/core/tokens.h"

namespace cornelplank::load {
namespace {

using standins::engine::PromptHash;
using standins::engine::TokenText;

LoadOptions TestOptions() {
  LoadOptions options;
  options.urls = {"http://127.0.0.1:1", "http://127.0.0.1:2"};
  options.max_tokens = 3;
  return options;
}

std::string Chunk(const RequestPlan& plan, uint64_t index) {
  const std::string text = TokenText(PromptHash("user:" + plan.prompt + "\n"), plan.seed, index);
  return "data: {\"id\":\"r\",\"index\":" + std::to_string(index) +
         R"(,"choices":[{"index":0,"delta":{"content":")" + text + "\"}}]}\n\n";
}

constexpr char kDone[] = "data: [DONE]\n\n";
constexpr char kError[] = "event: error\ndata: {\"code\":\"stalled\"}\n\n";

struct StreamCase {
  const char* name;
  std::vector<int>
      tokens;  // token indexes in the stream; a negative one stands for a token of another request
  const char* end;
  bool ended;
  Result result;
};

class StreamCheckTest : public testing::TestWithParam<StreamCase> {};

// Guards against a check that accepts truncated streams or tokens of other requests as a complete answer, and
// against one that reports correct streams as wrong.
TEST_P(StreamCheckTest, ClassifiesTheStream) {
  const RequestPlan plan = MakePlan(TestOptions(), 1);
  const RequestPlan other = MakePlan(TestOptions(), 2);
  std::string stream;
  for (const int token : GetParam().tokens) stream += token < 0 ? Chunk(other, 1) : Chunk(plan, token);
  stream += GetParam().end;
  AnswerCheck check(plan);
  for (const char byte : stream) check.Feed(std::string_view(&byte, 1));
  EXPECT_EQ(check.StreamResult(GetParam().ended), GetParam().result);
}

INSTANTIATE_TEST_SUITE_P(Table, StreamCheckTest,
                         testing::Values(StreamCase{"Whole", {0, 1, 2}, kDone, true, Result::kWhole},
                                         StreamCase{"ErrorEvent", {0, 1}, kError, true, Result::kTruncated},
                                         StreamCase{"BrokenTransfer", {0, 1}, "", false, Result::kTruncated},
                                         StreamCase{"NoMark", {0, 1}, "", true, Result::kUnmarkedTruncation},
                                         StreamCase{
                                             "EarlyDone", {0, 1}, kDone, true, Result::kUnmarkedTruncation},
                                         StreamCase{"TooLong", {0, 1, 2, 3}, kDone, true, Result::kWrong},
                                         StreamCase{"Repeated", {0, 1, 1, 2}, kDone, true, Result::kWrong},
                                         StreamCase{"Skipped", {0, 2}, kDone, true, Result::kWrong},
                                         StreamCase{"OtherRequest", {0, -1, 2}, kDone, true, Result::kWrong}),
                         [](const auto& info) { return info.param.name; });

// Guards against a check of answers without streaming that accepts a prefix of the answer or another text.
TEST(AnswerCheckTest, ClassifiesTheWholeAnswer) {
  const RequestPlan plan = MakePlan(TestOptions(), 1);
  const uint64_t hash = PromptHash("user:" + plan.prompt + "\n");
  const auto body = [](const std::string& text) {
    return nlohmann::json{{"choices", {{{"message", {{"content", text}}}}}}}.dump();
  };
  const std::string two = TokenText(hash, plan.seed, 0) + TokenText(hash, plan.seed, 1);
  const AnswerCheck check(plan);
  EXPECT_EQ(check.BodyResult(body(two + TokenText(hash, plan.seed, 2))), Result::kWhole);
  EXPECT_EQ(check.BodyResult(body(two)), Result::kUnmarkedTruncation);
  EXPECT_EQ(check.BodyResult(body("x")), Result::kWrong);
}

// Guards against a client that keeps using an entry VM that failed, or that drops the URLs from its own
// configuration.
TEST(EntryListTest, DemotesUntilTheNextList) {
  constexpr base::TimePoint kStart{std::chrono::seconds{1000}};
  EntryList entries({"http://127.0.0.1:9"});
  EXPECT_TRUE(entries.NeedsRefresh(kStart));
  EXPECT_FALSE(entries.Adopt(R"({"lifetime_s":30,"entries":[]})", kStart));
  const char* list = R"({"lifetime_s":30,"entries":[{"http":"127.0.0.1:1"},{"http":"127.0.0.1:2"}]})";
  EXPECT_TRUE(entries.Adopt(list, kStart));
  EXPECT_FALSE(entries.NeedsRefresh(kStart + std::chrono::seconds{29}));
  EXPECT_TRUE(entries.NeedsRefresh(kStart + std::chrono::seconds{30}));
  const std::vector<std::string> expected{"http://127.0.0.1:2", "http://127.0.0.1:1", "http://127.0.0.1:9"};
  entries.Demote("http://127.0.0.1:1");
  EXPECT_EQ(entries.Candidates(), expected);
  EXPECT_TRUE(entries.Adopt(list, kStart));
  EXPECT_EQ(entries.Candidates()[0], "http://127.0.0.1:1");
}

// Guards against a load plan that differs between runs, or in which two requests have the same answer.
TEST(PlanTest, IsRepeatableAndUniqueWithSharedPrefixes) {
  LoadOptions options = TestOptions();
  options.prefixes = 1;
  std::set<std::pair<std::string, uint64_t>> seen;
  const std::string shared = MakePlan(options, 0).prompt.substr(0, 400);
  for (uint64_t index = 0; index < 200; ++index) {
    const RequestPlan plan = MakePlan(options, index);
    EXPECT_EQ(RequestBody(options, plan), RequestBody(options, MakePlan(options, index)));
    EXPECT_EQ(plan.prompt.substr(0, 400), shared);
    seen.emplace(plan.prompt, plan.seed);
  }
  EXPECT_EQ(seen.size(), 200U);
}

// Guards against arrivals whose mean rate differs from the requested one.
TEST(ArrivalsTest, KeepTheRate) {
  Arrivals arrivals(100, 7);
  base::Duration last{0};
  for (int arrival = 0; arrival < 10000; ++arrival) last = arrivals.Next();
  EXPECT_NEAR(std::chrono::duration<double>(last).count(), 100, 3);
}

// Guards against quantiles that are off by one rank.
TEST(QuantilesTest, NearestRank) {
  std::vector<float> values;
  for (int value = 100; value >= 1; --value) values.push_back(static_cast<float>(value));
  const Quantiles quantiles = QuantilesOf(values);
  EXPECT_EQ(quantiles.p50, 50);
  EXPECT_EQ(quantiles.p95, 95);
  EXPECT_EQ(quantiles.p99, 99);
  EXPECT_EQ(quantiles.max, 100);
}

}  // namespace
}  // namespace cornelplank::load
