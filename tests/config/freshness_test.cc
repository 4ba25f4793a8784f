#include <gtest/gtest.h>

#include "libs/config/config.h"

namespace cornelplank::config {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FreshnessTest : public testing::Test {
 protected:
  FreshnessTest() { freshness_.Advance(10, At(0)); }

  static base::TimePoint At(double second) {
    return base::TimePoint{} + seconds{1000} +
           std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(second));
  }
  bool Confirmed(double second) const { return freshness_.Confirmed({"ost", "vest", "kochi"}, At(second)); }

  Freshness freshness_{"ost"};
};

// Guards against a node that trusts its configuration with no evidence at all.
TEST_F(FreshnessTest, StartsUnconfirmed) { EXPECT_FALSE(Confirmed(0)); }

// Guards against evidence that lasts 14 s or longer, and against ages that are ignored.
TEST_F(FreshnessTest, PlatformEvidenceExpires) {
  freshness_.HearPlatform(10, At(1), seconds{0});
  EXPECT_TRUE(Confirmed(14.999));
  EXPECT_FALSE(Confirmed(15));
  freshness_.HearPlatform(10, At(20), seconds{4});
  EXPECT_TRUE(Confirmed(29.999));
  EXPECT_FALSE(Confirmed(30));
  freshness_.HearPlatform(10, At(40), seconds{14});
  EXPECT_FALSE(Confirmed(40));
  freshness_.HearPlatform(10, At(50), seconds{1'000'000'000});
  EXPECT_FALSE(Confirmed(50));
}

// Guards against late news that replaces younger evidence.
TEST_F(FreshnessTest, OlderEvidenceDoesNotReplaceYounger) {
  freshness_.HearPlatform(10, At(2), seconds{0});
  freshness_.HearPlatform(10, At(3), seconds{9});
  EXPECT_TRUE(Confirmed(15.9));
  EXPECT_EQ(freshness_.PlatformHead(At(3))->age, seconds{1});
}

// Guards against a node that is behind the head and counts the head as its confirmation.
TEST_F(FreshnessTest, AHeadAboveTheOwnSeqConfirmsOnlyOnceReached) {
  freshness_.HearPlatform(12, At(1), seconds{0});
  EXPECT_FALSE(Confirmed(1));
  freshness_.Advance(11, At(2));
  EXPECT_FALSE(Confirmed(2));
  freshness_.Advance(12, At(3));
  EXPECT_TRUE(Confirmed(14.9));
  EXPECT_FALSE(Confirmed(15));
}

// Guards against a stale platform whose lower head keeps a node confirmed.
TEST_F(FreshnessTest, AStaleHeadDoesNotConfirm) {
  freshness_.Advance(11, At(5));
  freshness_.HearPlatform(10, At(6), seconds{0});
  EXPECT_FALSE(Confirmed(6));
  freshness_.HearPlatform(10, At(6), seconds{2});  // stated before seq 11 was known
  EXPECT_TRUE(Confirmed(17.9));
  EXPECT_FALSE(Confirmed(18));
  freshness_.HearPlatform(9, At(18), seconds{13});
  EXPECT_FALSE(Confirmed(18));
}

// Guards against a stale platform that outweighs a peer with a higher seq.
TEST_F(FreshnessTest, APeersHigherSeqOverridesTheHead) {
  freshness_.HearPlatform(10, At(1), seconds{0});
  freshness_.HearRegion("vest", 11, At(2), milliseconds{1500});
  EXPECT_FALSE(freshness_.ConfirmedByPlatform(At(2)));
  EXPECT_EQ(freshness_.highest_seq(), 11U);
}

// Guards against a home-only mode during a platform outage with whole gossip, and against a confirmation with
// a region missing.
TEST_F(FreshnessTest, GossipNeedsAPathToEveryRegion) {
  freshness_.HearRegion("vest", 10, At(1), seconds{0});
  EXPECT_FALSE(Confirmed(1));
  freshness_.HearRegion("kochi", 10, At(2), seconds{6});
  EXPECT_TRUE(Confirmed(9.9));
  EXPECT_FALSE(Confirmed(10));
  freshness_.HearRegion("kochi", 10, At(11), seconds{0});
  EXPECT_TRUE(Confirmed(14.9));
  EXPECT_FALSE(Confirmed(15));
  EXPECT_EQ(freshness_.RegionAge("kochi", At(12)), seconds{1});
  EXPECT_FALSE(freshness_.RegionAge("vest", At(15)));
}

// Guards against a node that hears of a higher seq for long, can't reach it, and still counts as confirmed.
TEST_F(FreshnessTest, GossipDoesNotConfirmANodeThatStaysBehind) {
  for (int second = 1; second < 30; ++second) {
    freshness_.HearRegion("vest", 11, At(second), seconds{0});
    freshness_.HearRegion("kochi", 10, At(second), seconds{0});
    EXPECT_EQ(Confirmed(second), second < 15) << second;
  }
  freshness_.Advance(11, At(30));
  EXPECT_TRUE(Confirmed(30));
}

}  // namespace
}  // namespace cornelplank::config
