#include <gtest/gtest.h>

#include "libs/fleet/fleet.h"

namespace cornelplank::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = serving::QuotaDecision::Verdict;

constexpr VmAddress kFirstAddress = 0x7f1f0001;  // 127.31.0.1
const std::map<std::string, std::string> kZones = {{"z0", "r0"}, {"z1", "r1"}};

tenancy::Tenant MakeTenant() {
  tenancy::Tenant tenant;
  tenant.name = "t";
  tenant.quota = {tenancy::QuotaUnit::kTokens, 36'000, 36'000, 1};
  return tenant;
}

/// A VM on a loopback address.
struct Vm {
  Vm(net::asio::io_context& loop, VmAddress address, const std::string& zone, uint16_t port)
      : members(MakeMember(address, zone), kZones), client(loop, clock, members, {}) {
    net::Error error;
    heartbeats = HeartbeatLoop::Start(loop, clock, {}, {net::asio::ip::address_v4(address), port}, members,
                                      registry, &error);
    if (heartbeats == nullptr) throw std::runtime_error(error.message());
    heartbeats->SetSeeds({kFirstAddress});
    client.SetSeeds({kFirstAddress});
    client.Connect(*heartbeats);
    client.SetTenants(tenancy::TenantDirectory::Create({tenancy::TenantConfig{MakeTenant(), {}}}).get());
  }

  static Member MakeMember(VmAddress address, const std::string& zone) {
    Member member;
    member.address = address;
    member.incarnation = 1;
    member.zone = NameKey(zone);
    member.state = MemberState::kReady;
    return member;
  }

  base::SystemClock clock;
  serving::ReplicaRegistry registry;
  MemberTable members;
  QuotaClient client;
  std::unique_ptr<HeartbeatLoop> heartbeats;
};

/// Port that is free on the first address.
uint16_t FreePort(net::asio::io_context& loop) {
  net::asio::ip::udp::socket socket(loop, {net::asio::ip::address_v4(kFirstAddress), 0});
  return socket.local_endpoint().port();
}

serving::QuotaDecision Acquire(net::asio::io_context& loop, Vm& vm, double cost) {
  std::optional<serving::QuotaDecision> decision;
  const tenancy::Tenant tenant = MakeTenant();
  net::Spawn(loop, "acquire", [](Vm* at, const tenancy::Tenant* of, double amount, auto* out) -> net::Task<> {
    *out = co_await at->client.Acquire(*of, amount);
  }(&vm, &tenant, cost, &decision));
  const auto limit = vm.clock.Now() + seconds(2);
  while (!decision && vm.clock.Now() < limit) loop.run_one_for(milliseconds(10));
  return decision.value_or(serving::QuotaDecision{Verdict::kUnavailable, seconds(-1)});
}

// Guards against messages that don't reach the owner of a bucket or its answer the asker, also in the other
// region, and against a VM that waits without end for owners that are gone.
TEST(QuotaClientTest, TakesQuotasFromOtherVms) {
  net::asio::io_context loop(1);
  const uint16_t port = FreePort(loop);
  std::vector<std::unique_ptr<Vm>> vms;
  for (VmAddress i = 0; i < 4; ++i) {
    vms.push_back(std::make_unique<Vm>(loop, kFirstAddress + i, i % 2 == 0 ? "z0" : "z1", port));
  }
  loop.run_for(seconds(6));
  for (auto& vm : vms) {
    EXPECT_EQ(Acquire(loop, *vm, 1000).verdict, Verdict::kGranted);
    const auto refused = Acquire(loop, *vm, 10'000'000);
    EXPECT_EQ(refused.verdict, Verdict::kExceeded);
    EXPECT_GT(refused.retry_after, seconds(0));
  }
  for (auto& vm : vms) vm->heartbeats->SetQuotaReceiver(nullptr);
  int unavailable = 0;
  for (auto& vm : vms) {
    const auto decision = Acquire(loop, *vm, 30'000);
    if (decision.verdict == Verdict::kUnavailable) ++unavailable;
    EXPECT_GE(decision.retry_after, seconds(0));
  }
  EXPECT_GE(unavailable, 2);  // one VM of each region owns its bucket
}

// Guards against timers and datagrams in deployments without tenants that have limits.
TEST(QuotaClientTest, DoesNothingWithoutLimits) {
  net::asio::io_context loop(1);
  const base::ManualClock clock;
  MemberTable members(Vm::MakeMember(kFirstAddress, "z0"), kZones);
  QuotaClient client(loop, clock, members, {});
  tenancy::Tenant unlimited;
  unlimited.name = "u";
  client.SetTenants(tenancy::TenantDirectory::Create({tenancy::TenantConfig{unlimited, {}}}).get());
  EXPECT_EQ(loop.run(), 0);
}

}  // namespace
}  // namespace cornelplank::fleet
