#include <gtest/gtest.h>

#include <thread>

#include "libs/upstreams/upstreams.h"

namespace cornelplank::upstreams {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string EngineId(int number) {
  std::string id = "e";
  id += std::to_string(number);
  return id;
}

config::Document MakeDocument(int replicas) {
  config::Document document;
  document.regions["ost"] = {"p", {"a"}};
  document.partners["p"] = {};
  document.models["m"] = {"p", "1", 1, 1};
  for (int i = 0; i < replicas; ++i) {
    config::Upstream upstream;
    upstream.partner = "p";
    upstream.region = "ost";
    upstream.zone = "a";
    upstream.slots = 8;
    upstream.models = {"m"};
    document.upstreams[EngineId(i)] = upstream;
  }
  return document;
}

class UpstreamTableTest : public testing::Test {
 protected:
  void Configure(int replicas) { table_.Configure(MakeDocument(replicas), now_); }
  ReplicaLiveState& LiveState(std::string_view id) { return *table_.TakeSnapshot()->Find(id)->live; }
  UpdateResult Report(uint64_t incarnation, EngineState state, base::Duration age, uint32_t running = 0) {
    return table_.OnLoadReport({"e0", incarnation, state, running, 0, {"m"}, age}, now_);
  }
  void Fail(const std::string& id, int times) {
    for (int i = 0; i < times; ++i) table_.OnResult(id, RequestOutcome::kFailure, false, now_);
  }

  base::TimePoint now_{std::chrono::hours{1}};
  UpstreamTable table_;
};

// Guards against a late or repeated report that overwrites a newer one.
TEST_F(UpstreamTableTest, YoungestReportWins) {
  Configure(1);
  EXPECT_EQ(Report(1, EngineState::kReady, milliseconds{100}, 5), UpdateResult::kApplied);
  EXPECT_EQ(Report(1, EngineState::kReady, milliseconds{200}, 7), UpdateResult::kStale);
  EXPECT_EQ(Report(1, EngineState::kReady, milliseconds{100}, 7), UpdateResult::kStale);
  EXPECT_EQ(LiveState("e0").Load().running, 5U);
  EXPECT_EQ(table_.OnLoadHeader("e0", "running=3, queued=1, slots=8, cached=20", now_),
            UpdateResult::kApplied);
  EXPECT_EQ(LiveState("e0").Load().queued, 1U);
  EXPECT_EQ(table_.OnLoadHeader("e0", "running=x", now_), UpdateResult::kMalformed);
}

// Guards against a ready report that ends the leaving state within the same incarnation, and against a
// leaving report of an old incarnation that marks the new one.
TEST_F(UpstreamTableTest, LeavingFromAnySourceLastsForTheIncarnation) {
  Configure(1);
  Report(1, EngineState::kReady, seconds{1});
  const auto snapshot = table_.TakeSnapshot();
  EXPECT_EQ(Report(1, EngineState::kLeaving, seconds{5}), UpdateResult::kStale);
  EXPECT_TRUE(snapshot->Find("e0")->live->Leaving());
  EXPECT_FALSE(InFlightRequest::Begin(snapshot->Find("e0")->live, now_, nullptr).has_value());
  now_ += seconds{10};
  Report(1, EngineState::kReady, seconds{0});
  EXPECT_TRUE(LiveState("e0").Leaving());
  Report(2, EngineState::kReady, seconds{0});
  EXPECT_FALSE(LiveState("e0").Leaving());
  EXPECT_DOUBLE_EQ(LiveState("e0").RampShare(now_), 0.1);
  EXPECT_DOUBLE_EQ(LiveState("e0").RampShare(now_ + seconds{15}), 0.5);
  EXPECT_EQ(Report(1, EngineState::kLeaving, seconds{0}), UpdateResult::kStale);
  EXPECT_FALSE(LiveState("e0").Leaving());
}

// Guards against a request thread that begins a request after the replica was marked as leaving, and against
// in-flight counts that are not decremented.
TEST_F(UpstreamTableTest, NoRequestBeginsAfterTheLeavingMark) {
  Configure(1);
  const auto live = table_.TakeSnapshot()->Find("e0")->live;
  std::atomic<bool> marked{false};
  std::atomic<int> late{0};
  std::atomic<uint64_t> begun{0};
  std::vector<std::jthread> threads;
  for (int i = 0; i < 3; ++i) {
    threads.emplace_back([&](const std::stop_token& stop) {
      while (!stop.stop_requested()) {
        const bool before = marked.load();
        const auto guard = InFlightRequest::Begin(live, now_, nullptr);
        if (guard) begun.fetch_add(1);
        if (before && guard) late.fetch_add(1);
      }
    });
  }
  while (begun.load() < 1000) std::this_thread::yield();
  table_.OnLeavingResponse("e0", now_);
  marked.store(true);
  std::this_thread::sleep_for(milliseconds{20});
  threads.clear();
  EXPECT_EQ(late.load(), 0);
  EXPECT_EQ(live->InFlight(), 0U);
}

// Guards against ejecting so many replicas of a zone that the others are overloaded.
TEST_F(UpstreamTableTest, EjectsAtMostThirtyPercentOfAZone) {
  Configure(10);
  for (int i = 0; i < 10; ++i) Fail(EngineId(i), 5);
  EXPECT_EQ(table_.EjectedInZone(0), 3U);
  EXPECT_TRUE(LiveState("e5").Suspect(now_));
  Configure(4);
  EXPECT_EQ(table_.EjectedInZone(0), 1U);
  Configure(3);
  EXPECT_EQ(table_.EjectedInZone(0), 0U);
}

// Guards against more than one probe at a time to an ejected replica, which probably still fails, and against
// probes before the back-off has passed.
TEST_F(UpstreamTableTest, OneProbeWithDoublingBackOff) {
  Configure(10);
  Fail("e0", 5);
  const auto live = table_.TakeSnapshot()->Find("e0")->live;
  for (const int pause : {1, 2, 4, 8, 16, 30, 30}) {
    BeginFailure failure{};
    EXPECT_FALSE(InFlightRequest::Begin(live, now_ + seconds{pause} - milliseconds{1}, &failure).has_value())
        << pause;
    EXPECT_EQ(failure, BeginFailure::kEjected);
    now_ += seconds{pause};
    const auto probe = InFlightRequest::Begin(live, now_, nullptr);
    ASSERT_TRUE(probe.has_value() && probe->IsProbe());
    EXPECT_FALSE(InFlightRequest::Begin(live, now_, nullptr).has_value());
    table_.OnResult("e0", RequestOutcome::kFailure, true, now_);
  }
  now_ += seconds{30};
  table_.OnResult("e0", RequestOutcome::kSuccess, false, now_);
  EXPECT_TRUE(live->Ejected());
  table_.OnResult("e0", RequestOutcome::kSuccess, true, now_);
  EXPECT_FALSE(live->Ejected());
}

// Guards against a replica that stays in use although most of its requests fail, never five in a row.
TEST_F(UpstreamTableTest, EjectsSuccessRateFarBelowPeers) {
  Configure(10);
  for (int round = 0; round < 25; ++round) {
    for (int i = 0; i < 10; ++i) {
      const bool fails = i == 4 && round % 3 != 0;
      table_.OnResult(EngineId(i), fails ? RequestOutcome::kFailure : RequestOutcome::kSuccess, false, now_);
    }
  }
  table_.Tick(now_);
  EXPECT_TRUE(LiveState("e4").Ejected());
  EXPECT_EQ(table_.EjectedInZone(0), 1U);
}

// Guards against a cache summary that counts as complete after evictions were missed.
TEST_F(UpstreamTableTest, CacheGapClearsTheSummary) {
  Configure(1);
  const std::vector<PrefixCacheEvent> events{{1, CacheOperation::kAdd, 77, 500},
                                             {2, CacheOperation::kAdd, 78, 9}};
  EXPECT_EQ(table_.OnCacheEvents("e0", 1, events), UpdateResult::kApplied);
  EXPECT_EQ(table_.OnCacheEvents("e0", 1, events), UpdateResult::kStale);
  EXPECT_TRUE(LiveState("e0").Cache()->Complete());
  const std::vector<PrefixCacheEvent> later{{5, CacheOperation::kEvict, 78, 0},
                                            {6, CacheOperation::kAdd, 79, 40}};
  EXPECT_EQ(table_.OnCacheEvents("e0", 1, later), UpdateResult::kGap);
  EXPECT_FALSE(LiveState("e0").Cache()->Complete());
  EXPECT_EQ(LiveState("e0").Cache()->Tokens(77), 0U);
  EXPECT_EQ(LiveState("e0").Cache()->Tokens(79), 40U);
  EXPECT_EQ(table_.CacheCursor("e0"), 6U);
}

}  // namespace
}  // namespace cornelplank::upstreams
