#pragma once

#include <unordered_map>
#include <vector>

#include "libs/fleet/internal/heartbeat_loop.h"
#include "libs/fleet/internal/member_table.h"
#include "libs/net/net.h"
#include "libs/serving/serving.h"

namespace cornelplank::fleet {

/// Takes quotas from the VMs that own them, by datagrams of the heartbeat loop. Without tenants with limits
/// it sends nothing and sets no timer.
class QuotaClient final : public serving::QuotaGate {
 public:
  QuotaClient(net::asio::io_context& loop, const base::Clock& clock, MemberTable& members,
              const tenancy::QuotaBounds& bounds);

  /// Sends and receives through `heartbeats` from now on.
  void Connect(HeartbeatLoop& heartbeats);
  /// Sets the VMs that this one expects to find. Until it has found one its buckets don't refill.
  void SetSeeds(std::vector<VmAddress> seeds) { seeds_ = std::move(seeds); }
  /// Sets the tenants; null: none.
  void SetTenants(const tenancy::TenantDirectory* tenants);

  net::Task<serving::QuotaDecision> Acquire(const tenancy::Tenant& tenant, double cost) override;
  void GiveBack(const tenancy::Tenant& tenant, double cost) override;
  /// Share of the quota that requests of this VM use, by tenant; the sum over all VMs is the use of the
  /// quota.
  std::vector<tenancy::QuotaBook::Use> Uses() const { return book_.Uses(clock_.Now()); }

 private:
  /// Does the periodic work while there are tenants with limits.
  net::Task<> Run();
  void Receive(const std::vector<tenancy::QuotaMessage>& messages);
  void UpdateView(base::TimePoint now);
  /// Sends what the book wants to be sent.
  void Flush();

  net::asio::io_context& loop_;
  const base::Clock& clock_;
  MemberTable& members_;
  tenancy::QuotaBook book_;
  HeartbeatLoop* heartbeats_ = nullptr;
  std::vector<VmAddress> seeds_;
  tenancy::RegionSize region_size_;
  bool found_others_ = false;
  bool running_ = false;
  std::unordered_map<uint64_t, net::Notification*> waiting_;  // by request of the book
};

}  // namespace cornelplank::fleet
