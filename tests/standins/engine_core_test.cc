#include "standins/engine/core/engine_core.h"

#include <gtest/gtest.h>

#include "standins/engine/core/tokens.h"

namespace cornelplank::standins::engine {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kStart{std::chrono::seconds{1000}};

EngineOptions TestOptions() {
  EngineOptions options;
  options.slots = 2;
  options.ms_per_token = 10;
  options.batch_slowdown = 1;  // two requests take twice the time of one
  options.prefill_us_per_token = 1000;
  options.orders.models = {{"m", "1"}};
  return options;
}

EngineRequest TestRequest(const std::string& id, uint64_t max_tokens, unsigned priority = 4) {
  EngineRequest request;
  request.id = id;
  request.model = "m";
  request.prompt = "hi";  // one token
  request.max_tokens = max_tokens;
  request.priority = priority;
  return request;
}

uint64_t MustSubmit(EngineCore& core, EngineRequest request, base::TimePoint now) {
  const auto handle = core.Submit(std::move(request), now, nullptr);
  EXPECT_TRUE(handle.has_value());
  return handle.value_or(0);
}

// Guards against a batch whose step time ignores the number of running requests.
TEST(EngineCoreTest, StepTimeGrowsWithTheBatch) {
  EngineCore core(TestOptions(), kStart);
  const uint64_t first = MustSubmit(core, TestRequest("a", 100), kStart);
  core.AdvanceTo(kStart + milliseconds{100});
  EXPECT_EQ(core.Progress(first).produced, 10U);
  MustSubmit(core, TestRequest("b", 100), kStart + milliseconds{100});
  core.AdvanceTo(kStart + milliseconds{200});
  EXPECT_EQ(core.Progress(first).produced, 15U);
}

// Guards against a queue that ignores the priority of its requests.
TEST(EngineCoreTest, QueueServesHigherPriorityFirst) {
  EngineCore core(TestOptions(), kStart);
  MustSubmit(core, TestRequest("a", 2), kStart);
  MustSubmit(core, TestRequest("b", 100), kStart);
  const uint64_t low = MustSubmit(core, TestRequest("low", 5, 6), kStart);
  const uint64_t high = MustSubmit(core, TestRequest("high", 5, 1), kStart);
  core.AdvanceTo(kStart + milliseconds{60});
  EXPECT_EQ(core.Progress(high).state, RequestState::kRunning);
  EXPECT_EQ(core.Progress(low).state, RequestState::kQueued);
}

// Guards against prefill time that ignores the cached prefix.
TEST(EngineCoreTest, CachedPrefixShortensPrefill) {
  EngineCore core(TestOptions(), kStart);
  EngineRequest request = TestRequest("a", 1);
  request.prompt = std::string(kBytesPerToken * kTokensPerBlock * 4, 'p');  // 64 tokens, 64 ms
  const uint64_t cold = MustSubmit(core, request, kStart);
  core.AdvanceTo(kStart + milliseconds{60});
  EXPECT_EQ(core.Progress(cold).produced, 0U);
  core.AdvanceTo(kStart + milliseconds{70});
  EXPECT_EQ(core.Progress(cold).state, RequestState::kFinished);
  const uint64_t warm = MustSubmit(core, request, kStart + milliseconds{100});
  core.AdvanceTo(kStart + milliseconds{110});
  EXPECT_EQ(core.Progress(warm).state, RequestState::kFinished);
  EXPECT_EQ(core.Progress(warm).cached_tokens, 64U);
}

// Guards against a resumed answer that starts over or counts its tokens anew.
TEST(EngineCoreTest, ResumeContinuesAfterTheGivenToken) {
  EngineCore core(TestOptions(), kStart);
  EngineRequest request = TestRequest("a", 10);
  request.resume_tokens = 8;
  const uint64_t handle = MustSubmit(core, request, kStart);
  EXPECT_EQ(core.Progress(handle).produced, 8U);
  core.AdvanceTo(kStart + milliseconds{30});
  EXPECT_EQ(core.Progress(handle).state, RequestState::kFinished);
}

// Guards against a leaving engine that accepts new requests, logs refused ones as having run, or ends running
// ones early.
TEST(EngineCoreTest, LeavingRefusesNewWorkAndEndsRunningWork) {
  EngineCore core(TestOptions(), kStart);
  const uint64_t running = MustSubmit(core, TestRequest("a", 5), kStart);
  core.Leave(kStart + milliseconds{10});
  base::Reason<RefusalCode> reason;
  EXPECT_FALSE(core.Submit(TestRequest("b", 5), kStart + milliseconds{20}, &reason));
  EXPECT_EQ(reason.code, RefusalCode::kLeaving);
  core.AdvanceTo(kStart + milliseconds{100});
  EXPECT_EQ(core.Progress(running).state, RequestState::kFinished);
  core.Close(running, true, kStart + milliseconds{100});
  ASSERT_EQ(core.log().size(), 2U);
  EXPECT_EQ(core.log()[0].outcome, "refused");
  EXPECT_EQ(core.log()[0].produced, 0U);
  EXPECT_EQ(core.log()[1].outcome, "complete");
}

// Guards against a cancelled request that keeps its slot.
TEST(EngineCoreTest, CancelFreesTheSlotAtOnce) {
  EngineCore core(TestOptions(), kStart);
  MustSubmit(core, TestRequest("a", 100), kStart);
  MustSubmit(core, TestRequest("b", 100), kStart);
  const uint64_t waiting = MustSubmit(core, TestRequest("c", 1), kStart);
  EXPECT_EQ(core.Cancel("a", kStart + milliseconds{5}), 1U);
  EXPECT_EQ(core.Progress(waiting).state, RequestState::kRunning);
  EXPECT_EQ(core.Cancel("a", kStart + milliseconds{6}), 0U);
}

// Guards against queued requests that outlive their deadline.
TEST(EngineCoreTest, DeadlineEndsQueuedRequest) {
  EngineCore core(TestOptions(), kStart);
  MustSubmit(core, TestRequest("a", 100), kStart);
  MustSubmit(core, TestRequest("b", 100), kStart);
  EngineRequest request = TestRequest("c", 1);
  request.deadline = kStart + milliseconds{50};
  const uint64_t waiting = MustSubmit(core, request, kStart);
  core.AdvanceTo(kStart + milliseconds{50});
  EXPECT_EQ(core.Progress(waiting).state, RequestState::kTimedOut);
  EXPECT_FALSE(core.Progress(waiting).started);
}

// Guards against load reports that show the current load although a report lag is set.
TEST(EngineCoreTest, LoadReportLags) {
  EngineOptions options = TestOptions();
  options.report_lag = milliseconds{500};
  EngineCore core(options, kStart);
  MustSubmit(core, TestRequest("a", 1000), kStart + milliseconds{100});
  EXPECT_EQ(core.VisibleReport(kStart + milliseconds{599}).running, 0U);
  EXPECT_EQ(core.VisibleReport(kStart + milliseconds{600}).running, 1U);
}

// Guards against a stalled engine that still produces tokens, or that does not continue when the fault is
// cleared.
TEST(EngineCoreTest, StallStopsAllTokensUntilCleared) {
  EngineCore core(TestOptions(), kStart);
  const uint64_t handle = MustSubmit(core, TestRequest("a", 100), kStart);
  core.SetFault(EngineFaultKind::kStallAfterTokens, 3, kStart);
  core.AdvanceTo(kStart + milliseconds{500});
  EXPECT_EQ(core.Progress(handle).produced, 3U);
  EXPECT_FALSE(core.NextEvent().has_value());
  core.SetFault(EngineFaultKind::kNone, 0, kStart + milliseconds{500});
  core.AdvanceTo(kStart + milliseconds{550});
  EXPECT_EQ(core.Progress(handle).produced, 8U);
}

struct FenceCase {
  const char* name;
  bool ignore_fence;
  bool taken;
  const char* version;
};

class FenceTest : public testing::TestWithParam<FenceCase> {};

// Guards against an engine that executes an order with an old fence, and against one with ignore_fence that
// refuses it.
TEST_P(FenceTest, LateOrder) {
  EngineOptions options = TestOptions();
  options.orders.ignore_fence = GetParam().ignore_fence;
  options.orders.load_gb_s = 1;
  EngineCore core(options, kStart);
  ASSERT_EQ(core.SubmitOrder({"o2", 2, "z", "load", "m", "2"}, kStart, nullptr), "accepted");
  core.AdvanceTo(kStart + milliseconds{1000});
  ASSERT_EQ(core.SubmitOrder({"o2", 2, "z", "load", "m", "2"}, kStart + milliseconds{1000}, nullptr),
            "in-force");
  const auto late = core.SubmitOrder({"o1", 1, "z", "load", "m", "1"}, kStart + milliseconds{1000}, nullptr);
  EXPECT_EQ(late.has_value(), GetParam().taken);
  core.AdvanceTo(kStart + milliseconds{2000});
  EXPECT_EQ(core.orders().Models()[0].version, GetParam().version);
}

INSTANTIATE_TEST_SUITE_P(Table, FenceTest,
                         testing::Values(FenceCase{"Honoured", false, false, "2"},
                                         FenceCase{"Ignored", true, true, "1"}),
                         [](const auto& info) { return info.param.name; });

// Guards against an eviction of a block that later blocks of the same prefix depend on, and against missing
// cache events.
TEST(PrefixCacheTest, EvictsTheEndOfAPrefixFirst) {
  PrefixCache cache(kTokensPerBlock * 3);
  cache.Add({11, 12}, kStart);
  cache.Add({21, 22}, kStart);
  EXPECT_EQ(cache.FindChain(11), std::vector<uint64_t>({11}));
  EXPECT_TRUE(cache.FindChain(12).empty());
  EXPECT_EQ(cache.FindChain(22), std::vector<uint64_t>({21, 22}));
  ASSERT_EQ(cache.events().size(), 5U);
  EXPECT_EQ(cache.events().back().prefix, 12U);
  EXPECT_FALSE(cache.events().back().added);
}

}  // namespace
}  // namespace cornelplank::standins::engine
