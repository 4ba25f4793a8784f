#include "libs/fleet/internal/member_table.h"

#include <algorithm>
#include <set>

namespace cornelplank::fleet {
namespace {

// How long FleetSize keeps a greater number of VMs after some have gone silent. They may be alive behind a
// network partition, and their part of the limits that all VMs share must not go to others.
constexpr std::chrono::seconds kFleetSizeHold{60};
// Round trip between two regions: 80 ms one way in all deployments so far, and a margin.
constexpr std::chrono::milliseconds kRegionRoundTrip{165};

const std::string kUnknown;  // name of zones and regions that the settings do not list

}  // namespace

uint32_t NameKey(std::string_view name) { return static_cast<uint32_t>(base::Hash64(name)); }

MemberTable::MemberTable(const Member& own, const std::map<std::string, std::string>& zone_regions)
    : own_(own) {
  SetZones(zone_regions);
}

void MemberTable::SetZones(const std::map<std::string, std::string>& zone_regions) {
  for (const auto& [zone, region] : zone_regions) {
    regions_[NameKey(region)] = region;
    zones_[NameKey(zone)] = {zone, region};
  }
}

void MemberTable::MergeSender(const Member& sender, base::TimePoint now) {
  const auto known = others_.find(sender.address);
  if (known != others_.end() && known->second.member.incarnation > sender.incarnation &&
      !IsAlive(known->second, now)) {
    others_.erase(known);
  }
  MergeMember(sender, now);
}

void MemberTable::MergeMember(const Member& member, base::TimePoint now) {
  if (member.address == own_.address && member.incarnation > own_.incarnation) {
    base::LogEvent("incarnation_raised").Number("to", static_cast<int64_t>(member.incarnation + 1));
    own_.incarnation = member.incarnation + 1;  // others still have the state of an earlier run of this VM
  }
  if (member.address == own_.address || member.address == 0) return;
  const auto [position, added] = others_.try_emplace(member.address);
  Entry& entry = position->second;
  const Member& known = entry.member;
  const bool newer =
      added || member.incarnation > known.incarnation ||
      (member.incarnation == known.incarnation && member.heartbeat_count > known.heartbeat_count);
  if (!newer) return;
  if (added || member.incarnation > known.incarnation || member.state != known.state ||
      member.replica_links != known.replica_links) {
    base::LogEvent("vm_changed")
        .Number("vm", member.address)
        .Text("zone", ZoneOf(member))
        .Number("incarnation", static_cast<int64_t>(member.incarnation))
        .Number("state", static_cast<int64_t>(member.state))
        .Number("links_lost", member.replica_links == ReplicaLinkState::kLost ? 1 : 0);
  }
  if (member.incarnation != known.incarnation) entry.relayed_count = 0;
  entry.member = member;
  entry.last_heartbeat = now;
}

void MemberTable::RefreshHeartbeat(VmAddress vm, uint32_t heartbeat_count, base::TimePoint now) {
  const auto entry = others_.find(vm);
  if (entry == others_.end()) return;
  Entry& known = entry->second;
  if (heartbeat_count <= std::max(known.member.heartbeat_count, known.relayed_count)) return;
  known.relayed_count = heartbeat_count;
  known.last_heartbeat = now;
}

void MemberTable::RecordDatagram(VmAddress vm, base::TimePoint now) {
  const auto entry = others_.find(vm);
  if (entry != others_.end()) entry->second.last_datagram = now;
}

void MemberTable::ReportHopFailure(VmAddress vm, base::TimePoint now) {
  const auto entry = others_.find(vm);
  if (entry != others_.end()) entry->second.last_hop_failure = now;
}

void MemberTable::MergeWaitReport(const RegionWaitReport& report, base::TimePoint now) {
  WaitMeasurement& known = wait_measurements_[{report.region, report.service}];
  const base::TimePoint measured_at = now - report.age;
  if (measured_at <= known.measured_at) return;
  known = {report.wait, measured_at};
}

void MemberTable::Tick(base::TimePoint now) {
  std::erase_if(others_, [&](const auto& entry) { return now - entry.second.last_heartbeat > kForgetAfter; });
  std::erase_if(wait_measurements_,
                [&](const auto& entry) { return now - entry.second.measured_at > kForgetAfter; });
  const size_t live = LiveCount(now);
  if (live >= fleet_size_ || now - fleet_size_at_ > kFleetSizeHold) {
    fleet_size_ = live;
    fleet_size_at_ = now;
  }
}

bool MemberTable::IsAlive(const Entry& entry, base::TimePoint now) const {
  return now - entry.last_heartbeat <= kSilenceTimeout;
}

const MemberTable::Location* MemberTable::FindLocation(const Member& member) const {
  const auto location = zones_.find(member.zone);
  return location == zones_.end() ? nullptr : &location->second;
}

const std::string& MemberTable::ZoneOf(const Member& member) const {
  const Location* location = FindLocation(member);
  return location == nullptr ? kUnknown : location->zone;
}

const std::string& MemberTable::RegionOf(const Member& member) const {
  const Location* location = FindLocation(member);
  return location == nullptr ? kUnknown : location->region;
}

Distance MemberTable::DistanceOf(const Member& member) const {
  if (ZoneOf(member) == ZoneOf(own_)) return Distance::kOwnZone;
  return RegionOf(member) == RegionOf(own_) ? Distance::kOwnRegion : Distance::kOtherRegion;
}

std::vector<std::string> MemberTable::Regions() const {
  std::vector<std::string> names;
  for (const auto& [key, name] : regions_) names.push_back(name);
  return names;
}

std::vector<std::string> MemberTable::Zones(std::string_view region) const {
  std::vector<std::string> names;
  for (const auto& [key, location] : zones_) {
    if (location.region == region) names.push_back(location.zone);
  }
  return names;
}

std::vector<VmAddress> MemberTable::ReadyVms(std::string_view zone, std::string_view region,
                                             base::TimePoint now) const {
  std::vector<VmAddress> ready;
  const auto add = [&](const Member& member) {
    if (member.state != MemberState::kReady) return;
    if (!zone.empty() && ZoneOf(member) != zone) return;
    if (!region.empty() && RegionOf(member) != region) return;
    ready.push_back(member.address);
  };
  add(own_);
  for (const auto& [address, entry] : others_) {
    if (IsAlive(entry, now)) add(entry.member);
  }
  return ready;
}

std::vector<VmAddress> MemberTable::OwnRegionVms(base::TimePoint now) const {
  std::vector<VmAddress> vms{own_.address};
  const std::string& region = RegionOf(own_);
  for (const auto& [address, entry] : others_) {
    if (!IsAlive(entry, now) || entry.member.state == MemberState::kLeaving) continue;
    if (RegionOf(entry.member) == region) vms.push_back(address);
  }
  return vms;
}

std::vector<VmAddress> MemberTable::OwnRegionSenders(base::TimePoint now) const {
  std::vector<VmAddress> vms = OwnRegionVms(now);
  std::erase_if(vms, [this](VmAddress vm) {
    const auto other = others_.find(vm);
    return other != others_.end() && other->second.member.replica_links == ReplicaLinkState::kLost;
  });
  return vms;
}

uint64_t MemberTable::NewestConfigVersion(base::TimePoint now) const {
  uint64_t newest = 0;
  for (const auto& [address, entry] : others_) {
    if (IsAlive(entry, now)) newest = std::max(newest, entry.member.config_version);
  }
  return newest;
}

std::vector<VmAddress> MemberTable::VmsWithConfig(uint64_t version, base::TimePoint now) const {
  std::vector<std::pair<Distance, VmAddress>> vms;
  for (const auto& [address, entry] : others_) {
    if (!IsAlive(entry, now) || entry.member.config_version < version) continue;
    vms.emplace_back(DistanceOf(entry.member), address);
  }
  std::sort(vms.begin(), vms.end());
  std::vector<VmAddress> addresses;
  for (const auto& [distance, address] : vms) addresses.push_back(address);
  return addresses;
}

size_t MemberTable::OwnRank(uint64_t key, base::TimePoint now) const {
  const std::string_view key_bytes(reinterpret_cast<const char*>(&key), sizeof key);
  const auto weight = [&](VmAddress vm) { return base::RendezvousWeight(key_bytes, std::to_string(vm)); };
  const uint64_t own_weight = weight(own_.address);
  return static_cast<size_t>(std::count_if(others_.begin(), others_.end(), [&](const auto& entry) {
    return IsAlive(entry.second, now) && weight(entry.first) > own_weight;
  }));
}

size_t MemberTable::LiveCount(base::TimePoint now) const {
  return 1 + static_cast<size_t>(std::count_if(others_.begin(), others_.end(), [&](const auto& entry) {
           return IsAlive(entry.second, now);
         }));
}

std::vector<serving::RemoteRegion> MemberTable::RemoteRegions(std::string_view service,
                                                              base::TimePoint now) const {
  std::set<std::string> live;
  for (const auto& [address, entry] : others_) {
    if (ServesHops(entry, now)) live.insert(RegionOf(entry.member));
  }
  std::vector<serving::RemoteRegion> regions;
  const uint32_t service_key = NameKey(service);
  for (const auto& [key, report] : wait_measurements_) {
    if (key.second != service_key || now - report.measured_at > kMaxWaitReportAge) continue;
    const auto region = regions_.find(key.first);
    if (region == regions_.end() || region->second == RegionOf(own_)) continue;
    if (live.contains(region->second)) regions.push_back({region->second, report.wait, kRegionRoundTrip});
  }
  return regions;
}

std::vector<RegionWaitReport> MemberTable::RecentWaitReports(base::TimePoint now) const {
  std::vector<RegionWaitReport> reports;
  for (const auto& [key, report] : wait_measurements_) {
    const base::Duration age = now - report.measured_at;
    if (age <= kMaxWaitReportAge) reports.push_back({key.first, key.second, report.wait, age});
  }
  return reports;
}

bool MemberTable::ServesHops(const Entry& entry, base::TimePoint now) const {
  return IsAlive(entry, now) && entry.member.state == MemberState::kReady &&
         entry.member.replica_links == ReplicaLinkState::kPresent;
}

bool MemberTable::OwnRegionHasLinks(base::TimePoint now) const {
  const std::string& region = RegionOf(own_);
  return std::any_of(others_.begin(), others_.end(), [&](const auto& other) {
    return ServesHops(other.second, now) && RegionOf(other.second.member) == region;
  });
}

std::optional<VmAddress> MemberTable::PickHopTarget(const std::string& region, base::Random& random,
                                                    base::TimePoint now,
                                                    const std::vector<VmAddress>& tried) const {
  std::vector<VmAddress> candidates;
  for (const auto& [address, entry] : others_) {
    if (!ServesHops(entry, now) || RegionOf(entry.member) != region) continue;
    if (now - entry.last_hop_failure < kHopRetryDelay) continue;
    if (std::find(tried.begin(), tried.end(), address) == tried.end()) candidates.push_back(address);
  }
  if (candidates.empty()) return std::nullopt;
  return candidates[random.Below(candidates.size())];
}

}  // namespace cornelplank::fleet
