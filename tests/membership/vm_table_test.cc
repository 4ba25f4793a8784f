#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "libs/membership/membership.h"

namespace cornelplank::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{std::chrono::hours{1}};

VmListEntry Entry(const std::string& id, uint64_t incarnation, VmState state = VmState::kLive,
                  const std::string& zone = "ost-1") {
  return {id, "gavekvittering", zone.substr(0, zone.find('-')), zone, "", "", incarnation, state};
}

VmTable TableWith(const std::vector<VmListEntry>& others) {
  VmTable table(Entry("a", 1), kStart);
  std::vector<VmListEntry> list = others;
  list.push_back(Entry("a", 1));
  table.ApplyVmList(list, seconds{0}, kStart);
  return table;
}

enum class Step { kAnswer, kMiss, kHeartbeat, kOlder, kListLeaving, kPeerLeaving, kListLive, kNewer };

struct TableCase {
  const char* name;
  std::vector<Step> steps;  // one a second
  bool suspected;
  VmState state;
  uint64_t incarnation;
};

using enum Step;

class VmTableRules : public testing::TestWithParam<TableCase> {};

// Guards against a view that goes back to an older incarnation, forgets `leaving`, suspects on a single loss
// or clears a suspicion on evidence of one direction only.
TEST_P(VmTableRules, HoldAfterSteps) {
  VmTable table = TableWith({Entry("b", 5)});
  base::TimePoint now = kStart;
  for (const Step step : GetParam().steps) {
    now += seconds{1};
    table.Tick(now);
    if (step == kAnswer) table.RecordAnswer("b", 0, VmState::kLive, now);
    if (step == kMiss) table.RecordMissedCall("b", now);
    if (step == kHeartbeat) table.RecordHeartbeat(Entry("b", 5), now);
    if (step == kOlder) table.RecordAnswer("b", 4, VmState::kLeaving, now);
    if (step == kOlder) table.RecordHeartbeat(Entry("b", 4), now);
    if (step == kListLeaving) table.ApplyVmList({Entry("b", 5, VmState::kLeaving)}, seconds{0}, now);
    if (step == kPeerLeaving) table.LearnFromPeer(Entry("b", 5, VmState::kLeaving), seconds{1}, now);
    if (step == kListLive) table.ApplyVmList({Entry("b", 5)}, seconds{0}, now);
    if (step == kNewer) table.RecordHeartbeat(Entry("b", 6), now);
  }
  const Vm* vm = table.Find("b");
  ASSERT_NE(vm, nullptr);
  EXPECT_EQ(vm->suspected, GetParam().suspected);
  EXPECT_EQ(vm->entry.state, GetParam().state);
  EXPECT_EQ(vm->entry.incarnation, GetParam().incarnation);
}

constexpr VmState kLive = VmState::kLive;
constexpr VmState kLeaving = VmState::kLeaving;
INSTANTIATE_TEST_SUITE_P(
    Table, VmTableRules,
    testing::Values(
        TableCase{"TwoMissesTooEarly", {kMiss, kMiss}, false, kLive, 5},
        TableCase{"ThreeSecondsOfMisses", {kMiss, kMiss, kMiss}, true, kLive, 5},
        TableCase{"OneMissAfterSilence", {kHeartbeat, kHeartbeat, kHeartbeat, kMiss}, false, kLive, 5},
        TableCase{"AnswerBetweenMisses", {kMiss, kMiss, kAnswer, kMiss}, false, kLive, 5},
        TableCase{"HeartbeatsClearNothing", {kMiss, kMiss, kMiss, kHeartbeat, kHeartbeat}, true, kLive, 5},
        TableCase{"OneAnswerClearsNothing", {kMiss, kMiss, kMiss, kAnswer}, true, kLive, 5},
        TableCase{"TwoAnswersClear", {kMiss, kMiss, kMiss, kAnswer, kAnswer}, false, kLive, 5},
        TableCase{"OlderIsIgnored", {kMiss, kMiss, kMiss, kOlder}, true, kLive, 5},
        TableCase{"ListLeavingWins", {kListLeaving, kAnswer, kListLive}, false, kLeaving, 5},
        TableCase{"PeerLeavingWins", {kPeerLeaving, kHeartbeat}, false, kLeaving, 5},
        TableCase{"NewerReplacesLeaving", {kPeerLeaving, kMiss, kMiss, kMiss, kNewer}, false, kLive, 6}),
    [](const auto& info) { return info.param.name; });

// Guards against a suspicion raised by this node's own pause.
TEST(VmTableTest, OwnPauseSuspectsNobody) {
  VmTable table = TableWith({Entry("b", 5)});
  table.RecordMissedCall("b", kStart + milliseconds{500});
  table.Tick(kStart + seconds{60});
  table.RecordMissedCall("b", kStart + seconds{60});
  EXPECT_FALSE(table.Find("b")->suspected);
}

// Guards against removal by suspicion or by an old list, and against peers that keep a dead VM alive.
TEST(VmTableTest, RemovesOnlyWhatTheListDroppedAndNobodyHears) {
  VmTable table = TableWith({Entry("b", 5), Entry("c", 5)});
  base::TimePoint now = kStart;
  for (int i = 0; i < 15; ++i) {
    now += seconds{1};
    table.RecordMissedCall("b", now);
    table.Tick(now);
  }
  ASSERT_NE(table.Find("b"), nullptr);
  table.ApplyVmList({Entry("a", 1)}, seconds{60}, now);
  table.Tick(now + seconds{1});
  ASSERT_NE(table.Find("b"), nullptr) << "a list older than the newest one must not count";
  table.RecordHeartbeat(Entry("c", 5), now);
  table.ApplyVmList({Entry("a", 1)}, seconds{0}, now + seconds{1});
  table.Tick(now + seconds{2});
  EXPECT_EQ(table.Find("b"), nullptr);
  ASSERT_NE(table.Find("c"), nullptr) << "a VM that is heard stays";
  table.LearnFromPeer(Entry("b", 5), seconds{20}, now + seconds{2});
  EXPECT_EQ(table.Find("b"), nullptr);
  table.RecordHeartbeat(Entry("b", 4), now + seconds{3});
  EXPECT_EQ(table.Find("b"), nullptr) << "an older incarnation must not come back";
  table.RecordHeartbeat(Entry("d", 1), now + seconds{3});
  EXPECT_NE(table.Find("d"), nullptr) << "a VM known from peers doesn't wait for the list";
}

// Guards against clients that are sent to leaving or distant VMs first, or all to the same one.
TEST(EntryOrderTest, OwnZoneFirstNearestNextSuspectedLast) {
  VmTable table =
      TableWith({Entry("b", 5), Entry("c", 5, VmState::kLeaving), Entry("d", 5, VmState::kLive, "ost-2"),
                 Entry("e", 5, VmState::kLive, "nord-1"), Entry("f", 5, VmState::kLive, "vest-1")});
  const RegionDistances distances{{"nord", milliseconds{80}}, {"vest", milliseconds{40}}};
  const auto order = [&](const std::string& client) {
    std::string ids;
    for (const Vm* vm : OrderEntryVms(table, {client, "ost-1", "ost", "gavekvittering"}, distances)) {
      ids += vm->entry.id;
    }
    return ids;
  };
  int first_a = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string ids = order("client" + std::to_string(i));
    EXPECT_TRUE(ids == "abdfe" || ids == "badfe") << ids;
    first_a += ids[0] == 'a' ? 1 : 0;
  }
  EXPECT_GT(first_a, 25);
  EXPECT_LT(first_a, 75);
  for (int i = 1; i <= 3; ++i) table.RecordMissedCall("b", kStart + seconds{i});
  EXPECT_EQ(order("client1"), "adfeb");
}

// Guards against a zone without a reader, poller or planner while it has a usable VM.
TEST(SelectorTest, ChooseUsableVms) {
  VmTable table = TableWith({Entry("b", 5, VmState::kLeaving), Entry("c", 5)});
  EXPECT_EQ(ReaderSelector::Readers(table, "ost-1").size(), 2U);
  EXPECT_TRUE(ReaderSelector::IsOwnReader(table));
  for (int i = 1; i <= 3; ++i) table.RecordMissedCall("c", kStart + seconds{i});
  EXPECT_EQ(ReaderSelector::Readers(table, "ost-1"), (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(ReplicaPollerSelector::Poller(table, "ost-1", "r1"), "a");
  EXPECT_EQ(ReplicaPollerSelector::Planner(table, "ost-1"), "a");
  EXPECT_EQ(ReplicaPollerSelector::OwnReplicas(table, {"r1", "r2"}).size(), 2U);
}

// Guards against a peer that is suspected for one silent connection, and against a silent connection that is
// kept.
TEST(ConnectionHealthTest, ReplacesFirstAndSuspectsOnlyWhenTheReplacementFails) {
  using Advice = ConnectionHealth::Advice;
  ConnectionHealth health(kStart);
  base::TimePoint now = kStart;
  const auto wait = [&](int quarters) {
    std::vector<Advice> advice;
    for (int i = 0; i < quarters; ++i) {
      now += milliseconds{250};
      if (const Advice next = health.Check(now); next != Advice::kNone) advice.push_back(next);
    }
    return advice;
  };
  EXPECT_TRUE(wait(40).empty()) << "an idle connection is not silent";
  health.OnCallStarted(now);
  EXPECT_EQ(wait(8), (std::vector<Advice>{Advice::kPing, Advice::kReplace}));
  health.OnCallStarted(now);
  EXPECT_EQ(wait(8), (std::vector<Advice>{Advice::kPing, Advice::kSuspectPeer}));
  health.OnCallStarted(now);
  health.OnProgress(now);
  EXPECT_EQ(wait(8).back(), Advice::kReplace);
  health.OnCallStarted(now);
  now += seconds{30};
  EXPECT_EQ(health.Check(now), Advice::kNone) << "an own pause is no evidence";
}

}  // namespace
}  // namespace cornelplank::membership
