#include "libs/fleet/internal/load_exchange.h"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace cornelplank::fleet {
namespace {

using serving::OutstandingWork;
using serving::ReplicaRegistry;
using serving::ReplicaWork;

// Own reports that are kept: more than are made while a sum is on its way.
constexpr size_t kOwnReports = 12;
// Without a sum of the region for this long, a VM also sends its loads to others itself.
constexpr std::chrono::milliseconds kSumTimeout{1000};

using WorkByReplica = std::unordered_map<uint32_t, ReplicaWork>;

/// `age`: time since the loads were reported.
void Add(const std::vector<ReplicaWork>& loads, base::Duration age, WorkByReplica* sum) {
  for (const ReplicaWork& load : loads) {
    ReplicaWork& entry = (*sum)[load.replica_key];
    entry.pace.Add(load.pace, age);
    OutstandingWork& work = entry.work;
    work.requests += load.work.requests;
    work.prefill_tokens += load.work.prefill_tokens;
    work.memory_tokens += load.work.memory_tokens;
  }
}

void Subtract(const std::vector<ReplicaWork>& loads, WorkByReplica* sum) {
  for (const ReplicaWork& load : loads) {
    OutstandingWork& work = (*sum)[load.replica_key].work;
    work.requests -= std::min(work.requests, load.work.requests);
    work.prefill_tokens -= std::min(work.prefill_tokens, load.work.prefill_tokens);
    work.memory_tokens -= std::min(work.memory_tokens, load.work.memory_tokens);
  }
}

std::vector<ReplicaWork> ToList(const WorkByReplica& sum) {
  std::vector<ReplicaWork> loads;
  for (const auto& [key, entry] : sum) {
    if (entry.work.requests > 0 || !entry.pace.empty()) loads.push_back({key, entry.work, entry.pace});
  }
  return loads;
}

bool IsRecent(base::TimePoint at, base::TimePoint now) {
  return now - at <= ReplicaRegistry::kMaxPeerLoadAge;
}

}  // namespace

std::vector<VmAddress> LoadExchange::SummingVms(uint32_t zone, base::TimePoint now) const {
  const std::string_view key(reinterpret_cast<const char*>(&zone), sizeof zone);
  std::vector<std::pair<uint64_t, VmAddress>> ranked;
  const auto add = [&](const Member& member) {
    if (member.zone != zone || member.state == MemberState::kLeaving) return;
    ranked.emplace_back(base::RendezvousWeight(key, std::to_string(member.address)), member.address);
  };
  add(members_.own());
  for (const auto& [address, entry] : members_.others()) {
    if (members_.IsAlive(entry, now)) add(entry.member);
  }
  const size_t count = std::min(settings_.summing_vms, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count), ranked.end(),
                    std::greater<>());
  std::vector<VmAddress> vms;
  for (size_t i = 0; i < count; ++i) vms.push_back(ranked[i].second);
  return vms;
}

LoadSum LoadExchange::SumOfZone(uint32_t own_count, base::TimePoint now) const {
  LoadSum result;
  WorkByReplica sum;
  Add(replicas_.OwnLoads(now, true), base::Duration::zero(), &sum);
  result.vms.push_back({members_.own().address, own_count});
  for (const auto& [vm, report] : reports_) {
    if (!IsRecent(report.at, now)) continue;
    Add(report.loads, now - report.at, &sum);
    for (const auto& [replica, speed] : report.speeds) sum[replica].pace.Add(speed, base::Duration::zero());
    result.vms.push_back({vm, report.heartbeat_count});
    result.age = std::max(result.age, now - report.at);
  }
  result.loads = ToList(sum);
  return result;
}

LoadSum LoadExchange::SumOfRegion(LoadSum zone, base::TimePoint now) const {
  zone.whole_region = true;
  WorkByReplica sum;
  Add(zone.loads, base::Duration::zero(), &sum);
  for (const auto& [key, other] : zone_sums_) {
    if (!IsRecent(other.at, now)) continue;
    Add(other.sum.loads, now - other.received_at, &sum);
    zone.vms.insert(zone.vms.end(), other.sum.vms.begin(), other.sum.vms.end());
    zone.age = std::max(zone.age, now - other.at);
  }
  zone.loads = ToList(sum);
  for (ReplicaWork& load : zone.loads) {
    if (!ReplicaRegistry::SendsSpeed(load.replica_key, now)) load.pace.observations = 0;
  }
  return zone;
}

std::vector<LoadExchange::Message> LoadExchange::DirectRound(std::vector<VmAddress> vms) {
  Message message;
  const size_t count = std::min(vms.size(), settings_.direct_fanout);
  for (size_t i = 0; i < count; ++i) message.targets.push_back(vms[next_direct_vm_++ % vms.size()]);
  return {message};
}

std::vector<LoadExchange::Message> LoadExchange::NextRound(uint32_t own_count, base::TimePoint now) {
  ++round_;
  std::erase_if(reports_, [&](const auto& entry) { return !IsRecent(entry.second.at, now); });
  auto vms = members_.OwnRegionVms(now);
  vms.erase(vms.begin());  // this VM
  if (vms.empty()) return {};
  own_reports_.push_back({own_count, replicas_.OwnLoads(now), now, {}});
  if (own_reports_.size() > kOwnReports) own_reports_.pop_front();
  if (vms.size() < settings_.most_direct_vms) return DirectRound(std::move(vms));

  const VmAddress own = members_.own().address;
  const uint32_t own_zone = members_.own().zone;
  std::vector<VmAddress> summing = SummingVms(own_zone, now);
  const bool sums = std::find(summing.begin(), summing.end(), own) != summing.end();
  std::erase(summing, own);
  std::vector<Message> messages{{summing, std::nullopt}};
  if (!sums) {
    const bool informed = last_region_sum_ && now - *last_region_sum_ <= kSumTimeout;
    if (!informed) messages.push_back(DirectRound(std::move(vms)).front());
    return messages;
  }
  if (round_ % settings_.rounds_per_sum != 0) return messages;
  const LoadSum zone_sum = SumOfZone(own_count, now);
  Message to_zone;
  std::map<uint32_t, bool> other_zones;
  for (const VmAddress vm : vms) {
    const Member& member = members_.others().at(vm).member;
    if (member.zone != own_zone) {
      other_zones[member.zone] = true;
    } else if (std::find(summing.begin(), summing.end(), vm) == summing.end()) {
      to_zone.targets.push_back(vm);
    }
  }
  Message to_other_zones;
  for (const auto& [zone, present] : other_zones) {
    for (const VmAddress vm : SummingVms(zone, now)) to_other_zones.targets.push_back(vm);
  }
  if (!to_other_zones.targets.empty()) {
    to_other_zones.sum = zone_sum;
    messages.push_back(std::move(to_other_zones));
  }
  if (!to_zone.targets.empty()) {
    to_zone.sum = SumOfRegion(zone_sum, now);
    messages.push_back(std::move(to_zone));
  }
  return messages;
}

void LoadExchange::OnLoads(const Member& sender, const std::vector<ReplicaWork>& loads, base::TimePoint now) {
  if (sender.zone == members_.own().zone) {
    Report& report = reports_[sender.address];
    report.heartbeat_count = sender.heartbeat_count;
    report.loads = loads;
    report.at = now;
    for (ReplicaWork& load : report.loads) {
      if (load.pace.observations == 0) continue;
      report.speeds[load.replica_key] = {load.pace.log2_unit, load.pace.observations, 0, {}};
      load.pace.observations = 0;  // counted in `speeds`
    }
  }
  replicas_.ReplacePeerLoads(sender.address, loads, now);
  replicas_.MergePaces(loads, now);
}

void LoadExchange::OnSum(const Member& sender, const LoadSum& sum, base::TimePoint now) {
  for (const CoveredVm& vm : sum.vms) members_.RefreshHeartbeat(vm.address, vm.heartbeat_count, now);
  const base::TimePoint at = now - sum.age;
  replicas_.MergePaces(sum.loads, now);
  if (!sum.whole_region) {
    if (sender.zone == members_.own().zone) return;
    zone_sums_[sender.zone] = {sum, at, now};
    replicas_.DropGroupLoads(ReplicaRegistry::kRegionGroup);
    replicas_.ReplaceGroupLoads(sender.zone, sum.loads, at);
    return;
  }
  if (sender.zone != members_.own().zone) return;
  WorkByReplica others;
  Add(sum.loads, base::Duration::zero(), &others);
  std::vector<VmAddress> covered;
  for (const CoveredVm& vm : sum.vms) {
    covered.push_back(vm.address);
    if (vm.address != members_.own().address) continue;
    const auto own = std::find_if(own_reports_.begin(), own_reports_.end(), [&](const Report& report) {
      return report.heartbeat_count == vm.heartbeat_count;
    });
    if (own == own_reports_.end()) return;  // a part of the sum is this VM's own work, of unknown size
    Subtract(own->loads, &others);
  }
  last_region_sum_ = now;
  replicas_.DropPeerLoads(covered);
  replicas_.DropZoneGroupLoads();
  replicas_.ReplaceGroupLoads(ReplicaRegistry::kRegionGroup, ToList(others), at);
}

}  // namespace cornelplank::fleet
