#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "libs/admission/admission.h"
#include "tests/admission/admission_fuzz.h"

namespace cornelplank::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::HasSubstr;
using testing::Optional;

// Guards against shares that are not honoured, exceeded lending terms and silent displacement.
TEST(AdmissionFuzzTest, FixedSeedFindsNoViolation) {
  const auto violation = FuzzAdmission(1, 30000, AdmissionFault::kNone);
  EXPECT_FALSE(violation) << *violation;
}

struct FaultCase {
  AdmissionFault fault;
  const char* violation;
};
class AdmissionFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against an oracle that can't fail.
TEST_P(AdmissionFaultTest, OracleCatchesIt) {
  EXPECT_THAT(FuzzAdmission(1, 30000, GetParam().fault), Optional(HasSubstr(GetParam().violation)));
}

INSTANTIATE_TEST_SUITE_P(
    Faults, AdmissionFaultTest,
    testing::Values(FaultCase{AdmissionFault::kNaive, "a guaranteed share is not honoured"},
                    FaultCase{AdmissionFault::kNoGuarantee, "a guaranteed share is not honoured"},
                    FaultCase{AdmissionFault::kOneQueue, "served again and again"},
                    FaultCase{AdmissionFault::kSilentDisplacement, "not in the ledger"},
                    FaultCase{AdmissionFault::kRefusedRuns, "granted an item that was refused"},
                    FaultCase{AdmissionFault::kLentTwice, "more than it was lent"},
                    FaultCase{AdmissionFault::kKeepBorrowed, "is not called back"},
                    FaultCase{AdmissionFault::kHomeOnlyIgnored, "more than it was lent"},
                    FaultCase{AdmissionFault::kCancelAny, "must not be repeated"}));

WorkItem Work(uint64_t id, const std::string& client, base::TimePoint deadline) {
  return {id, "p/engine", "p", "desk", client, deadline, 1, true};
}

AdmissionConfig OneClass() {
  AdmissionConfig terms;
  terms.partners["p"].classes["desk"] = {1, 1.0, 5, true};
  terms.pools["p/engine"] = {"p", 8};
  return terms;
}

// Guards against rules that change what happens when there is nothing to share: with one client of one class
// the controller must do the same as first come, first served.
TEST(AdmissionDifferenceTest, OneClientIsServedAsByTheNaiveController) {
  AdmissionController shares(OneClass(), 1.0);
  NaiveController naive(8, 5);
  base::Random random(7);
  base::TimePoint now{seconds(1000)};
  std::vector<uint64_t> running;
  for (uint64_t id = 1; id <= 20000; ++id) {
    now += milliseconds(random.Below(300));
    const auto expected = naive.Submit(Work(id, "one", now + seconds(1000)), now);
    const auto verdict = shares.Submit(Work(id, "one", now + seconds(1000)), now);
    ASSERT_EQ(verdict.kind, expected.kind) << id;
    if (verdict.kind == AdmissionDecisionKind::kGranted) running.push_back(id);
    if (running.empty() || random.Below(2) == 0) continue;
    std::swap(running[random.Below(running.size())], running.back());
    naive.Finish(running.back(), now);
    shares.Finish(running.back(), now);
    running.pop_back();
    const auto expected_grant = naive.NextGrant(now);
    const auto grant = shares.NextGrant(now);
    ASSERT_EQ(grant.has_value(), expected_grant.has_value()) << id;
    if (!grant) continue;
    ASSERT_EQ(grant->id, expected_grant->id);
    running.push_back(grant->id);
  }
}

// Guards against requests that wait for a slot that they can't get in time.
TEST(AdmissionTest, RefusesWhenTheEstimatedWaitPassesTheDeadline) {
  AdmissionConfig terms = OneClass();
  terms.partners["p"].classes["desk"].may_wait = false;
  AdmissionController controller(terms, 1.0);
  base::TimePoint now{seconds(1000)};
  for (uint64_t id = 1; id <= 8; ++id) controller.Submit(Work(id, "a", now + seconds(60)), now);
  now += seconds(10);
  controller.Finish(1, now);  // requests hold a slot for about 10 s
  controller.Submit(Work(9, "a", now + seconds(60)), now);
  const auto patient = controller.Submit(Work(10, "a", now + seconds(60)), now);
  EXPECT_EQ(patient.kind, AdmissionDecisionKind::kQueued);
  const auto hasty = controller.Submit(Work(11, "a", now + seconds(1)), now);
  EXPECT_EQ(hasty.refusal.code, AdmissionCode::kWaitPastDeadline);
  EXPECT_GE(hasty.refusal.retry_after, seconds(1));
}

// Guards against capacity that is not given back, and against a displacement that names the wrong cause.
TEST(AdmissionTest, BorrowedCapacityComesBackWithinTwoSecondsAndIsAccounted) {
  AdmissionConfig terms = OneClass();
  terms.partners["p"].classes["desk"].guaranteed = 0.5;
  terms.partners["p"].lends["q"] = 1;
  terms.partners["q"].classes["draft"] = {5, 0, 20, false};
  AdmissionController controller(terms, 1.0);
  base::TimePoint now{seconds(1000)};
  for (uint64_t id = 1; id <= 8; ++id) {
    controller.Submit({id, "p/engine", "q", "draft", "b", now + seconds(60), 1, id != 8}, now);
  }
  const base::TimePoint start = now;
  for (uint64_t id = 11; id <= 14; ++id) controller.Submit(Work(id, "a", now + seconds(60)), now);
  std::vector<uint64_t> cancels;
  for (; cancels.empty() && now - start < seconds(3); now += milliseconds(100)) {
    controller.Tick(now);
    cancels = controller.TakeCancellations(now);
  }
  EXPECT_THAT(cancels,
              testing::ElementsAre(7, 6, 5, 4));  // the newest first, and not the one that must not be
  for (const uint64_t id : cancels) controller.Finish(id, now);
  for (uint64_t id = 11; id <= 14; ++id) EXPECT_EQ(controller.NextGrant(now)->id, id);
  EXPECT_LE(now - start, seconds(2));
  const FlowKey owner{"p", "desk"};
  const FlowKey borrower{"q", "draft"};
  const auto& ledger = controller.displacements().entries();
  EXPECT_EQ(ledger.at({owner, borrower}).of(Displacement::kCancelled), 4U);
  EXPECT_EQ(ledger.at({borrower, owner}).of(Displacement::kDelayed), 4U);
}

// Guards against fractions that a partition alone raises above the zone's capacity.
TEST(NodeShareTest, PartitionAloneNeverRaisesTheSum) {
  constexpr size_t kNodes = 6;
  base::Random random(3);
  std::vector<NodeShare> shares(kNodes);
  std::vector<std::vector<ZonePeer>> views(kNodes);
  std::vector<double> demand(kNodes, 10);
  base::TimePoint now{seconds(1000)};
  const auto round = [&](bool cut) {
    now += seconds(1);
    double sum = 0;
    for (size_t i = 0; i < kNodes; ++i) {
      views[i].resize(kNodes);
      for (size_t j = 0; j < kNodes; ++j) {
        if (!cut || (i < 2) == (j < 2)) views[i][j] = ZonePeer{"vm", demand[j], now};
      }
      std::vector<ZonePeer> peers = views[i];
      peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
      const double fraction = shares[i].Update(demand[i], peers, now);
      EXPECT_GE(fraction, 1.0 / (2 * kNodes) - 1e-9);
      sum += fraction;
    }
    return sum;
  };
  for (int trial = 0; trial < 20; ++trial) {
    double before = 0;
    for (int i = 0; i < 30; ++i) before = round(false);
    EXPECT_NEAR(before, 1, 1e-9);
    for (int i = 0; i < 60; ++i) {
      for (double& one : demand) one = static_cast<double>(1 + random.Below(100));
      EXPECT_LE(round(true), 1 + 1e-9);
    }
  }
}

// Guards against a limit that does not fall under queueing or does not recover.
TEST(AdaptiveLimitTest, FallsWithTheLatencyAndRecovers) {
  AdaptiveLimit limit({64, 1, 128});
  base::TimePoint now{seconds(1000)};
  // An upstream with 16 slots of 100 ms: the latency grows with the requests beyond them.
  const auto run = [&](double slots, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      size_t started = 0;
      while (limit.TryStart()) ++started;
      const double factor = std::max(1.0, static_cast<double>(started) / slots);
      const auto latency = std::chrono::duration_cast<base::Duration>(milliseconds(100) * factor);
      now += latency;
      for (; started > 0; --started) limit.Finish(CallResult::kOk, latency, now);
    }
  };
  run(128, 20);
  run(16, 60);
  EXPECT_LE(limit.limit(), 32U);
  EXPECT_GE(limit.limit(), 8U);
  run(128, 400);
  EXPECT_GE(limit.limit(), 64U);
}

// Guards against capacity of other zones, leaving upstreams or other kinds that is counted in.
TEST(TermsTest, CountsTheZonesOwnUpstreams) {
  config::Document document;
  document.partners["p"].lends["q"] = 0.25;
  const auto add = [&](const char* id, const char* zone, bool leaving, const char* service) {
    config::Upstream upstream;
    upstream.partner = "p";
    upstream.zone = zone;
    upstream.slots = 4;
    upstream.leaving = leaving;
    upstream.service = service;
    if (*service != 0) upstream.kind = config::UpstreamKind::kService;
    document.upstreams[id] = upstream;
  };
  add("a", "z1", false, "");
  add("b", "z1", false, "");
  add("c", "z2", false, "");
  add("d", "z1", true, "");
  add("e", "z1", false, "ledger");
  const AdmissionConfig terms = AdmissionConfigFromDocument(document, "z1");
  EXPECT_EQ(terms.pools.at("p/engine").zone_slots, 8);
  EXPECT_EQ(terms.pools.at("p/ledger").zone_slots, 4);
  EXPECT_EQ(terms.partners.at("p").lends.at("q"), 0.25);
}

}  // namespace
}  // namespace cornelplank::admission
