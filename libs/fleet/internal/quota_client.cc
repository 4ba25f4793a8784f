#include "libs/fleet/internal/quota_client.h"

#include <algorithm>
#include <set>

namespace cornelplank::fleet {
namespace {

using tenancy::QuotaBook;

// Messages in one datagram; about 60 bytes each, so that it stays within one Ethernet frame.
constexpr size_t kMessagesPerDatagram = 16;
// Sequence numbers that a process may use in one millisecond before they overtake those of its next start.
constexpr int kSequenceBits = 20;

serving::QuotaDecision ToDecision(const QuotaBook::Answer& answer) {
  using Verdict = serving::QuotaDecision::Verdict;
  switch (answer.verdict) {
    case QuotaBook::Answer::Verdict::kGranted:
      return {Verdict::kGranted, {}};
    case QuotaBook::Answer::Verdict::kExceeded:
      return {Verdict::kExceeded, answer.retry_after};
    default:
      return {Verdict::kUnavailable, answer.retry_after};
  }
}

}  // namespace

QuotaClient::QuotaClient(net::asio::io_context& loop, const base::Clock& clock, MemberTable& members,
                         const tenancy::QuotaBounds& bounds)
    : loop_(loop),
      clock_(clock),
      members_(members),
      book_(bounds, members.own().address, members.own().incarnation << kSequenceBits, clock.Now()),
      region_size_(clock.Now()) {}

void QuotaClient::Connect(HeartbeatLoop& heartbeats) {
  heartbeats_ = &heartbeats;
  heartbeats.SetQuotaReceiver([this](const auto& messages) { Receive(messages); });
}

void QuotaClient::SetTenants(const tenancy::TenantDirectory* tenants) {
  const base::TimePoint now = clock_.Now();
  book_.SetTenants(tenants, now);
  if (!book_.IsActive() || running_) return;
  running_ = true;
  UpdateView(now);
  net::Spawn(loop_, "quotas", Run());
}

net::Task<> QuotaClient::Run() {
  while (book_.IsActive()) {
    const base::TimePoint now = clock_.Now();
    UpdateView(now);
    book_.Tick(now);
    Flush();
    co_await net::Sleep(loop_, QuotaBook::kTickInterval);
  }
  running_ = false;
}

void QuotaClient::UpdateView(base::TimePoint now) {
  const std::vector<std::string> regions = members_.Regions();
  const std::string& own_region = members_.RegionOf(members_.own());
  tenancy::QuotaFleetView view;
  view.owners.resize(regions.size());
  std::map<VmAddress, uint32_t> live;
  std::set<VmAddress> leaving;
  const auto add = [&](const Member& member) {
    const std::string& region = members_.RegionOf(member);
    const auto index =
        static_cast<size_t>(std::find(regions.begin(), regions.end(), region) - regions.begin());
    if (index == regions.size()) return;
    if (member.address == members_.own().address) view.own_region = index;
    // A VM that isn't ready may not know the tenants yet.
    if (member.state == MemberState::kReady) view.owners[index].push_back(member.address);
    if (member.state == MemberState::kLeaving) {
      leaving.insert(member.address);
    } else if (region == own_region) {
      live[member.address] = member.zone;
    }
  };
  add(members_.own());
  for (const auto& [address, entry] : members_.others()) {
    if (members_.IsAlive(entry, now)) {
      found_others_ = true;
      add(entry.member);
    } else if (entry.member.state == MemberState::kLeaving) {
      leaving.insert(address);
    }
  }
  std::set<uint32_t> zones;
  for (const std::string& zone : members_.Zones(own_region)) zones.insert(NameKey(zone));
  region_size_.Update(zones, std::move(live), leaving, now);
  view.live_vms = region_size_.live();
  view.expected_vms = region_size_.expected();
  view.connected = found_others_ || std::all_of(seeds_.begin(), seeds_.end(), [&](VmAddress seed) {
                     return seed == members_.own().address;
                   });
  book_.SetView(std::move(view), now);
}

void QuotaClient::Receive(const std::vector<tenancy::QuotaMessage>& messages) {
  const base::TimePoint now = clock_.Now();
  for (const tenancy::QuotaMessage& message : messages) {
    const auto waiting = waiting_.find(book_.OnMessage(message, now));
    if (waiting != waiting_.end()) waiting->second->Notify();
  }
  Flush();
}

void QuotaClient::Flush() {
  std::map<VmAddress, std::vector<tenancy::QuotaMessage>> by_target;
  for (auto& [to, message] : book_.TakeOutbox()) {
    auto& messages = by_target[to];
    messages.push_back(message);
    if (messages.size() < kMessagesPerDatagram) continue;
    if (heartbeats_ != nullptr) heartbeats_->SendQuotas(to, std::move(messages));
    messages.clear();
  }
  if (heartbeats_ == nullptr) return;
  for (auto& [to, messages] : by_target) {
    if (!messages.empty()) heartbeats_->SendQuotas(to, std::move(messages));
  }
}

net::Task<serving::QuotaDecision> QuotaClient::Acquire(const tenancy::Tenant& tenant, double cost) {
  const uint64_t request = book_.Begin(tenant, cost, clock_.Now());
  while (true) {
    const auto answer = book_.Poll(request, clock_.Now());
    Flush();
    if (answer) co_return ToDecision(*answer);
    net::Notification signal(loop_);
    waiting_[request] = &signal;
    co_await signal.Wait(book_.Deadline(request) - clock_.Now());
    waiting_.erase(request);
  }
}

void QuotaClient::GiveBack(const tenancy::Tenant& tenant, double cost) {
  book_.GiveBack(tenant.name, cost, clock_.Now());
}

}  // namespace cornelplank::fleet
