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

// Guards against guaranteed shares that are not honoured, lending beyond the configured share, and
// displacements that are not counted.
TEST(AdmissionFuzzTest, FixedSeedFindsNoViolation) {
  const auto violation = FuzzAdmission(1, 30000, AdmissionFault::kNone);
  EXPECT_FALSE(violation) << *violation;
}

struct FaultCase {
  AdmissionFault fault;
  const char* violation;
};
class AdmissionFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against an oracle that can't fail: it must detect each deliberate fault.
TEST_P(AdmissionFaultTest, OracleCatchesIt) {
  EXPECT_THAT(FuzzAdmission(1, 30000, GetParam().fault), Optional(HasSubstr(GetParam().violation)));
}

INSTANTIATE_TEST_SUITE_P(
    Faults, AdmissionFaultTest,
    testing::Values(FaultCase{AdmissionFault::kNaive, "a guaranteed share is not honoured"},
                    FaultCase{AdmissionFault::kNoGuarantee, "a guaranteed share is not honoured"},
                    FaultCase{AdmissionFault::kOneQueue, "served again and again"},
                    FaultCase{AdmissionFault::kUncountedDisplacement, "not counted"},
                    FaultCase{AdmissionFault::kRefusedRuns, "granted an item that was refused"},
                    FaultCase{AdmissionFault::kLentTwice, "more than it was lent"},
                    FaultCase{AdmissionFault::kKeepBorrowed, "is not called back"},
                    FaultCase{AdmissionFault::kSuspensionIgnored, "more than it was lent"},
                    FaultCase{AdmissionFault::kCancelAny, "must not be repeated"}));

WorkItem Work(uint64_t id, const std::string& client, base::TimePoint deadline) {
  return {id, "p/engine", "p", "desk", client, deadline, 1, true};
}

AdmissionConfig OneClassConfig() {
  AdmissionConfig config;
  config.partners["p"].classes["desk"] = {1, 1.0, 5, true};
  config.pools["p/engine"] = {"p", 8};
  return config;
}

// Guards against sharing rules that take effect when there is nothing to share. With one client of one class
// the controller must do the same as a first-come, first-served queue.
TEST(AdmissionDifferenceTest, OneClientIsServedAsByTheNaiveController) {
  AdmissionController shares(OneClassConfig(), 1.0);
  NaiveController naive(8, 5);
  base::Random random(7);
  base::TimePoint now{seconds(1000)};
  std::vector<uint64_t> running;
  for (uint64_t id = 1; id <= 20000; ++id) {
    now += milliseconds(random.Below(300));
    const auto expected = naive.Submit(Work(id, "one", now + seconds(1000)), now);
    const auto decision = shares.Submit(Work(id, "one", now + seconds(1000)), now);
    ASSERT_EQ(decision.kind, expected.kind) << id;
    if (decision.kind == AdmissionDecisionKind::kGranted) running.push_back(id);
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

// Guards against requests that are queued although the estimated wait passes their deadline.
TEST(AdmissionTest, RefusesWhenTheEstimatedWaitPassesTheDeadline) {
  AdmissionConfig config = OneClassConfig();
  config.partners["p"].classes["desk"].may_wait = false;
  AdmissionController controller(config, 1.0);
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

// Guards against borrowed capacity that is not given back, and against a displacement counted for the wrong
// cause.
TEST(AdmissionTest, BorrowedCapacityComesBackWithinTwoSecondsAndIsAccounted) {
  AdmissionConfig config = OneClassConfig();
  config.partners["p"].classes["desk"].guaranteed = 0.5;
  config.partners["p"].lends["q"] = 1;
  config.partners["q"].classes["draft"] = {5, 0, 20, false};
  AdmissionController controller(config, 1.0);
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
  EXPECT_THAT(cancels, testing::ElementsAre(7, 6, 5, 4));  // newest first; 8 is not cancellable
  for (const uint64_t id : cancels) controller.Finish(id, now);
  for (uint64_t id = 11; id <= 14; ++id) EXPECT_EQ(controller.NextGrant(now)->id, id);
  EXPECT_LE(now - start, seconds(2));
  const FlowKey owner{"p", "desk"};
  const FlowKey borrower{"q", "draft"};
  const auto& displacements = controller.displacements().entries();
  EXPECT_EQ(displacements.at({owner, borrower}).of(Displacement::kCancelled), 4U);
  EXPECT_EQ(displacements.at({borrower, owner}).of(Displacement::kDelayed), 4U);
}

// Guards against nodes that together use more than the zone's capacity because a partition hides their
// demands from each other.
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
      for (double& one_demand : demand) one_demand = static_cast<double>(1 + random.Below(100));
      EXPECT_LE(round(true), 1 + 1e-9);
    }
  }
}

// Guards against a limit that stays high while the upstream queues, or low after the queueing has ended.
TEST(AdaptiveLimitTest, FallsWithTheLatencyAndRecovers) {
  AdaptiveLimit limit({64, 1, 128});
  base::TimePoint now{seconds(1000)};
  // An upstream whose requests take 100 ms, and proportionally longer when more than its slots (16 or 128)
  // are used.
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

// Guards against pools that count upstreams of other zones, leaving upstreams or upstreams of another kind.
TEST(AdmissionConfigTest, CountsTheZonesOwnUpstreams) {
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
  const AdmissionConfig admission = AdmissionConfigFromDocument(document, "z1");
  EXPECT_EQ(admission.pools.at("p/engine").zone_slots, 8);
  EXPECT_EQ(admission.pools.at("p/ledger").zone_slots, 4);
  EXPECT_EQ(admission.partners.at("p").lends.at("q"), 0.25);
}

}  // namespace
}  // namespace cornelplank::admission
