#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "libs/membership/membership.h"

namespace cornelplank::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{std::chrono::hours{1}};

NameIndex Names() {
  NameIndex names;
  names.regions = {"nord", "ost"};
  names.zones = {"nord-1", "ost-1"};
  names.replicas = {"r0", "r1", "r2"};
  names.slots = {16, 16, 16};
  names.classes = {"p/desk"};
  return names;
}

struct Node {
  Node(const std::string& id, const std::string& region, uint64_t seed)
      : table({id, "p", region, region + "-1", "", "", 1, VmState::kLive}, kStart),
        gossip(GossipSettings{}, Names(), table, seed, kStart) {}
  VmTable table;
  GossipState gossip;
};

/// Makes a call from `a` to `b` with its answer. Returns the size of both messages together, in bytes.
size_t Exchange(Node& a, Node& b, base::TimePoint now) {
  a.table.RecordHeartbeat(b.table.own().entry, now);
  const GossipMessage call =
      a.gossip.BuildMessage(*a.table.Find(b.table.own().entry.id), a.table, nullptr, now);
  b.gossip.MergeCall(a.table.own().entry, call, b.table, now);
  const GossipMessage answer =
      b.gossip.BuildMessage(*b.table.Find(a.table.own().entry.id), b.table, &call, now);
  a.gossip.MergeAnswer(b.table.own().entry, answer, now - milliseconds{10}, a.table, now);
  return EncodedBytes(call) + EncodedBytes(answer);
}

// Guards against a zone that appears to other zones to have no slots until its first load report.
TEST(GossipTest, AZoneWithoutLoadReportsHasNoSum) {
  Node near("a", "ost", 1);
  Node far("b", "nord", 2);
  Exchange(far, near, kStart);
  EXPECT_FALSE(far.gossip.FindZoneSum(1, kStart));
  near.gossip.SetOwnLoad(0, 5, 1, ReplicaState::kReady, kStart);
  const base::TimePoint later = kStart + seconds{10};
  Exchange(far, near, later);
  ASSERT_TRUE(far.gossip.FindZoneSum(1, later));
  EXPECT_EQ(far.gossip.FindZoneSum(1, later)->slots, 16);
}

// Guards against entries that are sent again although the peer has them, and entries that never reach a peer.
TEST(GossipTest, SendsEachChangeOnceAndAnswersStaleEntries) {
  Node a("a", "ost", 1);
  Node b("b", "ost", 2);
  Node c("c", "ost", 3);
  base::TimePoint now = kStart;
  Exchange(a, b, now);
  Exchange(a, b, now);
  const size_t idle = Exchange(a, b, now);
  a.gossip.SetOwnLoad(0, 5, 1, ReplicaState::kReady, now);
  EXPECT_EQ(Exchange(a, b, now), idle + 16);
  ASSERT_TRUE(b.gossip.FindReplicaLoad(0, now));
  EXPECT_EQ(b.gossip.FindReplicaLoad(0, now)->running, 5);
  EXPECT_FALSE(b.gossip.FindReplicaLoad(1, now));
  Exchange(a, b, now);
  EXPECT_EQ(Exchange(a, b, now), idle);
  now += seconds{1};
  a.gossip.SetOwnLoad(0, 6, 1, ReplicaState::kReady, now);
  EXPECT_EQ(Exchange(a, b, now), idle) << "a small change must wait for the refresh";
  // In a partition between c and a, c gets the entry by asking b for it.
  Exchange(c, b, now);
  ASSERT_TRUE(c.gossip.FindReplicaLoad(0, now));
  EXPECT_EQ(c.gossip.FindReplicaLoad(0, now)->running, 5);
  EXPECT_EQ(c.gossip.FindReplicaLoad(0, now)->age, 10);
}

// Guards against an older entry that replaces a younger one when messages arrive out of order.
TEST(GossipTest, YoungestEntryWins) {
  Node a("a", "ost", 1);
  Node b("b", "ost", 2);
  b.table.RecordHeartbeat(a.table.own().entry, kStart);
  GossipMessage young;
  young.loads = {{1, 9, 0, ReplicaState::kLeaving, 2}};
  GossipMessage old;
  old.loads = {{1, 3, 0, ReplicaState::kReady, 20}};
  b.gossip.MergeCall(a.table.own().entry, young, b.table, kStart + seconds{1});
  b.gossip.MergeCall(a.table.own().entry, old, b.table, kStart + seconds{2});
  EXPECT_EQ(b.gossip.FindReplicaLoad(1, kStart + seconds{2})->state, ReplicaState::kLeaving);
}

// Guards against peers that learn only in later rounds that a replica is leaving, and send it new requests
// till then.
TEST(GossipTest, LeavingReplicaCallsAllPeersAtOnce) {
  Node a("a", "ost", 1);
  for (int i = 0; i < 9; ++i) {
    a.table.RecordHeartbeat({std::to_string(i), "p", "ost", "ost-1", "", "", 1, VmState::kLive}, kStart);
  }
  a.gossip.RecordPlatformHead(0, kStart, kStart);
  a.gossip.SetOwnLoad(0, 5, 1, ReplicaState::kReady, kStart);
  EXPECT_LE(a.gossip.TakeDueZoneCalls(a.table, kStart + seconds{1}).size(), 1U);
  a.gossip.SetOwnLoad(0, 5, 1, ReplicaState::kLeaving, kStart);
  EXPECT_GE(a.gossip.TakeDueZoneCalls(a.table, kStart + milliseconds{1100}).size(), 8U);
}

// Guards against peers that call a dead VM only in later rounds, and against a suspicion without an own
// missed call.
TEST(GossipTest, MissedCallMakesPeersCallTheVm) {
  Node a("a", "ost", 1);
  Node b("b", "ost", 2);
  VmListEntry entry{"d", "p", "ost", "ost-1", "", "", 1, VmState::kLive};
  for (const char* id : {"d", "e", "f", "g", "h", "i", "j"}) {
    entry.id = id;
    a.table.RecordHeartbeat(entry, kStart);
    b.table.RecordHeartbeat(entry, kStart);
  }
  const base::TimePoint now = kStart + seconds{5};
  a.gossip.RecordPlatformHead(0, now, now);
  b.gossip.RecordPlatformHead(0, now, now);
  Exchange(a, b, now);
  EXPECT_THAT(b.gossip.TakeDueZoneCalls(b.table, now), testing::Not(testing::Contains("d")));
  a.gossip.RecordFailedCall("d", a.table, now);
  EXPECT_THAT(a.gossip.TakeDueZoneCalls(a.table, now), testing::Contains("b"));
  Exchange(a, b, now);
  EXPECT_THAT(b.gossip.TakeDueZoneCalls(b.table, now), testing::Contains("d"));
  EXPECT_FALSE(b.table.Find("d")->last_call_missed);
}

// Guards against entries that are merged by an index of another configuration, and entries that are never
// sent again after the configurations agree.
TEST(GossipTest, OtherNamesAreIgnoredAndSentAgain) {
  Node a("a", "ost", 1);
  Node b("b", "ost", 2);
  NameIndex other = Names();
  other.replicas = {"q0", "r0"};
  other.slots = {16, 16};
  other.zone_hash = 7;
  b.gossip.SetNames(other, b.table);
  a.gossip.SetOwnLoad(0, 5, 1, ReplicaState::kReady, kStart);
  Exchange(a, b, kStart);
  Exchange(a, b, kStart);
  EXPECT_FALSE(b.gossip.FindReplicaLoad(0, kStart));
  a.gossip.SetNames(other, a.table);
  Exchange(a, b, kStart);
  EXPECT_FALSE(b.gossip.FindReplicaLoad(0, kStart));
  ASSERT_TRUE(b.gossip.FindReplicaLoad(1, kStart)) << "r0 has index 1 in the new configuration";
  EXPECT_EQ(b.gossip.FindReplicaLoad(1, kStart)->running, 5);
}

// Guards against a node that counts as confirmed by old evidence or a stale platform server, or although it
// knows of a newer head that it hasn't reached.
TEST(ConfirmationTest, NeedsYoungNewsFromPlatformOrAllRegions) {
  Confirmation confirmation(2, 0);
  const std::vector<bool> all{true, true};
  EXPECT_FALSE(confirmation.IsConfirmed(all, kStart));
  EXPECT_TRUE(confirmation.IsConfirmed({true, false}, kStart))
      << "a region without VMs can hold no newer version";
  confirmation.SetOwnSeq(5, kStart);
  confirmation.RecordPlatformHead(5, kStart, kStart);
  EXPECT_TRUE(confirmation.IsConfirmed(all, kStart + seconds{13}));
  EXPECT_FALSE(confirmation.IsConfirmed(all, kStart + seconds{14}));
  confirmation.RecordPlatformHead(4, kStart + seconds{14}, kStart + seconds{14});
  EXPECT_FALSE(confirmation.IsConfirmed(all, kStart + seconds{14}))
      << "a stale platform server must confirm nothing";
  confirmation.RecordRegionContact(1, kStart + seconds{10});
  EXPECT_TRUE(confirmation.IsConfirmed(all, kStart + seconds{20}));
  confirmation.RecordPlatformHead(7, kStart + seconds{20}, kStart + seconds{20});
  confirmation.RecordRegionContact(1, kStart + seconds{40});
  EXPECT_FALSE(confirmation.IsConfirmed(all, kStart + seconds{40}))
      << "a newer head is known but not reached";
  confirmation.SetOwnSeq(7, kStart + seconds{41});
  EXPECT_TRUE(confirmation.IsConfirmed(all, kStart + seconds{41}));
}

// Guards against ages taken from incoming calls, which may have waited in a silent connection for any time.
TEST(ConfirmationTest, IncomingCallsConfirmNothing) {
  Node a("a", "ost", 1);
  Node n("n", "nord", 2);
  Exchange(n, a, kStart);
  EXPECT_FALSE(a.gossip.IsConfirmed(a.table, kStart));
  EXPECT_TRUE(n.gossip.IsConfirmed(n.table, kStart));
}

// Guards against a burst of fall-back reads when a platform outage ends, since all nodes have waited for it,
// and against more of them than one per 5 s and node.
TEST(ReadScheduleTest, NoBurstAfterAnOutage) {
  std::vector<ReadSchedule> nodes;
  for (uint64_t i = 0; i < 370; ++i) nodes.emplace_back(i, kStart);
  const auto fallback_calls_in_second = [&](int second, bool answered) {
    int calls = 0;
    for (int tenth = 0; tenth < 10; ++tenth) {
      const base::TimePoint now = kStart + seconds{second} + milliseconds{100 * tenth};
      for (size_t i = 0; i < nodes.size(); ++i) {
        if (!nodes[i].IsDue(i < 52, seconds{second}, now)) continue;
        nodes[i].OnCallStarted(now);
        nodes[i].OnCallEnded(answered, now);
        if (i >= 52) ++calls;
      }
    }
    return calls;
  };
  for (int second = 0; second < 600; ++second) fallback_calls_in_second(second, false);
  int most = 0;
  for (int second = 600; second < 630; ++second) {
    most = std::max(most, fallback_calls_in_second(second, second % 2 == 1));
  }
  EXPECT_LE(most, 318 / 5) << "the busiest second has more than one call per 5 s and fall-back node";
  EXPECT_FALSE(nodes[300].IsDue(false, seconds{4}, kStart + seconds{700}))
      << "a fall-back read before 5 s without a confirmation";
}

}  // namespace
}  // namespace cornelplank::membership
