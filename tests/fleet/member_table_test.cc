#include <gtest/gtest.h>

#include "libs/fleet/fleet.h"

namespace cornelplank::fleet {
namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

Member MemberAt(VmAddress address, uint64_t incarnation = 1, uint32_t beat = 1,
                MemberState state = MemberState::kReady, const char* zone = "a1") {
  return {address, incarnation, beat, NameKey(zone), state};
}

struct NewsCase {
  const char* name;
  std::vector<Member> news;
  base::Duration after;
  bool named;
};

class NewsTest : public ::testing::TestWithParam<NewsCase> {};

// Guards against naming VMs to clients that are dead, leaving or not ready, and against old news that bring
// such a VM back.
TEST_P(NewsTest, DecidesWhoIsNamed) {
  MemberTable table(MemberAt(1, 1, 1, MemberState::kStarting), {{"a1", "a"}, {"b1", "b"}});
  for (const Member& member : GetParam().news) table.MergeMember(member, kStart);
  const auto ready = table.ReadyVms("a1", "a", kStart + GetParam().after);
  EXPECT_EQ(std::count(ready.begin(), ready.end(), 2U), GetParam().named ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
    News, NewsTest,
    ::testing::Values(
        NewsCase{"Ready", {MemberAt(2)}, std::chrono::seconds(1), true},
        NewsCase{"Silent", {MemberAt(2)}, std::chrono::seconds(4), false},
        NewsCase{"Leaving", {MemberAt(2, 1, 2, MemberState::kLeaving)}, {}, false},
        NewsCase{
            "OldBeatAfterLeaving", {MemberAt(2, 1, 2, MemberState::kLeaving), MemberAt(2, 1, 1)}, {}, false},
        NewsCase{
            "RestartedAfterLeaving", {MemberAt(2, 1, 9, MemberState::kLeaving), MemberAt(2, 2, 1)}, {}, true},
        NewsCase{"OldIncarnation", {MemberAt(2, 2, 1, MemberState::kStarting), MemberAt(2, 1, 9)}, {}, false},
        NewsCase{"OtherZone", {MemberAt(2, 1, 1, MemberState::kReady, "b1")}, {}, false},
        NewsCase{"UnknownZone", {MemberAt(2, 1, 1, MemberState::kReady, "c1")}, {}, false}),
    [](const auto& info) { return info.param.name; });

// Guards against a VM that started while its wall clock was ahead, starts again with an earlier one, and is
// then taken for its own past.
TEST(MemberTable, TakesUpAVmThatRestartedWithAnEarlierClock) {
  const auto later = kStart + std::chrono::seconds(4);
  MemberTable table(MemberAt(1, 1, 1, MemberState::kStarting), {{"a1", "a"}});
  table.MergeSender(MemberAt(2, 5000, 9, MemberState::kLeaving), kStart);
  table.MergeMember(MemberAt(2, 3000, 1), later);
  EXPECT_TRUE(table.ReadyVms("a1", "a", later).empty());  // hearsay may be old
  table.MergeSender(MemberAt(2, 3000, 2), later);
  EXPECT_EQ(table.ReadyVms("a1", "a", later).size(), 1U);

  MemberTable restarted(MemberAt(2, 3000), {{"a1", "a"}});
  restarted.MergeMember(MemberAt(2, 5000, 9, MemberState::kLeaving), kStart);
  EXPECT_GT(restarted.own().incarnation, 5000U);
}

TEST(MemberTable, PassesOverAVmThatRefusedAHop) {
  MemberTable table(MemberAt(1), {{"a1", "a"}, {"b1", "b"}});
  table.MergeMember(MemberAt(2, 1, 1, MemberState::kReady, "b1"), kStart);
  base::Random random(3);
  EXPECT_EQ(table.PickHopTarget("b", random, kStart), 2U);
  table.ReportHopFailure(2, kStart);
  EXPECT_FALSE(table.PickHopTarget("b", random, kStart + std::chrono::milliseconds(500)));
  EXPECT_TRUE(table.PickHopTarget("b", random, kStart + std::chrono::milliseconds(1500)));
}

// Guards against a larger part of what all VMs share for those that a cut has left alone.
TEST(MemberTable, RemembersTheFleetBehindACut) {
  MemberTable table(MemberAt(1), {{"a1", "a"}});
  for (VmAddress vm = 2; vm <= 7; ++vm) table.MergeMember(MemberAt(vm), kStart);
  table.Tick(kStart);
  table.Tick(kStart + std::chrono::seconds(20));
  EXPECT_EQ(table.LiveCount(kStart + std::chrono::seconds(20)), 1U);
  EXPECT_EQ(table.FleetSize(), 7U);
}

TEST(HeartbeatCodec, KeepsABeat) {
  Heartbeat beat;
  beat.sender = MemberAt(0x0a010203, 99, 7, MemberState::kLeaving);
  beat.members = {MemberAt(5), MemberAt(6)};
  beat.offers = {{1, 2, std::chrono::milliseconds(30), std::chrono::milliseconds(400)}};
  beat.loads.emplace().push_back({77, {3, 4000, 5000}});
  const auto decoded = DecodeHeartbeat(EncodeHeartbeat(beat));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->sender.address, 0x0a010203U);
  EXPECT_EQ(decoded->sender.incarnation, 99U);
  EXPECT_EQ(decoded->sender.state, MemberState::kLeaving);
  ASSERT_EQ(decoded->members.size(), 2U);
  EXPECT_EQ(decoded->offers.at(0).age, std::chrono::milliseconds(400));
  EXPECT_EQ(decoded->loads->at(0).work.prefill_tokens, 4000U);
}

// Guards against datagrams of others that end the process.
TEST(HeartbeatCodec, RefusesAnyOtherBytes) {
  base::Random random(17);
  const std::string good = EncodeHeartbeat({MemberAt(5), {MemberAt(6)}, {}, std::nullopt});
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good.substr(0, random.Below(good.size() + 1));
    for (uint64_t flips = random.Below(4); flips > 0 && !bytes.empty(); --flips) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    }
    DecodeHeartbeat(bytes);  // any result is fine, as long as it returns
  }
}

}  // namespace
}  // namespace cornelplank::fleet
