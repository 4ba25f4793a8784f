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

/// An event that the table records for VM "b" (incarnation 5 unless the name says otherwise).
enum class Step { kAnswer, kMiss, kHeartbeat, kOlder, kListLeaving, kPeerLeaving, kListLive, kNewer };

struct TableCase {
  const char* name;
  std::vector<Step> steps;  // one per second
  bool suspected;
  VmState state;
  uint64_t incarnation;
};

using enum Step;

class VmTableRules : public testing::TestWithParam<TableCase> {};

// Guards against a table that returns to an older incarnation, forgets that a VM is leaving, suspects a VM
// after a single lost call, or clears a suspicion by calls that came in from the VM.
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

// Guards against suspicions after a pause of this process, during which it read no answers.
TEST(VmTableTest, OwnPauseSuspectsNobody) {
  VmTable table = TableWith({Entry("b", 5)});
  table.RecordMissedCall("b", kStart + milliseconds{500});
  table.Tick(kStart + seconds{60});
  table.RecordMissedCall("b", kStart + seconds{60});
  EXPECT_FALSE(table.Find("b")->suspected);
}

// Guards against the removal of a VM because it is suspected or missing from an old list, and against peers
// that add a removed VM again by repeating each other's old entries.
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
  ASSERT_NE(table.Find("b"), nullptr) << "a list older than the newest one must be ignored";
  table.RecordHeartbeat(Entry("c", 5), now);
  table.ApplyVmList({Entry("a", 1)}, seconds{0}, now + seconds{1});
  table.Tick(now + seconds{2});
  EXPECT_EQ(table.Find("b"), nullptr);
  ASSERT_NE(table.Find("c"), nullptr) << "a VM that still sends messages must stay";
  table.LearnFromPeer(Entry("b", 5), seconds{20}, now + seconds{2});
  EXPECT_EQ(table.Find("b"), nullptr);
  table.RecordHeartbeat(Entry("b", 4), now + seconds{3});
  EXPECT_EQ(table.Find("b"), nullptr) << "an older incarnation must not be added again";
  table.RecordHeartbeat(Entry("d", 1), now + seconds{3});
  EXPECT_NE(table.Find("d"), nullptr) << "a VM that calls must be added before the list contains it";
}

// Guards against clients that are directed to leaving or distant VMs first, or all to the same VM.
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

// Guards against a zone that has a usable VM but no reader, poller or planner.
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

// Guards against a peer that is suspected because of one silent connection, and against a silent connection
// that is not replaced.
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
  EXPECT_TRUE(wait(40).empty()) << "without a call the connection must not count as silent";
  health.OnCallStarted(now);
  EXPECT_EQ(wait(8), (std::vector<Advice>{Advice::kPing, Advice::kReplace}));
  health.OnCallStarted(now);
  EXPECT_EQ(wait(8), (std::vector<Advice>{Advice::kPing, Advice::kSuspectPeer}));
  health.OnCallStarted(now);
  health.OnProgress(now);
  EXPECT_EQ(wait(8).back(), Advice::kReplace);
  health.OnCallStarted(now);
  now += seconds{30};
  EXPECT_EQ(health.Check(now), Advice::kNone) << "silence during a pause of this process must not count";
}

}  // namespace
}  // namespace cornelplank::membership
