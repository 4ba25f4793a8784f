#include <gtest/gtest.h>

#include "libs/fleet/fleet.h"

namespace cornelplank::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr VmAddress kFirstAddress = 0x7f200001;  // 127.32.0.1
const std::map<std::string, std::string> kZones = {{"z0", "r0"}, {"z1", "r1"}};
constexpr uint64_t kService = 11;
constexpr uint64_t kOld = 21;
constexpr uint64_t kNew = 22;
constexpr uint64_t kAttempt = 31;

/// A VM on a loopback address. Those with even addresses are in one region, the others in another.
struct Vm {
  Vm(net::asio::io_context& loop, VmAddress address, uint16_t port, bool first_start)
      : members(MakeMember(address), kZones), client(loop, clock, members, history) {
    net::Error error;
    heartbeats = HeartbeatLoop::Start(loop, clock, {}, {net::asio::ip::address_v4(address), port}, members,
                                      registry, &error);
    if (heartbeats == nullptr) throw std::runtime_error(error.message());
    heartbeats->SetSeeds({kFirstAddress});
    client.Connect(*heartbeats);
    history.SetRoutes({{"chat", {kService}}});
    if (first_start) history.SetFirstStart();
    net::Spawn(loop, "ticks", Run(loop));
  }

  static Member MakeMember(VmAddress address) {
    Member member;
    member.address = address;
    member.incarnation = 1;
    member.zone = NameKey(address % 2 == 0 ? "z0" : "z1");
    member.state = MemberState::kReady;
    return member;
  }

  net::Task<> Run(net::asio::io_context& loop) {
    while (!dead) {
      history.OnConfirmed(clock.Now());
      client.Tick();
      co_await net::Sleep(loop, milliseconds(100));
    }
  }

  void Kill() {
    dead = true;
    heartbeats->SetOriginReceiver(nullptr);
  }

  base::SystemClock clock;
  serving::SoftwareHistory history;
  serving::ReplicaRegistry registry;
  MemberTable members;
  StreamOriginClient client;
  std::unique_ptr<HeartbeatLoop> heartbeats;
  bool dead = false;
};

/// Port that is free on the first address.
uint16_t FreePort(net::asio::io_context& loop) {
  net::asio::ip::udp::socket socket(loop, {net::asio::ip::address_v4(kFirstAddress), 0});
  return socket.local_endpoint().port();
}

net::Task<> RunFind(Vm* vm, std::optional<uint64_t> attempt, std::optional<uint64_t>* found, bool* done) {
  *found = co_await vm->client.Find(attempt, std::vector<uint64_t>(1, kService));
  *done = true;
}

std::optional<uint64_t> Find(net::asio::io_context& loop, Vm& vm, std::optional<uint64_t> attempt) {
  std::optional<uint64_t> found;
  bool done = false;
  net::Spawn(loop, "find", RunFind(&vm, attempt, &found, &done));
  const auto limit = vm.clock.Now() + seconds(2);
  while (!done && vm.clock.Now() < limit) loop.run_one_for(milliseconds(10));
  if (!done) throw std::runtime_error("the lookup doesn't end");
  return found;
}

class StreamOriginClientTest : public testing::Test {
 protected:
  void Start(bool first_start) {
    const uint16_t port = FreePort(loop_);
    for (VmAddress i = 0; i < 6; ++i) {
      vms_.push_back(std::make_unique<Vm>(loop_, kFirstAddress + i, port, first_start));
    }
    loop_.run_for(seconds(3));
  }

  void List(uint64_t version) {
    for (auto& vm : vms_) vm->history.OnListed(kService, version, vm->clock.Now());
  }

  net::asio::io_context loop_{1};
  std::vector<std::unique_ptr<Vm>> vms_;
};

// Guards against records and questions that don't reach other VMs, and against streams whose version is gone
// with the VM that began them or with the VMs that it told first.
TEST_F(StreamOriginClientTest, FindsStreamsOfOtherVms) {
  Start(false);
  List(kOld);
  List(kNew);
  vms_[0]->client.Record(kAttempt, kOld);
  for (auto& vm : vms_) EXPECT_EQ(Find(loop_, *vm, kAttempt), kOld);
  EXPECT_EQ(Find(loop_, *vms_[1], kAttempt + 1), std::nullopt);
  loop_.run_for(milliseconds(400));
  EXPECT_EQ(vms_[0]->client.counters().records_sent, 2U);
  std::vector<size_t> told;
  for (size_t i = 1; i < vms_.size(); ++i) {
    vms_[i]->heartbeats->SetOriginReceiver(nullptr);  // asks nobody with success
    if (Find(loop_, *vms_[i], kAttempt)) told.push_back(i);
    vms_[i]->client.Connect(*vms_[i]->heartbeats);
  }
  ASSERT_EQ(told.size(), 2U);
  for (const size_t i : told) {  // they leave, so others are told
    vms_[i]->members.own().state = MemberState::kLeaving;
    vms_[i]->heartbeats->BroadcastState();
  }
  loop_.run_for(seconds(1));
  EXPECT_EQ(vms_[0]->client.counters().records_sent, 4U);
  for (const size_t i : told) vms_[i]->Kill();
  vms_[0]->Kill();
  for (size_t i = 1; i < vms_.size(); ++i) {
    if (vms_[i]->dead) continue;
    EXPECT_EQ(Find(loop_, *vms_[i], kAttempt), kOld);
  }
}

// Guards against the last records of a VM that leaves, which another VM would need at once.
TEST_F(StreamOriginClientTest, SendsTheRestBeforeItEnds) {
  Start(false);
  List(kOld);
  List(kNew);
  vms_[0]->client.Record(kAttempt, kOld);
  vms_[0]->client.SendRest();
  vms_[0]->Kill();
  loop_.run_for(milliseconds(50));
  EXPECT_EQ(Find(loop_, *vms_[1], kAttempt), kOld);
}

// Guards against datagrams and timers while one version serves, and against waits for what the history tells.
TEST_F(StreamOriginClientTest, AsksNobodyWhileOneVersionServes) {
  Start(true);
  List(kOld);
  vms_[0]->client.Record(kAttempt, kOld);
  loop_.run_for(milliseconds(500));
  EXPECT_EQ(vms_[0]->client.counters().records_sent, 0U);
  EXPECT_EQ(Find(loop_, *vms_[1], kAttempt), kOld);
  EXPECT_EQ(vms_[1]->client.counters().found_by_history, 1U);
}

}  // namespace
}  // namespace cornelplank::fleet
