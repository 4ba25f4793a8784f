#include <gtest/gtest.h>

#include <cstdio>

#include "tests/tenancy/quota_fleet.h"

namespace cornelplank::tenancy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Clients { kAllVms, kThreeVms, kChangingVm, kHotRegion };
enum class Fault { kNone, kRegionCut, kZoneCut, kRestarts, kRestartOfAll, kFreezes, kJoins, kLoweredLimit };

// Least use where every request has to be placed although the largest ones take a whole bucket, and where
// the requests are small against the buckets.
constexpr double kLeastUse = 0.9;
constexpr double kLeastUseFast = 0.97;

struct FleetCase {
  const char* name;
  size_t vms = 88;
  double rate = 36'000;
  double offered = 1;  // in quotas
  Clients clients = Clients::kAllVms;
  Fault fault = Fault::kNone;
  double least_use = 0;  // share of the quota, or of what is offered
  QuotaNetwork network;
  seconds idle{20};  // before the load; the buckets fill
};

size_t PickVm(QuotaFleet& fleet, Clients clients) {
  const size_t any = fleet.random().Below(fleet.size());
  const auto second = static_cast<size_t>(fleet.now().time_since_epoch() / seconds(1));
  switch (clients) {
    case Clients::kThreeVms:
      return any % 3 * 4;
    case Clients::kChangingVm:
      return second * 31 % fleet.size();
    case Clients::kHotRegion:
      return fleet.random().Below(10) < 9 ? any / 3 * 3 : any;
    default:
      return any;
  }
}

/// Called each second of the test.
void Apply(QuotaFleet& fleet, Fault fault, int second, double rate) {
  const auto part = [&](auto&& in_part) {
    for (size_t vm = 0; vm < fleet.size(); ++vm) fleet.SetPart(vm, second % 30 >= 15 && in_part(vm) ? 1 : 0);
  };
  const size_t any = fleet.random().Below(fleet.size());
  switch (fault) {
    case Fault::kRegionCut:
      return part([&](size_t vm) { return fleet.RegionOf(vm) == 0; });
    case Fault::kZoneCut:
      return part([&](size_t vm) { return fleet.ZoneOf(vm) < 3; });
    case Fault::kRestarts:
      for (size_t i = 0; i < 5; ++i) fleet.Start((any + 7 * i) % fleet.size());
      return;
    case Fault::kRestartOfAll:
      if (second % 5 == 4) {
        for (size_t vm = 0; vm < fleet.size(); ++vm) fleet.Start(vm);
      }
      return;
    case Fault::kFreezes:
      for (size_t vm = 0; vm < fleet.size(); ++vm) {
        fleet.Freeze(vm, (vm + static_cast<size_t>(second)) % 12 < 5);
      }
      return;
    case Fault::kJoins:
      for (size_t vm = 0; vm < fleet.size(); ++vm) {
        if (second == 0 && vm % 2 == 1) fleet.Kill(vm);
        if (!fleet.IsUp(vm) && fleet.random().Below(10) == 0 && second > 5) fleet.Start(vm);
      }
      return;
    case Fault::kLoweredLimit:
      if (second == 15) fleet.SetRate(rate / 10);
      return;
    case Fault::kNone:
      return;
  }
}

class QuotaFleetTest : public ::testing::TestWithParam<FleetCase> {};

// Guards against VMs that together grant more than the bound in some window of 8 s, and against refusals
// below the limit.
TEST_P(QuotaFleetTest, KeepsTheBoundAndGrantsTheQuota) {
  const FleetCase& test = GetParam();
  QuotaFleet fleet(test.vms, test.rate, test.network, 1);
  constexpr int kSeconds = 60;
  constexpr int kWarmUpSeconds = 10;
  fleet.Advance(test.idle);
  double due = 0;
  double offered = 0;
  double granted_before = 0;
  for (int second = 0; second < kSeconds; ++second) {
    Apply(fleet, test.fault, second, test.rate);
    if (second == kWarmUpSeconds) {
      offered = 0;
      granted_before = fleet.granted();
    }
    for (const base::TimePoint end = fleet.now() + seconds(1); fleet.now() < end;) {
      due += test.rate * test.offered * 0.01;
      while (due > 0) {
        const double cost = 200 * std::pow(300, fleet.random().Unit());  // up to 60,000, most of them small
        due -= cost;
        offered += cost;
        fleet.Request(PickVm(fleet, test.clients), cost, fleet.random().Below(50) == 0);
      }
      fleet.Advance(milliseconds(10));
    }
  }
  const double quota = test.rate * (kSeconds - kWarmUpSeconds);
  const double use = (fleet.granted() - granted_before) / std::min(quota, offered * 0.98);
  std::printf("%s: worst window %.3f of the bound, use %.3f\n", test.name, fleet.worst_use(), use);
  EXPECT_LE(fleet.worst_use(), 1);
  EXPECT_GE(use, test.least_use);
}

// Guards against a VM that was suspended and then spends the tokens of a bucket that another VM has taken
// over.
TEST(QuotaBookTest, DropsItsTokensAfterASuspension) {
  Tenant tenant;
  tenant.name = "t";
  tenant.quota = {QuotaUnit::kTokens, 36'000, 36'000, 1};
  const auto directory = TenantDirectory::Create({TenantConfig{tenant, {}}});
  base::TimePoint now{std::chrono::hours(1)};
  QuotaBook book({}, 1, 0, now);
  book.SetTenants(directory.get(), now);
  for (int tick = 0; tick < 50; ++tick) {
    book.SetView({{{1}}, 0, 1, 1, true}, now += QuotaBook::kTickInterval);
    book.Tick(now);
  }
  const auto verdict = [&] { return book.Poll(book.Begin(tenant, 10'000, now), now)->verdict; };
  EXPECT_EQ(verdict(), QuotaBook::Answer::Verdict::kGranted);
  now += seconds(4);
  EXPECT_EQ(verdict(), QuotaBook::Answer::Verdict::kExceeded);
}

constexpr double kFast = 2'400'000;
constexpr QuotaNetwork kBad{0.05, 0.05, milliseconds(300)};

INSTANTIATE_TEST_SUITE_P(
    Fleets, QuotaFleetTest,
    ::testing::Values(
        FleetCase{"AllVms", 88, 36'000, 1, Clients::kAllVms, Fault::kNone, kLeastUse},
        FleetCase{"AllVmsFast", 88, kFast, 1, Clients::kAllVms, Fault::kNone, kLeastUseFast},
        FleetCase{"AllVmsOverload", 88, 36'000, 3, Clients::kAllVms, Fault::kNone, kLeastUse},
        FleetCase{"AllVmsFastOverload", 88, kFast, 2, Clients::kAllVms, Fault::kNone, kLeastUseFast},
        FleetCase{"ThreeVms", 88, 36'000, 1, Clients::kThreeVms, Fault::kNone, kLeastUse},
        FleetCase{"ThreeVmsFast", 88, kFast, 1, Clients::kThreeVms, Fault::kNone, kLeastUseFast},
        FleetCase{"ChangingVm", 88, 36'000, 1, Clients::kChangingVm, Fault::kNone, kLeastUse},
        FleetCase{"ChangingVmFast", 88, kFast, 1, Clients::kChangingVm, Fault::kNone, kLeastUseFast},
        FleetCase{"HotRegion", 88, 36'000, 1, Clients::kHotRegion, Fault::kNone, kLeastUse},
        FleetCase{"HotRegionFast", 88, kFast, 1, Clients::kHotRegion, Fault::kNone, kLeastUseFast},
        FleetCase{"HotRegionFastOverload", 88, kFast, 1.5, Clients::kHotRegion, Fault::kNone, kLeastUseFast},
        FleetCase{"Cold", 88, 36'000, 1, Clients::kAllVms, Fault::kNone, kLeastUse, {}, seconds(0)},
        FleetCase{"ColdFast", 88, kFast, 1, Clients::kHotRegion, Fault::kNone, kLeastUseFast, {}, seconds(0)},
        FleetCase{"Large", 370, 36'000, 1, Clients::kAllVms, Fault::kNone, kLeastUse},
        FleetCase{"LargeFast", 370, kFast, 1, Clients::kHotRegion, Fault::kNone, kLeastUseFast},
        FleetCase{"RegionCut", 88, 36'000, 1.5, Clients::kAllVms, Fault::kRegionCut, 0.8},
        FleetCase{"RegionCutFast", 88, kFast, 1.5, Clients::kAllVms, Fault::kRegionCut, 0.8},
        FleetCase{"ZoneCut", 88, 36'000, 3, Clients::kAllVms, Fault::kZoneCut},
        FleetCase{"ZoneCutFast", 88, kFast, 3, Clients::kAllVms, Fault::kZoneCut},
        FleetCase{"Restarts", 88, 36'000, 3, Clients::kAllVms, Fault::kRestarts},
        FleetCase{"RestartsFast", 88, kFast, 3, Clients::kAllVms, Fault::kRestarts},
        FleetCase{"RestartOfAll", 88, 36'000, 5, Clients::kAllVms, Fault::kRestartOfAll},
        FleetCase{"RestartOfAllFast", 88, kFast, 3, Clients::kAllVms, Fault::kRestartOfAll},
        FleetCase{"Freezes", 88, 36'000, 3, Clients::kAllVms, Fault::kFreezes},
        FleetCase{"FreezesFast", 88, kFast, 3, Clients::kAllVms, Fault::kFreezes},
        FleetCase{"Joins", 88, kFast, 3, Clients::kAllVms, Fault::kJoins},
        FleetCase{"LoweredLimit", 88, kFast, 3, Clients::kAllVms, Fault::kLoweredLimit},
        FleetCase{"LargeZoneCut", 370, 36'000, 3, Clients::kAllVms, Fault::kZoneCut},
        FleetCase{"BadNetwork", 88, kFast, 2, Clients::kAllVms, Fault::kNone, 0, kBad},
        FleetCase{"BadNetworkZoneCut", 88, 36'000, 3, Clients::kAllVms, Fault::kZoneCut, 0, kBad},
        FleetCase{"BadNetworkRestarts", 88, kFast, 3, Clients::kAllVms, Fault::kRestarts, 0, kBad}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cornelplank::tenancy
