#include <gtest/gtest.h>

#include "libs/membership/membership.h"

namespace cornelplank::membership {
namespace {

using std::chrono::seconds;

constexpr size_t kVest = 1;
constexpr size_t kKochi = 2;

/// A node of region 0 of three that has processed the configuration log up to entry 10.
class ConfirmationLimitTest : public testing::Test {
 protected:
  ConfirmationLimitTest() { confirmation_.SetOwnSeq(10, At(0)); }

  static base::TimePoint At(double second) {
    return base::TimePoint{} + seconds{1000} +
           std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(second));
  }
  void RecordHead(uint64_t head, double second, base::Duration age) {
    confirmation_.RecordPlatformHead(head, At(second) - age, At(second));
  }
  void RecordContact(size_t region, double second, base::Duration age) {
    confirmation_.RecordRegionContact(region, At(second) - age);
  }
  bool Confirmed(double second) const { return confirmation_.IsConfirmed({true, true, true}, At(second)); }

  Confirmation confirmation_{3, 0};
};

// Guards against a node that counts as confirmed before it has any evidence.
TEST_F(ConfirmationLimitTest, StartsUnconfirmed) { EXPECT_FALSE(Confirmed(0)); }

// Guards against evidence that counts for 14 s or longer after the fact, with the age at its arrival
// included.
TEST_F(ConfirmationLimitTest, PlatformEvidenceExpires) {
  RecordHead(10, 1, seconds{0});
  EXPECT_TRUE(Confirmed(14.999));
  EXPECT_FALSE(Confirmed(15));
  RecordHead(10, 20, seconds{4});
  EXPECT_TRUE(Confirmed(29.999));
  EXPECT_FALSE(Confirmed(30));
  RecordHead(10, 40, seconds{14});
  EXPECT_FALSE(Confirmed(40));
  RecordHead(10, 50, seconds{1'000'000});
  EXPECT_FALSE(Confirmed(50));
}

// Guards against evidence that arrives later but is older, and replaces younger evidence.
TEST_F(ConfirmationLimitTest, OlderEvidenceDoesNotReplaceYounger) {
  RecordHead(10, 2, seconds{0});
  RecordHead(10, 3, seconds{9});
  EXPECT_TRUE(Confirmed(15.9));
  EXPECT_EQ(confirmation_.HeadAge(At(3)), seconds{1});
}

// Guards against a node that is behind the head and counts as confirmed by the report of that head.
TEST_F(ConfirmationLimitTest, AHeadAboveTheOwnSeqConfirmsOnlyOnceReached) {
  RecordHead(12, 1, seconds{0});
  EXPECT_FALSE(Confirmed(1));
  confirmation_.SetOwnSeq(11, At(2));
  EXPECT_FALSE(Confirmed(2));
  confirmation_.SetOwnSeq(12, At(3));
  EXPECT_TRUE(Confirmed(14.9));
  EXPECT_FALSE(Confirmed(15));
}

// Guards against a stale platform server whose lower head keeps a node confirmed.
TEST_F(ConfirmationLimitTest, AStaleHeadDoesNotConfirm) {
  RecordHead(11, 5, seconds{0});
  confirmation_.SetOwnSeq(11, At(5));
  RecordHead(10, 18, seconds{0});
  EXPECT_TRUE(Confirmed(18.9));
  EXPECT_FALSE(Confirmed(19));
}

// Guards against a node that becomes unconfirmed in a platform outage although gossip reaches it from every
// region, and against one that counts as confirmed without contact with some region.
TEST_F(ConfirmationLimitTest, GossipNeedsAPathToEveryRegion) {
  RecordContact(kVest, 1, seconds{0});
  EXPECT_FALSE(Confirmed(1));
  RecordContact(kKochi, 2, seconds{6});
  EXPECT_TRUE(Confirmed(9.9));
  EXPECT_FALSE(Confirmed(10));
  RecordContact(kKochi, 11, seconds{0});
  EXPECT_TRUE(Confirmed(14.9));
  EXPECT_FALSE(Confirmed(15));
  EXPECT_EQ(confirmation_.RegionAge(kKochi, At(12)), seconds{1});
}

// Guards against a node that knows of a higher head for 14 s without reaching it and still counts as
// confirmed.
TEST_F(ConfirmationLimitTest, GossipDoesNotConfirmANodeThatStaysBehind) {
  for (int second = 1; second < 30; ++second) {
    RecordHead(11, second, seconds{0});
    RecordContact(kVest, second, seconds{0});
    RecordContact(kKochi, second, seconds{0});
    EXPECT_EQ(Confirmed(second), second < 15) << second;
  }
  confirmation_.SetOwnSeq(11, At(30));
  EXPECT_TRUE(Confirmed(30));
}

}  // namespace
}  // namespace cornelplank::membership
