#include <gtest/gtest.h>

#include "libs/fleet/fleet.h"

namespace cornelplank::fleet {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};

Heartbeat MakeHeartbeat(const pace::PaceReport& report) {
  Heartbeat heartbeat;
  heartbeat.sender.address = 7;
  heartbeat.loads = std::vector<serving::ReplicaWork>{{5, {1, 2, 3}, {}}, {6, {4, 5, 6}, report}};
  heartbeat.load_sum = LoadSum{true, milliseconds(30), {{7, 1}}, *heartbeat.loads};
  return heartbeat;
}

struct ReportCase {
  pace::PaceReport sent;
  pace::PaceReport expected;
};

struct PaceReportTest : ::testing::TestWithParam<ReportCase> {};

INSTANTIATE_TEST_SUITE_P(
    Reports, PaceReportTest,
    ::testing::Values(ReportCase{{}, {}}, ReportCase{{-150, 8, 0, {}}, {-150, 8, 0, {}}},
                      ReportCase{{0, 0, 250, milliseconds(120)}, {0, 0, 250, milliseconds(120)}},
                      ReportCase{{148, 255, 2000, milliseconds(45)}, {148, 255, 2000, milliseconds(40)}},
                      ReportCase{{148, 3, 100, std::chrono::seconds(9)}, {148, 3, 0, {}}}));

// Guards against speeds that are lost, or taken for other figures, between two VMs, and against loads that
// are lost because their list has the other of two types.
TEST_P(PaceReportTest, ArrivesWithTheLoads) {
  const auto read = DecodeHeartbeat(EncodeHeartbeat(MakeHeartbeat(GetParam().sent)));
  ASSERT_TRUE(read && read->loads && read->load_sum);
  for (const auto* loads : {&*read->loads, &read->load_sum->loads}) {
    ASSERT_EQ(loads->size(), 2U);
    EXPECT_EQ((*loads)[0].work.memory_tokens, 3U);
    EXPECT_TRUE((*loads)[0].pace.empty());
    EXPECT_EQ((*loads)[1].work.requests, 4U);
    const pace::PaceReport& pace = (*loads)[1].pace;
    EXPECT_EQ(pace.log2_unit, GetParam().expected.log2_unit);
    EXPECT_EQ(pace.observations, GetParam().expected.observations);
    EXPECT_EQ(pace.percent, GetParam().expected.percent);
    EXPECT_EQ(pace.age, GetParam().expected.age);
  }
}

// Guards against bytes for speeds in deployments whose replicas state none: a load then takes as many as
// before the exchange of speeds existed.
TEST(PaceReport, TakesNoBytesWhereNothingIsStated) {
  constexpr size_t kBytesOfALoad = 6;
  Heartbeat heartbeat = MakeHeartbeat({});
  const size_t two_loads = EncodeHeartbeat(heartbeat).size();
  heartbeat.loads->pop_back();
  EXPECT_EQ(two_loads - EncodeHeartbeat(heartbeat).size(), kBytesOfALoad);
  heartbeat.load_sum->loads.pop_back();
  EXPECT_EQ(two_loads - EncodeHeartbeat(heartbeat).size(), 2 * kBytesOfALoad);
}

// Guards against speeds that each VM has to learn from its own few requests: of 22 VMs in two zones each sees
// two of the replicas, and all know the speed and the slow phase of each after three seconds.
TEST(PaceExchange, AllVmsLearnFromTheRequestsOfEach) {
  constexpr size_t kVms = 22;
  constexpr size_t kReplicas = 11;
  struct Vm {
    Vm(VmAddress address, const std::map<std::string, std::string>& zones)
        : members(
              [&] {
                Member member;
                member.address = address;
                member.incarnation = 1;
                member.zone = NameKey(address % 2 == 0 ? "z0" : "z1");
                member.state = MemberState::kReady;
                return member;
              }(),
              zones),
          exchange({}, members, registry) {}
    serving::ReplicaRegistry registry;
    MemberTable members;
    LoadExchange exchange;
  };
  const std::map<std::string, std::string> zones{{"z0", "r"}, {"z1", "r"}};
  const auto factor_of = [](size_t replica) { return replica % 3 == 0 ? 0.6 : replica % 3 == 1 ? 1.0 : 1.6; };
  std::vector<std::unique_ptr<Vm>> vms;
  base::TimePoint now = kStart;
  for (size_t i = 0; i < kVms; ++i) vms.push_back(std::make_unique<Vm>(static_cast<VmAddress>(i + 1), zones));
  for (auto& vm : vms) {
    for (const auto& other : vms) vm->members.MergeMember(other->members.own(), now);
    for (size_t k = 0; k < kReplicas; ++k) {
      vm->registry.Upsert({.id = std::to_string(k), .service = "llm", .region = "r"}, now);
    }
  }
  for (int round = 0; round < 15; ++round) {
    for (size_t i = 0; i < kVms; ++i) {
      now += milliseconds(200) / kVms;
      Vm& vm = *vms[i];
      for (const auto& other : vms) {
        vm.members.RefreshHeartbeat(other->members.own().address, other->members.own().heartbeat_count, now);
      }
      serving::TrackedReplica& replica = *vm.registry.Find(std::to_string(i % kReplicas));
      const double slowdown = i % kReplicas == 4 ? 2.5 : 1;
      vm.registry.RecordLoad(replica, {0, 0, 16, 100 * slowdown}, now);
      const double ms = 40 * factor_of(i % kReplicas) * slowdown;
      const auto time =
          std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(ms));
      replica.pace.OnTokens(vm.registry.FindPace("llm"), 8, time, now);
      Heartbeat heartbeat;
      heartbeat.sender = vm.members.own();
      heartbeat.sender.heartbeat_count = ++vm.members.own().heartbeat_count;
      for (const auto& message : vm.exchange.NextRound(heartbeat.sender.heartbeat_count, now)) {
        heartbeat.load_sum = message.sum;
        heartbeat.loads.reset();
        if (!message.sum) heartbeat.loads = vm.registry.OwnLoads(now);
        const auto read = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
        for (const VmAddress target : message.targets) {
          LoadExchange& to = vms[target - 1]->exchange;
          if (read->loads) to.OnLoads(read->sender, *read->loads, now);
          if (read->load_sum) to.OnSum(read->sender, *read->load_sum, now);
        }
      }
    }
  }
  for (auto& vm : vms) {
    const double usual = vm->registry.Find("1")->pace.TimeFactor(now);
    for (size_t k = 0; k < kReplicas; ++k) {
      const pace::ReplicaPace& pace = vm->registry.Find(std::to_string(k))->pace;
      EXPECT_NEAR(pace.TimeFactor(now) / usual, factor_of(k), 0.2 * factor_of(k)) << k;
      EXPECT_EQ(pace.Slowdown(now) > 1.3, k == 4) << k;
    }
  }
}

}  // namespace
}  // namespace cornelplank::fleet
