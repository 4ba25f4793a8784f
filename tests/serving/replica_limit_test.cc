#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "libs/serving/serving.h"

namespace cornelplank::serving {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};

std::vector<std::string> Vms(size_t count) {
  std::vector<std::string> vms;
  for (size_t i = 0; i < count; ++i) vms.push_back("vm-" + std::to_string(i));
  return vms;
}

struct RateCase {
  const char* name;
  size_t vms;
  double per_second;
  size_t unknown_vms;  // of the others, that each VM doesn't know
};
class ReplicaLimitRateTest : public ::testing::TestWithParam<RateCase> {};

// Guards against a sum over all VMs that is beyond the tolerance, and against limits that are hardly used.
TEST_P(ReplicaLimitRateTest, AllVmsTogetherKeepTheLimit) {
  constexpr milliseconds kStep{5};
  constexpr milliseconds kWindow{4000};
  constexpr milliseconds kIdle{20000};  // all buckets fill up
  constexpr milliseconds kBusy{20000};
  const auto& param = GetParam();
  const auto all = Vms(param.vms);
  std::vector<ReplicaLimit> limits(param.vms);
  std::vector<base::TimePoint> sends;
  base::TimePoint now = kStart;
  for (auto& limit : limits) limit.OnStated(param.per_second, now);
  while (now < kStart + kIdle + kBusy) {
    now += kStep;
    for (size_t i = 0; i < param.vms; ++i) {
      if (limits[i].ShareDue(now)) {
        std::vector<std::string> known = {all[i]};
        for (size_t j = 1; j + param.unknown_vms < param.vms; ++j) known.push_back(all[(i + j) % param.vms]);
        limits[i].SetShare(ReplicaLimit::ShareOf("replica", all[i], known, param.per_second), now);
      }
      const int priority = static_cast<int>(i % 3);
      const auto wait = limits[i].TimeToSend(priority, now);
      if (now < kStart + kIdle || !wait || wait->count() > 0) continue;
      limits[i].OnSend(priority, now);
      sends.push_back(now);
    }
  }
  size_t most = 0;
  for (auto first = sends.begin(); first != sends.end(); ++first) {
    const auto last =
        std::find_if(first, sends.end(), [&](base::TimePoint at) { return at - *first >= kWindow; });
    most = std::max(most, static_cast<size_t>(last - first));
  }
  EXPECT_LE(static_cast<double>(most), 1.5 * 4 * param.per_second + 5);
  EXPECT_GE(static_cast<double>(sends.size()), 0.9 * 20 * param.per_second - 2);
}

INSTANTIATE_TEST_SUITE_P(Rates, ReplicaLimitRateTest,
                         ::testing::Values(RateCase{"OneVm", 1, 5, 0}, RateCase{"BelowOneASecond", 7, 0.4, 0},
                                           RateCase{"Zero", 7, 0, 0}, RateCase{"MoreVmsThanRate", 20, 1.2, 0},
                                           RateCase{"FewVms", 3, 8.9, 0}, RateCase{"ManyVms", 20, 8.9, 0},
                                           RateCase{"HighRate", 20, 60, 0},
                                           RateCase{"OneUnknown", 20, 8.9, 1},
                                           RateCase{"OneUnknownOfFew", 3, 2.5, 1}),
                         [](const auto& info) { return info.param.name; });

struct StatementCase {
  const char* name;
  std::vector<std::pair<milliseconds, std::optional<double>>> statements;  // in the order of their arrival
  std::optional<double> expected;
};
class ReplicaLimitStatementTest : public ::testing::TestWithParam<StatementCase> {};

// Guards against a limit that outlives its replica's need, and one that an older statement replaces.
TEST_P(ReplicaLimitStatementTest, LatestStatementHolds) {
  ReplicaLimit limit;
  for (const auto& [at, per_second] : GetParam().statements) limit.OnStated(per_second, kStart + at);
  EXPECT_EQ(limit.PerSecond(), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Statements, ReplicaLimitStatementTest,
    ::testing::Values(StatementCase{"None", {}, std::nullopt},
                      StatementCase{"Stated", {{milliseconds(0), 3}}, 3},
                      StatementCase{"Changed", {{milliseconds(0), 3}, {milliseconds(10), 5}}, 5},
                      StatementCase{"Ended", {{milliseconds(0), 3}, {milliseconds(10), std::nullopt}}, {}},
                      StatementCase{"OlderOneLater", {{milliseconds(10), 5}, {milliseconds(0), 3}}, 5},
                      StatementCase{"OlderEndLater", {{milliseconds(10), 5}, {milliseconds(0), {}}}, 5}),
    [](const auto& info) { return info.param.name; });

struct SilenceCase {
  const char* name;
  milliseconds silence;  // since the replica stated its limit
  bool stated_again;     // all the time after that
  bool other_is_busy;
  bool limited_one_is_chosen;
};
class UnconfirmedLimitTest : public ::testing::TestWithParam<SilenceCase> {};

// Guards against a limit that is forgotten, or whose end is not noticed, as other replicas take all requests.
TEST_P(UnconfirmedLimitTest, IsKeptAndAskedForAgain) {
  struct OneVm final : HopDirectory {
    std::vector<RemoteRegion> RemoteRegions(const std::string&) const override { return {}; }
    std::optional<net::Tcp::endpoint> PickVm(const std::string&) override { return std::nullopt; }
    void ReportHopFailure(const net::Tcp::endpoint&) override {}
    std::vector<std::string> OwnRegionVms() const override { return {"own"}; }
  } hops;
  ReplicaRegistry registry;
  auto config = std::make_shared<RoutingConfig>();
  config->version = 1;
  config->services["svc"] = ServiceConfig{"svc", "/health", 100, {}, 0, std::nullopt};
  RouteConfig route;
  route.services = {{"svc", 1}};
  config->routes.push_back(route);
  registry.SetConfig(config);
  for (const char* id : {"limited", "other"}) {
    PublishedReplica published;
    published.id = id;
    published.service = "svc";
    published.region = "r";
    published.slots = 4;
    registry.Upsert(published, kStart);
  }
  registry.RecordLimit(*registry.Find("limited"), 0.5, kStart);
  // Ten times as long as a request takes, so that the choice depends on nothing else.
  if (GetParam().other_is_busy) registry.BeginAttempt(*registry.Find("other"), {40, 0, 0}, 0, kStart);
  Placer placer("own", "r", {}, 7);
  PlacementQuery query;
  query.route = &route;
  query.service = "svc";
  RefusalReason reason = RefusalReason::kNone;
  bool chosen = false;
  int sent = 0;
  constexpr milliseconds kTime{10000};
  for (milliseconds time{0}; time < kTime; time += milliseconds(10)) {
    const base::TimePoint now = kStart + GetParam().silence + time;
    if (GetParam().stated_again) registry.RecordLimit(*registry.Find("limited"), 0.5, now);
    const auto placement = placer.Choose(query, registry, hops, now, &reason);
    ASSERT_TRUE(placement);
    if (placement->replica->published.id != "limited") continue;
    chosen = true;
    ++sent;
    placement->replica->limit.OnSend(0, now);
  }
  EXPECT_EQ(chosen, GetParam().limited_one_is_chosen);
  EXPECT_LE(sent, 0.5 * 10 + 1.5);
}

INSTANTIATE_TEST_SUITE_P(
    Silences, UnconfirmedLimitTest,
    ::testing::Values(SilenceCase{"Confirmed", milliseconds(0), true, false, false},
                      SilenceCase{"Unconfirmed", milliseconds(6000), false, false, true},
                      SilenceCase{"ForgottenForLong", milliseconds(120000), false, false, true},
                      SilenceCase{"NeededForLong", milliseconds(120000), false, true, true}),
    [](const auto& info) { return info.param.name; });

struct PriorityCase {
  const char* name;
  int priority;
  int urgent_sends;       // just before
  milliseconds expected;  // until the request may be sent
};
class ReplicaLimitPriorityTest : public ::testing::TestWithParam<PriorityCase> {};

// Guards against less urgent requests that take the limit from urgent ones, and against some left without.
TEST_P(ReplicaLimitPriorityTest, UrgentRequestsGoFirst) {
  ReplicaLimit limit;
  limit.OnStated(1, kStart);
  limit.SetShare(1, kStart);
  base::TimePoint now = kStart;
  for (int i = 0; i < GetParam().urgent_sends; ++i) {
    now += std::chrono::seconds(1);
    ASSERT_EQ(limit.TimeToSend(0, now), base::Duration::zero());
    limit.OnSend(0, now);
  }
  const auto wait = limit.TimeToSend(GetParam().priority, now);
  ASSERT_TRUE(wait);
  EXPECT_EQ(std::chrono::round<milliseconds>(*wait), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Priorities, ReplicaLimitPriorityTest,
                         ::testing::Values(PriorityCase{"Urgent", 0, 1, milliseconds(1000)},
                                           PriorityCase{"Middle", 1, 1, milliseconds(1200)},
                                           PriorityCase{"Least", 2, 1, milliseconds(1400)},
                                           PriorityCase{"BeyondTheLeast", 5, 1, milliseconds(1400)},
                                           PriorityCase{"LeastAfterThreeUrgent", 2, 3, milliseconds(1000)}),
                         [](const auto& info) { return info.param.name; });

struct ShareCase {
  const char* name;
  size_t vms;
  double per_second;
  size_t senders;
};
class ReplicaLimitShareTest : public ::testing::TestWithParam<ShareCase> {};

// Guards against a VM that has just begun to send, or has just heard of the limit, with a full bucket.
TEST_P(ReplicaLimitShareTest, SendersBeginWithAnEmptyBucket) {
  const auto vms = Vms(GetParam().vms);
  size_t senders = 0;
  double sum = 0;
  for (const std::string& vm : vms) {
    ReplicaLimit limit;
    limit.OnStated(GetParam().per_second, kStart);
    limit.SetShare(0, kStart);
    const double share = ReplicaLimit::ShareOf("replica", vm, vms, GetParam().per_second);
    limit.SetShare(share, kStart + std::chrono::seconds(10));
    sum += share;
    if (share == 0) continue;
    ++senders;
    EXPECT_GT(limit.TimeToSend(0, kStart + std::chrono::seconds(10)), base::Duration::zero());
  }
  EXPECT_EQ(senders, GetParam().senders);
  EXPECT_NEAR(sum, std::max(GetParam().per_second, ReplicaLimit::kMinRate), 1e-6);
}

INSTANTIATE_TEST_SUITE_P(Fleets, ReplicaLimitShareTest,
                         ::testing::Values(ShareCase{"Alone", 1, 9, 1}, ShareCase{"BelowOne", 20, 0.3, 1},
                                           ShareCase{"Some", 20, 3, 4}, ShareCase{"All", 20, 40, 20}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::serving
