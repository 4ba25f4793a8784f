#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "libs/serving/serving.h"

namespace cornelplank::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Parts = std::vector<uint64_t>;

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr uint64_t kRoute = 1;    // first part of all prompts of a route
constexpr uint64_t kFaulty = 66;  // crashes replicas
constexpr size_t kAllCrashes = 1000;
constexpr milliseconds kMoment{1};

struct CrashAt {
  milliseconds at;
  uint32_t replica_key;
  Parts parts;
};

/// Records the crashes, which come in order of time.
void RecordAll(const std::vector<CrashAt>& crashes, PromptQuarantine* quarantine) {
  for (const CrashAt& crash : crashes) {
    quarantine->RecordCrash(crash.parts, crash.replica_key, kStart + crash.at);
  }
}

constexpr size_t kLastRank = 100;  // of a VM whose turn to make a trial does not come

/// A quarantine in which `kFaulty` is condemned at `kStart` + 2 s.
PromptQuarantine Condemned(uint32_t vm = 1) {
  PromptQuarantine quarantine(vm, 1);
  RecordAll({{seconds(0), 1, {kFaulty}}, {seconds(1), 2, {kFaulty}}, {seconds(2), 3, {kFaulty}}},
            &quarantine);
  return quarantine;
}

bool Refuses(PromptQuarantine* quarantine, uint64_t part, base::TimePoint now) {
  return quarantine->Check({part}, kLastRank, now).has_value();
}

/// The refused ones of the parts.
Parts RefusedOf(PromptQuarantine* quarantine, const Parts& parts, base::TimePoint now) {
  Parts refused;
  for (const uint64_t part : parts) {
    if (Refuses(quarantine, part, now)) refused.push_back(part);
  }
  return refused;
}

struct VerdictCase {
  const char* name;
  std::vector<CrashAt> crashes;
  Parts refused;  // among the parts that the crashes name
};

class VerdictTest : public ::testing::TestWithParam<VerdictCase> {};

// Guards against a faulty part that goes on crashing replicas, and against sound parts that are refused
// because requests with them were at replicas that crashed.
TEST_P(VerdictTest, CondemnsThePartsThatExplainTheCrashes) {
  PromptQuarantine quarantine(1, 1);
  RecordAll(GetParam().crashes, &quarantine);
  Parts named;
  for (const CrashAt& crash : GetParam().crashes) {
    named.insert(named.end(), crash.parts.begin(), crash.parts.end());
  }
  std::sort(named.begin(), named.end());
  named.erase(std::unique(named.begin(), named.end()), named.end());
  EXPECT_EQ(RefusedOf(&quarantine, named, kStart + GetParam().crashes.back().at), GetParam().refused);
  EXPECT_EQ(quarantine.quarantined_count(), GetParam().refused.size());
}

/// Crashes of `replicas` replicas at one moment, each with a request of the parts.
std::vector<CrashAt> MassFailure(uint32_t replicas, const Parts& parts) {
  std::vector<CrashAt> crashes;
  for (uint32_t replica = 1; replica <= replicas; ++replica) {
    crashes.push_back({milliseconds(replica * 9), replica, parts});
  }
  return crashes;
}

INSTANTIATE_TEST_SUITE_P(
    Crashes, VerdictTest,
    ::testing::Values(
        VerdictCase{"ThreeReplicas",
                    {{seconds(0), 1, {5}}, {milliseconds(400), 2, {5}}, {milliseconds(800), 3, {5}}},
                    {5}},
        VerdictCase{"TwoReplicas", {{seconds(0), 1, {5}}, {seconds(1), 2, {5}}}, {}},
        VerdictCase{"TooCloseToEachOther",
                    {{seconds(0), 1, {5}}, {milliseconds(200), 2, {5}}, {milliseconds(400), 3, {5}}},
                    {}},
        VerdictCase{"AllReplicasFailWithinASecond",
                    {{seconds(0), 1, {5}},
                     {seconds(0), 2, {5}},
                     {seconds(0), 3, {5}},
                     {milliseconds(260), 4, {5}},
                     {milliseconds(260), 5, {5}},
                     {milliseconds(520), 6, {5}},
                     {milliseconds(520), 7, {5}}},
                    {}},
        VerdictCase{"SpreadTooShort",
                    {{seconds(0), 1, {5}}, {milliseconds(200), 2, {5}}, {milliseconds(399), 3, {5}}},
                    {}},
        VerdictCase{"MassFailure", MassFailure(40, {1, 5}), {}},
        VerdictCase{
            "OneReplicaThreeTimes", {{seconds(0), 1, {5}}, {seconds(5), 1, {5}}, {seconds(10), 1, {5}}}, {}},
        VerdictCase{
            "TwoReplicasByTurns", {{seconds(0), 1, {5}}, {seconds(5), 2, {5}}, {seconds(10), 1, {5}}}, {}},
        VerdictCase{"SeveralRequestsOfEachCrash",
                    {{seconds(0), 1, {5, 7}},
                     {milliseconds(1), 1, {5, 8}},
                     {milliseconds(500), 1, {5, 9}},
                     {seconds(2), 2, {5, 7}},
                     {milliseconds(2500), 2, {5, 8}}},
                    {}},
        VerdictCase{
            "MoreThanAMinuteApart", {{seconds(0), 1, {5}}, {seconds(31), 2, {5}}, {seconds(61), 3, {5}}}, {}},
        VerdictCase{
            "WithinAMinute", {{seconds(0), 1, {5}}, {seconds(31), 2, {5}}, {seconds(60), 3, {5}}}, {5}},
        // All crashes name the first part as well; the later part is the more specific explanation.
        VerdictCase{"SharedFirstPart",
                    {{seconds(0), 1, {9, 5}}, {seconds(1), 2, {9, 5}}, {seconds(2), 3, {9, 5}}},
                    {5}},
        VerdictCase{"SpecificPartsDiffer",
                    {{seconds(0), 1, {9, 5}}, {seconds(1), 2, {9, 6}}, {seconds(2), 3, {9, 7}}},
                    {9}},
        VerdictCase{"MiddlePart",
                    {{seconds(0), 1, {9, 5, 2}}, {seconds(1), 2, {9, 5, 3}}, {seconds(2), 3, {9, 5, 4}}},
                    {5}},
        VerdictCase{"TwoFaultyParts",
                    {{seconds(0), 1, {9, 5}},
                     {seconds(1), 2, {9, 6}},
                     {seconds(2), 3, {8, 5}},
                     {seconds(3), 4, {8, 6}},
                     {seconds(4), 5, {7, 5}},
                     {seconds(5), 6, {7, 6}}},
                    {5, 6}},
        // Part 4 is at each replica that part 5 crashes, in requests of its own.
        VerdictCase{"OtherRequestsAtTheSameReplicas",
                    {{seconds(0), 1, {5}},
                     {milliseconds(20), 1, {4}},
                     {seconds(1), 2, {5}},
                     {milliseconds(1020), 2, {4}},
                     {seconds(2), 3, {5}},
                     {milliseconds(2020), 3, {4}},
                     {seconds(3), 4, {5}}},
                    {5}},
        VerdictCase{"BystanderOfOneCrash",
                    {{seconds(0), 1, {5}}, {seconds(1), 2, {5}}, {seconds(2), 3, {5}}, {seconds(2), 3, {4}}},
                    {5}}),
    [](const auto& info) { return info.param.name; });

// Guards against refusing a whole route because of a faulty part that some of its requests hold, before and
// after the faulty part is condemned.
TEST(PromptQuarantine, KeepsTheSharedFirstPartAllowedWhileItGetsAnswers) {
  PromptQuarantine quarantine(1, 1);
  for (int crash = 0; crash < 6; ++crash) {
    const base::TimePoint now = kStart + seconds(3) * crash;
    // The crashes name the first part more often than the faulty one.
    const uint64_t specific = crash % 2 == 0 ? kFaulty : 100 + crash;
    quarantine.RecordCrash({kRoute, specific}, 1 + crash, now);
    EXPECT_FALSE(Refuses(&quarantine, kRoute, now)) << crash;
    quarantine.RecordAnswer({kRoute, 40}, now + milliseconds(100));
  }
  EXPECT_EQ(RefusedOf(&quarantine, {kRoute, kFaulty, 40, 101, 103, 105}, kStart + seconds(16)),
            Parts{kFaulty});
}

struct ClearanceCase {
  const char* name;
  milliseconds answer_at;
  bool refused;  // after the third crash
};

class ClearanceTest : public ::testing::TestWithParam<ClearanceCase> {};

// Guards against condemning a part that got an answer after some of the crashes, and against answers from
// before the crashes that count for a part that has become faulty.
TEST_P(ClearanceTest, RemovesThePartFromEarlierCrashes) {
  PromptQuarantine quarantine(1, 1);
  PromptQuarantine other(2, 1);  // saw the answer, and hears of the crashes later
  const std::vector<CrashAt> crashes{
      {seconds(4), 1, {kFaulty}}, {seconds(8), 2, {kFaulty}}, {seconds(12), 3, {kFaulty}}};
  bool answered = false;
  for (const CrashAt& crash : crashes) {
    if (!answered && GetParam().answer_at < crash.at) {
      quarantine.RecordAnswer({kFaulty}, kStart + GetParam().answer_at);
      answered = true;
    }
    quarantine.RecordCrash(crash.parts, crash.replica_key, kStart + crash.at);
  }
  if (!answered) quarantine.RecordAnswer({kFaulty}, kStart + GetParam().answer_at);
  other.Merge(quarantine.Report(kAllCrashes, kStart + seconds(20)), kStart + seconds(20));
  EXPECT_EQ(Refuses(&quarantine, kFaulty, kStart + seconds(20)), GetParam().refused);
  EXPECT_EQ(Refuses(&other, kFaulty, kStart + seconds(20)), GetParam().refused);
}

INSTANTIATE_TEST_SUITE_P(Answers, ClearanceTest,
                         ::testing::Values(ClearanceCase{"BeforeAllCrashes", seconds(1), true},
                                           ClearanceCase{"AfterTheFirst", seconds(6), false},
                                           ClearanceCase{"AfterTheSecond", seconds(10), false},
                                           ClearanceCase{"AfterTheVerdict", seconds(14), false}),
                         [](const auto& info) { return info.param.name; });

// Guards against a verdict that stays in force at VMs that did not see the answer, or that comes back from a
// VM that did not hear of it.
TEST(PromptQuarantine, LiftsAVerdictOnAllVms) {
  PromptQuarantine first = Condemned(1);
  PromptQuarantine second(2, 1);
  PromptQuarantine cut_off(3, 1);
  const base::TimePoint settled = kStart + seconds(10);
  ASSERT_TRUE(Refuses(&first, kFaulty, settled));
  second.Merge(first.Report(kAllCrashes, settled), settled);
  cut_off.Merge(first.Report(kAllCrashes, settled), settled);
  ASSERT_TRUE(Refuses(&second, kFaulty, settled));
  second.RecordAnswer({kFaulty}, settled + seconds(1));
  first.Merge(second.Report(kAllCrashes, settled + seconds(1)), settled + seconds(1));
  EXPECT_FALSE(Refuses(&first, kFaulty, settled + seconds(1)));
  const base::TimePoint later = settled + minutes(3);
  first.Merge(cut_off.Report(kAllCrashes, later), later);
  EXPECT_FALSE(Refuses(&first, kFaulty, later));
  cut_off.Merge(first.Report(kAllCrashes, later), later);
  EXPECT_FALSE(Refuses(&cut_off, kFaulty, later));
}

// Guards against trials that crash more replicas than needed: each failed one doubles the time to the next,
// there is one at a time, and only the elected VM makes it.
TEST(PromptQuarantine, DoublesTheQuarantineWithEachFailedTrial) {
  PromptQuarantine quarantine = Condemned();
  base::TimePoint since = kStart + seconds(2);
  uint32_t replica = 10;
  for (const seconds quarantine_time :
       {seconds(15), seconds(30), seconds(60), seconds(120), seconds(240), seconds(300), seconds(300)}) {
    const base::TimePoint end = since + quarantine_time;
    const auto early = quarantine.Check({kRoute, kFaulty}, 0, end - seconds(3));
    ASSERT_TRUE(early) << quarantine_time.count();
    EXPECT_EQ(early->part, kFaulty);
    EXPECT_EQ(early->retry_after, seconds(3));
    EXPECT_TRUE(quarantine.Check({kRoute, kFaulty}, 0, end - kMoment));
    EXPECT_TRUE(quarantine.Check({kRoute, kFaulty}, kLastRank, end));
    EXPECT_FALSE(quarantine.Check({kRoute, kFaulty}, 0, end));
    const auto second = quarantine.Check({kRoute, kFaulty}, 0, end + kMoment);
    ASSERT_TRUE(second);
    EXPECT_GE(second->retry_after, seconds(1));
    since = end + milliseconds(300);
    quarantine.RecordCrash({kRoute, kFaulty}, replica++, since);
  }
}

// Guards against a part that is never tried again because its trial ended without a result.
TEST(PromptQuarantine, MakesAnotherTrialAfterOneWithoutResult) {
  PromptQuarantine quarantine = Condemned();
  const base::TimePoint end = kStart + seconds(17);
  EXPECT_FALSE(quarantine.Check({kFaulty}, 0, end));
  const auto refusal = quarantine.Check({kFaulty}, 0, end + seconds(2));
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->retry_after, seconds(3));
  EXPECT_FALSE(quarantine.Check({kFaulty}, 0, end + seconds(5)));
}

// Guards against a trial with a part that is due and another one that is not.
TEST(PromptQuarantine, MakesNoTrialUntilAllPartsAreDue) {
  PromptQuarantine quarantine = Condemned();
  RecordAll({{seconds(3), 4, {77}}, {seconds(4), 5, {77}}, {seconds(12), 6, {77}}}, &quarantine);
  const auto refusal = quarantine.Check({kFaulty, 77}, 0, kStart + seconds(20));
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->part, 77U);
  EXPECT_EQ(refusal->retry_after, seconds(7));
  EXPECT_FALSE(quarantine.Check({kFaulty}, 0, kStart + seconds(20)));
}

// Guards against doubling for crashes of requests that were sent before all VMs had the verdict.
TEST(PromptQuarantine, DoesNotDoubleForCrashesDuringTheQuarantine) {
  PromptQuarantine quarantine = Condemned();
  quarantine.RecordCrash({kFaulty}, 4, kStart + seconds(3));
  quarantine.RecordCrash({kFaulty}, 5, kStart + seconds(9));
  EXPECT_FALSE(quarantine.Check({kFaulty}, 0, kStart + seconds(17)));
}

// Guards against a verdict that ends with its evidence, at the VM that found it, at one that restarts with
// nothing, and at one whose clock advanced while no call came.
TEST(PromptQuarantine, KeepsAVerdictLongerThanItsEvidence) {
  PromptQuarantine quarantine = Condemned();
  const base::TimePoint later = kStart + seconds(100);
  EXPECT_TRUE(Refuses(&quarantine, kFaulty, later));
  EXPECT_EQ(quarantine.observation_count(), 0U);
  PromptQuarantine restarted(1, 2);
  EXPECT_FALSE(Refuses(&restarted, kFaulty, later));
  restarted.Merge(quarantine.Report(kAllCrashes, later), later);
  EXPECT_TRUE(Refuses(&restarted, kFaulty, later));
  restarted.RecordCrash({kFaulty}, 9, later);  // of the trial
  const auto refusal = restarted.Check({kFaulty}, 0, later);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->retry_after, seconds(30));
  quarantine.Merge(restarted.Report(kAllCrashes, later), later);
  EXPECT_EQ(quarantine.Check({kFaulty}, 0, later)->retry_after, seconds(30));
}

// Guards against refusing a part for ever when no request comes that could be the trial.
TEST(PromptQuarantine, ForgetsAVerdictWithoutTrials) {
  PromptQuarantine quarantine = Condemned();
  EXPECT_TRUE(Refuses(&quarantine, kFaulty, kStart + minutes(5)));
  EXPECT_FALSE(Refuses(&quarantine, kFaulty, kStart + minutes(6)));
}

// Guards against observations of a restarted VM that are taken for those of its earlier run.
TEST(PromptQuarantine, TellsTheRunsOfAReporterApart) {
  PromptQuarantine receiver(9, 1);
  for (uint32_t run = 1; run <= 3; ++run) {
    PromptQuarantine reporter(1, run);
    const base::TimePoint now = kStart + seconds(run);
    reporter.RecordCrash({kFaulty}, run, now);
    receiver.Merge(reporter.Report(kAllCrashes, now), now);
  }
  EXPECT_TRUE(Refuses(&receiver, kFaulty, kStart + seconds(3)));
}

// Guards against entries that live for ever, and clearances that cover ever later crashes, because VMs
// estimate their times later with each exchange.
TEST(PromptQuarantine, DoesNotMoveTimesForwardWithEachExchange) {
  constexpr milliseconds kDelay{80};
  PromptQuarantine first = Condemned(1);
  PromptQuarantine second(2, 1);
  first.RecordCrash({kRoute, 50}, 7, kStart + seconds(3));
  first.RecordAnswer({kRoute, 51}, kStart + seconds(4));
  base::TimePoint now = kStart + seconds(5);
  const auto exchange_until = [&](base::TimePoint end) {
    for (; now < end; now += 2 * kDelay) {
      second.Merge(first.Report(kAllCrashes, now), now + kDelay);
      first.Merge(second.Report(kAllCrashes, now + kDelay), now + 2 * kDelay);
    }
  };
  exchange_until(kStart + seconds(40));
  for (const PartClearance& clearance : first.Report(kAllCrashes, now).clearances) {
    EXPECT_GE(clearance.age, now - (kStart + seconds(4)));
  }
  for (PromptQuarantine* quarantine : {&first, &second}) {
    EXPECT_EQ(quarantine->observation_count(), 4U);
    EXPECT_TRUE(Refuses(quarantine, kFaulty, now));
  }
  exchange_until(kStart + seconds(75));
  EXPECT_EQ(first.observation_count() + second.observation_count(), 0U);
  exchange_until(kStart + minutes(12));
  for (PromptQuarantine* quarantine : {&first, &second}) {
    EXPECT_FALSE(Refuses(quarantine, kFaulty, now));
    EXPECT_TRUE(quarantine->Report(kAllCrashes, now).clearances.empty());
    EXPECT_TRUE(quarantine->Report(kAllCrashes, now).verdicts.empty());
  }
}

// Guards against entries that never disappear: a VM that had estimated an older age sends an entry after
// others have erased it.
TEST(PromptQuarantine, DoesNotSendOutdatedObservationsAgain) {
  PromptQuarantine first(1, 1);
  PromptQuarantine second(2, 1);
  first.RecordCrash({kFaulty}, 1, kStart);
  second.Merge(first.Report(kAllCrashes, kStart), kStart + seconds(3));  // the datagram was late
  const base::TimePoint outdated = kStart + seconds(62);
  EXPECT_FALSE(Refuses(&first, kFaulty, outdated));
  first.Merge(second.Report(kAllCrashes, outdated), outdated);
  EXPECT_TRUE(first.Report(kAllCrashes, outdated).crashes.empty());
}

// Guards against suspicions that come back when there were more clearances than a VM holds, as after a mass
// failure.
TEST(PromptQuarantine, KeepsClearedPartsOutOfKnownObservations) {
  PromptQuarantine first(1, 1);
  PromptQuarantine second(2, 1);
  for (uint32_t i = 0; i < 20; ++i) {
    const Parts parts{100 + i, 200 + i, 300 + i, 400 + i, kFaulty};
    first.RecordCrash(parts, i % 2, kStart + seconds(i % 2));
  }
  const base::TimePoint now = kStart + seconds(4);
  second.Merge(first.Report(kAllCrashes, now), now);
  first.RecordAnswer({kFaulty}, now);
  for (uint64_t part = 100; part < 500; ++part) first.RecordAnswer({part}, now + milliseconds(part));
  EXPECT_EQ(first.Report(kAllCrashes, now + seconds(1)).clearances.size(), PromptQuarantine::kMaxClearances);
  first.Merge(second.Report(kAllCrashes, now + seconds(1)), now + seconds(1));
  second.Merge(first.Report(kAllCrashes, now + seconds(1)), now + seconds(1));
  for (const PromptQuarantine* quarantine : {&first, &second}) {
    const QuarantineReport report = quarantine->Report(kAllCrashes, now + seconds(1));
    EXPECT_EQ(report.crashes.size(), 20U);
    for (const CrashObservation& crash : report.crashes) EXPECT_TRUE(crash.parts.empty());
  }
  first.RecordCrash({kFaulty}, 3, now + seconds(8));
  EXPECT_FALSE(Refuses(&first, kFaulty, now + seconds(8)));
}

// Guards against reports that are full of old observations, or of those whose parts are all cleared.
TEST(PromptQuarantine, ReportsTheNewestSuspicionsFirst) {
  PromptQuarantine older(9, 1);
  PromptQuarantine newer(1, 1);
  RecordAll({{seconds(0), 1, {5}}, {seconds(1), 2, {6}}}, &older);
  RecordAll({{seconds(2), 3, {7}}, {seconds(3), 4, {8}}, {seconds(4), 5, {9}}}, &newer);
  const base::TimePoint now = kStart + seconds(10);
  newer.Merge(older.Report(kAllCrashes, now), now);
  newer.RecordAnswer({8}, now);
  std::vector<uint32_t> replicas;
  for (const CrashObservation& crash : newer.Report(4, now).crashes) replicas.push_back(crash.replica_key);
  EXPECT_EQ(replicas, (std::vector<uint32_t>{5, 3, 2, 1}));
}

// Guards against clearing crashes that the reporter saw long after the answer, when a report is merged late.
TEST(PromptQuarantine, UsesTheAgesInReports) {
  PromptQuarantine first(1, 1);
  PromptQuarantine second(2, 1);
  first.RecordCrash({kFaulty}, 9, kStart);
  first.RecordAnswer({kFaulty}, kStart + seconds(1));
  RecordAll({{seconds(4), 1, {kFaulty}}, {seconds(5), 2, {kFaulty}}, {seconds(6), 3, {kFaulty}}}, &first);
  second.Merge(first.Report(kAllCrashes, kStart + seconds(7)), kStart + seconds(7));
  const auto refusal = second.Check({kFaulty}, 0, kStart + seconds(7));
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->retry_after, seconds(14));
}

struct Workload {
  std::vector<QuarantineReport> reports;
  Parts parts;
};

/// Reports of six VMs with random crashes and answers of a minute, as they are at its end.
Workload RandomWorkload(uint64_t seed) {
  base::Random random(seed);
  Workload workload;
  for (uint64_t part = 1; part <= 14; ++part) workload.parts.push_back(part);
  for (uint32_t vm = 1; vm <= 6; ++vm) {
    PromptQuarantine quarantine(vm, random.Next());
    milliseconds at{0};
    for (int event = 0; event < 12; ++event) {
      at += milliseconds(random.Below(4500));
      // A part of a route, one of a few that most requests share, and one that few share.
      const Parts parts{1 + random.Below(2), 3 + random.Below(3), 6 + random.Below(9)};
      if (random.Below(4) == 0) {
        quarantine.RecordAnswer(parts, kStart + at);
      } else {
        quarantine.RecordCrash(parts, static_cast<uint32_t>(random.Below(9)), kStart + at);
      }
      // Reports from the course of the minute, of which later ones differ.
      if (random.Below(3) == 0) {
        QuarantineReport report = quarantine.Report(random.Below(8), kStart + at);
        const base::Duration wait = seconds(55) - at;
        for (CrashObservation& crash : report.crashes) crash.age += wait;
        for (PartClearance& clearance : report.clearances) clearance.age += wait;
        for (PartVerdict& verdict : report.verdicts) verdict.age += wait;
        workload.reports.push_back(std::move(report));
      }
    }
    workload.reports.push_back(quarantine.Report(kAllCrashes, kStart + seconds(55)));
  }
  return workload;
}

// Guards against VMs that refuse different parts although they have the same reports, in different orders and
// some of them twice.
TEST(PromptQuarantine, ComesToTheSameVerdictsInAnyOrder) {
  const base::TimePoint now = kStart + seconds(55);
  size_t condemned = 0;
  for (uint64_t seed = 0; seed < 300; ++seed) {
    const Workload workload = RandomWorkload(seed);
    base::Random random(seed + 1000);
    std::optional<Parts> expected;
    std::vector<base::Duration> expected_times;
    for (uint32_t order = 0; order < 6; ++order) {
      std::vector<QuarantineReport> reports = workload.reports;
      for (size_t i = reports.size(); i > 1; --i) std::swap(reports[i - 1], reports[random.Below(i)]);
      for (uint64_t repeated = random.Below(5); repeated > 0; --repeated) {
        reports.push_back(reports[random.Below(reports.size())]);
      }
      PromptQuarantine quarantine(100 + order, 1);
      for (const QuarantineReport& report : reports) quarantine.Merge(report, now);
      const Parts refused = RefusedOf(&quarantine, workload.parts, now);
      std::vector<base::Duration> times;
      for (const uint64_t part : refused) {
        times.push_back(quarantine.Check({part}, kLastRank, now)->retry_after);
      }
      if (!expected) {
        expected = refused;
        expected_times = times;
        condemned += refused.size();
      }
      ASSERT_EQ(refused, *expected) << "seed " << seed << " order " << order;
      ASSERT_EQ(times, expected_times) << "seed " << seed << " order " << order;
    }
  }
  EXPECT_GT(condemned, 100U);  // the workloads reach verdicts
}

// Guards against a lasting verdict on a part that only some of the observations point to.
TEST(PromptQuarantine, TakesAVerdictBackWhenTheOtherObservationsArrive) {
  PromptQuarantine reporter(1, 1);
  RecordAll({{seconds(0), 1, {kRoute, kFaulty}},
             {seconds(1), 2, {kRoute, 5}},
             {seconds(2), 3, {kRoute, 6}},
             {seconds(3), 4, {kRoute, kFaulty}},
             {seconds(4), 5, {8, kFaulty}},
             {seconds(5), 6, {9, kFaulty}}},
            &reporter);
  const base::TimePoint now = kStart + seconds(5);
  QuarantineReport partial = reporter.Report(kAllCrashes, now);
  std::erase_if(partial.crashes, [](const CrashObservation& crash) { return crash.parts.front() != kRoute; });
  PromptQuarantine receiver(2, 1);
  receiver.Merge(partial, now);
  EXPECT_EQ(RefusedOf(&receiver, {kRoute, kFaulty}, now), Parts{kRoute});
  receiver.Merge(reporter.Report(kAllCrashes, now), now + seconds(1));
  EXPECT_EQ(RefusedOf(&receiver, {kRoute, kFaulty}, now + seconds(1)), Parts{kFaulty});
}

// Guards against a verdict that jumps to the part of a whole route because of one later crash.
TEST(PromptQuarantine, KeepsASettledVerdictWhenAnotherPartHasMoreCrashes) {
  PromptQuarantine quarantine(1, 1);
  RecordAll({{seconds(0), 1, {kRoute, kFaulty}},
             {seconds(1), 2, {kRoute, kFaulty}},
             {seconds(2), 3, {kRoute, kFaulty}}},
            &quarantine);
  for (int i = 3; i < 20; ++i) EXPECT_TRUE(Refuses(&quarantine, kFaulty, kStart + seconds(i)));
  RecordAll({{seconds(20), 4, {kRoute, 5}}}, &quarantine);
  EXPECT_EQ(RefusedOf(&quarantine, {kRoute, kFaulty, 5}, kStart + seconds(20)), Parts{kFaulty});
}

// Guards against memory and datagrams that grow with the number of crashes, and against a verdict that is
// lost when its observations make room for newer ones.
TEST(PromptQuarantine, BoundsWhatItHolds) {
  PromptQuarantine quarantine = Condemned();
  PromptQuarantine flooded(2, 1);
  Parts many_parts;
  for (uint64_t part = 1000; part < 1020; ++part) many_parts.push_back(part);
  for (uint32_t i = 0; i < 500; ++i) {
    const base::TimePoint now = kStart + seconds(3) + milliseconds(i);
    Parts parts = many_parts;
    for (uint64_t& part : parts) part += uint64_t{100} * i;
    quarantine.RecordCrash(parts, 1000 + i, now);
    ASSERT_LE(quarantine.observation_count(), PromptQuarantine::kMaxObservations);
  }
  const base::TimePoint now = kStart + seconds(4);
  const QuarantineReport report = quarantine.Report(10, now);
  ASSERT_EQ(report.crashes.size(), 10U);
  EXPECT_EQ(report.crashes.front().replica_key, 1499U);  // the newest
  EXPECT_EQ(report.crashes.front().parts.size(), PromptQuarantine::kMaxParts);
  EXPECT_TRUE(Refuses(&quarantine, kFaulty, now));
  flooded.Merge(quarantine.Report(kAllCrashes, now), now);
  EXPECT_LE(flooded.observation_count(), PromptQuarantine::kMaxObservations);
  EXPECT_TRUE(Refuses(&flooded, kFaulty, now));

  QuarantineReport forged;
  for (uint64_t part = 0; part < 1000; ++part) {
    forged.verdicts.push_back({part, 1000000, seconds(1)});
    forged.clearances.push_back({1000 + part, seconds(1)});
    forged.crashes.push_back({3, 1, static_cast<uint32_t>(part), 1, Parts(100, part), seconds(-1)});
  }
  flooded.Merge(forged, now);
  const QuarantineReport held = flooded.Report(kAllCrashes, now);
  EXPECT_EQ(held.crashes.size(), PromptQuarantine::kMaxObservations);
  EXPECT_EQ(held.crashes.front().parts.size(), PromptQuarantine::kMaxParts);
  EXPECT_EQ(held.clearances.size(), PromptQuarantine::kMaxClearances);
  ASSERT_EQ(held.verdicts.size(), PromptQuarantine::kMaxQuarantined);
  EXPECT_LT(held.verdicts.front().level, 10U);
  EXPECT_EQ(flooded.quarantined_count(), PromptQuarantine::kMaxQuarantined);
}

// Guards against observations of one crash that push out those of others: a replica may hold many requests
// with the same parts.
TEST(PromptQuarantine, KeepsOneObservationOfEqualRequestsOfACrash) {
  PromptQuarantine quarantine(1, 1);
  for (int request = 0; request < 16; ++request) quarantine.RecordCrash({kRoute, 5}, 1, kStart);
  quarantine.RecordCrash({kRoute, 6}, 1, kStart);
  EXPECT_EQ(quarantine.observation_count(), 2U);
  quarantine.RecordCrash({}, 2, kStart);
  EXPECT_EQ(quarantine.observation_count(), 2U);
}

// Guards against work for each of the many answers, and clearances that move forward with them.
TEST(PromptQuarantine, DoesNothingForAnswersWithoutSuspectedParts) {
  PromptQuarantine quarantine(1, 1);
  quarantine.RecordCrash({kRoute, 5}, 1, kStart);
  for (int i = 1; i <= 9; ++i) quarantine.RecordAnswer({kRoute, 6}, kStart + seconds(i));
  const QuarantineReport report = quarantine.Report(kAllCrashes, kStart + seconds(9));
  ASSERT_EQ(report.clearances.size(), 1U);
  EXPECT_EQ(report.clearances.front().part, kRoute);
  EXPECT_GE(report.clearances.front().age, seconds(8));
}

struct RetryCase {
  const char* name;
  std::vector<CrashAt> crashes;  // the last one is that of the request with the parts 1 and 66
  bool may_retry;
};

class RetryTest : public ::testing::TestWithParam<RetryCase> {};

// Guards against a request that crashes one replica after the other, and against requests that fail although
// their replicas crashed for other reasons.
TEST_P(RetryTest, RetriesUnlessEarlierCrashesNameAPart) {
  PromptQuarantine quarantine(1, 1);
  RecordAll(GetParam().crashes, &quarantine);
  EXPECT_EQ(quarantine.MayRetryAfterCrash({kRoute, kFaulty}, kStart + GetParam().crashes.back().at),
            GetParam().may_retry);
}

INSTANTIATE_TEST_SUITE_P(
    Crashes, RetryTest,
    ::testing::Values(
        RetryCase{"FirstCrash", {{seconds(0), 1, {kRoute, kFaulty}}}, true},
        RetryCase{
            "SecondCrash", {{seconds(0), 1, {kRoute, kFaulty}}, {seconds(1), 2, {kRoute, kFaulty}}}, false},
        RetryCase{"OtherRequestCrashedAnotherReplica",
                  {{seconds(0), 1, {8, kFaulty}}, {seconds(1), 2, {kRoute, kFaulty}}},
                  false},
        RetryCase{"OtherPartsCrashedAnotherReplica",
                  {{seconds(0), 1, {8, 9}}, {seconds(1), 2, {kRoute, kFaulty}}},
                  true},
        RetryCase{"SameReplica", {{seconds(0), 1, {8, kFaulty}}, {seconds(9), 1, {kRoute, kFaulty}}}, true},
        RetryCase{"MassFailure", MassFailure(20, {kRoute, kFaulty}), true},
        RetryCase{"LongAgo", {{seconds(0), 1, {8, kFaulty}}, {seconds(65), 2, {kRoute, kFaulty}}}, true},
        // The crashes of part 5 say nothing about the first part.
        RetryCase{"EarlierCrashesAreExplained",
                  {{seconds(0), 1, {kRoute, 5}},
                   {seconds(1), 2, {kRoute, 5}},
                   {seconds(2), 3, {kRoute, 5}},
                   {seconds(20), 4, {kRoute, kFaulty}}},
                  true},
        RetryCase{"Condemned",
                  {{seconds(0), 1, {kFaulty}},
                   {seconds(1), 2, {kFaulty}},
                   {seconds(2), 3, {kFaulty}},
                   {seconds(3), 4, {kRoute, kFaulty}}},
                  false}),
    [](const auto& info) { return info.param.name; });

// Guards against failing a request because of the first part that it shares with one that crashed a replica.
TEST(PromptQuarantine, AllowsRetriesWithAPartThatWasCleared) {
  PromptQuarantine quarantine(1, 1);
  quarantine.RecordCrash({kRoute, 5}, 1, kStart);
  quarantine.RecordAnswer({kRoute, 6}, kStart + milliseconds(100));
  quarantine.RecordCrash({kRoute, 7}, 2, kStart + seconds(3));
  EXPECT_TRUE(quarantine.MayRetryAfterCrash({kRoute, 7}, kStart + seconds(3)));
}

}  // namespace
}  // namespace cornelplank::serving
