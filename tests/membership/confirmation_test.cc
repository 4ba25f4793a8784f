#include <gtest/gtest.h>

#include "libs/membership/membership.h"

namespace cornelplank::membership {
namespace {

using std::chrono::seconds;

constexpr size_t kVest = 1;
constexpr size_t kKochi = 2;

/// A node of region 0 out of three, at entry 10.
class ConfirmationLimitTest : public testing::Test {
 protected:
  ConfirmationLimitTest() { confirmation_.SetOwnSeq(10, At(0)); }

  static base::TimePoint At(double second) {
    return base::TimePoint{} + seconds{1000} +
           std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(second));
  }
  void HearPlatform(uint64_t head, double second, base::Duration age) {
    confirmation_.RecordPlatformHead(head, At(second) - age, At(second));
  }
  void HearRegion(size_t region, double second, base::Duration age) {
    confirmation_.RecordRegionContact(region, At(second) - age);
  }
  bool Confirmed(double second) const { return confirmation_.IsConfirmed({true, true, true}, At(second)); }

  Confirmation confirmation_{3, 0};
};

// Guards against a node that trusts its configuration with no evidence at all.
TEST_F(ConfirmationLimitTest, StartsUnconfirmed) { EXPECT_FALSE(Confirmed(0)); }

// Guards against evidence that lasts 14 s or longer, and against ages that are ignored.
TEST_F(ConfirmationLimitTest, PlatformEvidenceExpires) {
  HearPlatform(10, 1, seconds{0});
  EXPECT_TRUE(Confirmed(14.999));
  EXPECT_FALSE(Confirmed(15));
  HearPlatform(10, 20, seconds{4});
  EXPECT_TRUE(Confirmed(29.999));
  EXPECT_FALSE(Confirmed(30));
  HearPlatform(10, 40, seconds{14});
  EXPECT_FALSE(Confirmed(40));
  HearPlatform(10, 50, seconds{1'000'000});
  EXPECT_FALSE(Confirmed(50));
}

// Guards against late news that replaces younger evidence.
TEST_F(ConfirmationLimitTest, OlderEvidenceDoesNotReplaceYounger) {
  HearPlatform(10, 2, seconds{0});
  HearPlatform(10, 3, seconds{9});
  EXPECT_TRUE(Confirmed(15.9));
  EXPECT_EQ(confirmation_.HeadAge(At(3)), seconds{1});
}

// Guards against a node that is behind the head and counts the head as its confirmation.
TEST_F(ConfirmationLimitTest, AHeadAboveTheOwnSeqConfirmsOnlyOnceReached) {
  HearPlatform(12, 1, seconds{0});
  EXPECT_FALSE(Confirmed(1));
  confirmation_.SetOwnSeq(11, At(2));
  EXPECT_FALSE(Confirmed(2));
  confirmation_.SetOwnSeq(12, At(3));
  EXPECT_TRUE(Confirmed(14.9));
  EXPECT_FALSE(Confirmed(15));
}

// Guards against a stale platform whose lower head keeps a node confirmed.
TEST_F(ConfirmationLimitTest, AStaleHeadDoesNotConfirm) {
  HearPlatform(11, 5, seconds{0});
  confirmation_.SetOwnSeq(11, At(5));
  HearPlatform(10, 18, seconds{0});
  EXPECT_TRUE(Confirmed(18.9));
  EXPECT_FALSE(Confirmed(19));
}

// Guards against a home-only mode during a platform outage with whole gossip, and against a confirmation with
// a region missing.
TEST_F(ConfirmationLimitTest, GossipNeedsAPathToEveryRegion) {
  HearRegion(kVest, 1, seconds{0});
  EXPECT_FALSE(Confirmed(1));
  HearRegion(kKochi, 2, seconds{6});
  EXPECT_TRUE(Confirmed(9.9));
  EXPECT_FALSE(Confirmed(10));
  HearRegion(kKochi, 11, seconds{0});
  EXPECT_TRUE(Confirmed(14.9));
  EXPECT_FALSE(Confirmed(15));
  EXPECT_EQ(confirmation_.RegionAge(kKochi, At(12)), seconds{1});
}

// Guards against a node that hears of a higher seq for long, can't reach it, and still counts as confirmed.
TEST_F(ConfirmationLimitTest, GossipDoesNotConfirmANodeThatStaysBehind) {
  for (int second = 1; second < 30; ++second) {
    HearPlatform(11, second, seconds{0});
    HearRegion(kVest, second, seconds{0});
    HearRegion(kKochi, second, seconds{0});
    EXPECT_EQ(Confirmed(second), second < 15) << second;
  }
  confirmation_.SetOwnSeq(11, At(30));
  EXPECT_TRUE(Confirmed(30));
}

}  // namespace
}  // namespace cornelplank::membership
