#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

#include "libs/fleet/fleet.h"

namespace cornelplank::fleet {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kRound{200};
// Greatest mean difference between the work that a VM knows and the work that there is. Each VM changes one
// request a round, so that this is about what is new after half a second.
constexpr double kMostError = 0.1;

const std::map<std::string, std::string> kZones = {{"z0", "r"}, {"z1", "r"}, {"far", "q"}};

/// A VM of the region with its view of members and loads.
struct Vm {
  Vm(VmAddress address, const std::string& zone, const LoadExchangeSettings& settings)
      : members(MakeMember(address, zone), kZones), exchange(settings, members, registry) {}

  static Member MakeMember(VmAddress address, const std::string& zone) {
    Member member;
    member.address = address;
    member.incarnation = 1;
    member.zone = NameKey(zone);
    member.state = MemberState::kReady;
    return member;
  }

  serving::ReplicaRegistry registry;
  MemberTable members;
  LoadExchange exchange;
  uint64_t sent_messages = 0;
  uint64_t sent_to_other_zones = 0;
  bool dead = false;
};

/// The VMs of one region and the messages between them, which arrive at once or are lost.
class Region {
 public:
  Region(size_t vms, size_t replicas, const LoadExchangeSettings& settings, double loss)
      : loss_(loss), replicas_(replicas), random_(7) {
    for (size_t i = 0; i < vms; ++i) {
      vms_.push_back(std::make_unique<Vm>(static_cast<VmAddress>(i + 1), i % 2 == 0 ? "z0" : "z1", settings));
    }
    for (auto& vm : vms_) {
      for (const auto& other : vms_) vm->members.MergeMember(other->members.own(), now_);
      for (size_t i = 0; i < replicas; ++i) {
        serving::PublishedReplica published;
        published.id = "i-" + std::to_string(i);
        published.service = "svc";
        published.region = "r";
        vm->registry.Upsert(published, now_);
      }
    }
  }

  /// One round of all VMs, spread over its time. Each VM replaces one of its requests by another.
  void Round() {
    std::vector<Vm*> order;
    for (auto& vm : vms_) order.push_back(vm.get());
    for (Vm* vm : order) {
      now_ += kRound / static_cast<int>(order.size());
      if (vm->dead) continue;
      auto& replica = *vm->registry.Find("i-" + std::to_string(random_.Below(replicas_)));
      if (replica.own_work.requests > 0 && random_.Below(2) == 0) {
        vm->registry.EndAttempt(replica, {1, 0, 0}, serving::HealthObservation::kSuccess, now_);
      } else {
        vm->registry.BeginAttempt(replica, {1, 0, 0}, 0, now_);
      }
      const uint32_t count = ++vm->members.own().heartbeat_count;
      for (const auto& message : vm->exchange.NextRound(count, now_)) Deliver(*vm, message);
    }
  }

  /// The sum over all VMs and replicas of the difference between the work that the VM takes the replica to
  /// have and the work that it has, as a part of all work.
  double MeanError() const {
    double wrong = 0;
    double all = 0;
    for (size_t i = 0; i < replicas_; ++i) {
      const std::string id = "i-" + std::to_string(i);
      double work = 0;
      for (const auto& vm : vms_) work += vm->dead ? 0 : vm->registry.Find(id)->own_work.requests;
      for (const auto& vm : vms_) {
        if (vm->dead) continue;
        wrong += std::abs(vm->registry.Find(id)->TotalWork(now_).requests - work);
        all += work;
      }
    }
    return all == 0 ? 0 : wrong / all;
  }

  std::vector<std::unique_ptr<Vm>>& vms() { return vms_; }
  base::TimePoint now() const { return now_; }

 private:
  void Deliver(Vm& from, const LoadExchange::Message& message) {
    for (const VmAddress address : message.targets) {
      Vm& to = *vms_.at(address - 1);
      ++from.sent_messages;
      if (to.members.own().zone != from.members.own().zone) ++from.sent_to_other_zones;
      if (to.dead || random_.Unit() < loss_) continue;
      to.members.MergeSender(from.members.own(), now_);
      if (message.sum) {
        to.exchange.OnSum(from.members.own(), *message.sum, now_);
      } else {
        to.exchange.OnLoads(from.members.own(), from.registry.OwnLoads(now_), now_);
      }
    }
  }

  double loss_;
  size_t replicas_;
  base::Random random_;
  base::TimePoint now_ = kStart;
  std::vector<std::unique_ptr<Vm>> vms_;
};

struct SizeCase {
  const char* name;
  size_t vms;
  double loss;
};
class LoadExchangeSizeTest : public ::testing::TestWithParam<SizeCase> {};

// Guards against VMs of a large region that place requests by a small part of the region's work, or by old
// reports.
TEST_P(LoadExchangeSizeTest, KnowsTheWorkOfTheRegion) {
  Region region(GetParam().vms, 40, {}, GetParam().loss);
  for (int i = 0; i < 150; ++i) region.Round();
  double error = 0;
  for (int i = 0; i < 20; ++i) {
    region.Round();
    error += region.MeanError() / 20;
  }
  EXPECT_LE(error, kMostError);
}

INSTANTIATE_TEST_SUITE_P(Sizes, LoadExchangeSizeTest,
                         ::testing::Values(SizeCase{"Three", 3, 0}, SizeCase{"Ten", 10, 0},
                                           SizeCase{"TwentyTwo", 22, 0.01}, SizeCase{"SixtyEight", 68, 0.01},
                                           SizeCase{"TwoHundred", 200, 0.01}),
                         [](const auto& info) { return info.param.name; });

// Shows what the sums are for: with turns alone most of the work is unknown to a VM of a large region.
TEST(LoadExchangeTurnsTest, DoNotReachALargeRegion) {
  LoadExchangeSettings settings;
  settings.most_direct_vms = 1000;
  Region region(68, 40, settings, 0);
  for (int i = 0; i < 150; ++i) region.Round();
  EXPECT_GT(region.MeanError(), kMostError);
}

// Guards against a cost that grows with the square of the number of VMs, and against copies to each VM of the
// other zones.
TEST(LoadExchangeCostTest, GrowsWithTheNumberOfVms) {
  Region region(200, 40, {}, 0);
  for (int i = 0; i < 10; ++i) region.Round();  // until all VMs have got sums
  for (const auto& vm : region.vms()) vm->sent_messages = vm->sent_to_other_zones = 0;
  constexpr int kRounds = 50;
  for (int i = 0; i < kRounds; ++i) region.Round();
  uint64_t messages = 0;
  uint64_t to_other_zones = 0;
  for (const auto& vm : region.vms()) {
    messages += vm->sent_messages;
    to_other_zones += vm->sent_to_other_zones;
  }
  EXPECT_LE(messages, 4U * 200 * kRounds);
  EXPECT_LE(to_other_zones, 4U * kRounds);  // two VMs of each zone to two of the other, every second round
}

// Guards against loads that become unknown when a VM that sums them is gone.
TEST(LoadExchangeLossTest, GoesOnWithoutASummingVm) {
  Region region(68, 40, {}, 0);
  for (int i = 0; i < 100; ++i) region.Round();
  const auto most = [](const auto& a, const auto& b) { return a->sent_messages < b->sent_messages; };
  (*std::max_element(region.vms().begin(), region.vms().end(), most))->dead = true;
  for (int i = 0; i < 10; ++i) region.Round();
  EXPECT_LE(region.MeanError(), 0.15);
  for (int i = 0; i < 30; ++i) region.Round();
  EXPECT_LE(region.MeanError(), kMostError);
}

// Guards against a VM that is held to be dead because only the sums tell of its heartbeats, and against a
// state that a relayed count brings back.
TEST(RelayedHeartbeatTest, KeepsAVmAliveAndItsState) {
  MemberTable members(Vm::MakeMember(1, "z0"), kZones);
  Member other = Vm::MakeMember(2, "z0");
  other.heartbeat_count = 10;
  members.MergeMember(other, kStart);
  members.RefreshHeartbeat(2, 20, kStart + milliseconds(2000));
  const base::TimePoint later = kStart + milliseconds(4000);
  EXPECT_EQ(members.LiveCount(later), 2U);
  other.heartbeat_count = 15;
  other.state = MemberState::kLeaving;
  members.MergeMember(other, later);
  EXPECT_EQ(members.others().at(2).member.state, MemberState::kLeaving);
  members.RefreshHeartbeat(2, 19, later + milliseconds(500));
  EXPECT_EQ(members.others().at(2).last_heartbeat, later);
}

}  // namespace
}  // namespace cornelplank::fleet
