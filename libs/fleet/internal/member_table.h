#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/serving/serving.h"

namespace cornelplank::fleet {

/// IPv4 address of a VM in host byte order. Ports are equal on all VMs, so it names the VM.
using VmAddress = uint32_t;

enum class MemberState : uint8_t {
  kStarting,  // not ready to take requests
  kReady,
  kLeaving,  // finishes what it has and exits
};

/// What a VM says of itself, as passed on by others.
struct Member {
  VmAddress address = 0;
  uint64_t incarnation = 0;      // grows with each start of the process
  uint32_t heartbeat_count = 0;  // grows while the process runs
  uint32_t zone = 0;             // ZoneKey of its zone
  MemberState state = MemberState::kStarting;
};

/// Short name of a zone, region or service in messages.
uint32_t NameKey(std::string_view name);

/// Wait at the best replica of a service in a region, measured `age` ago by a VM there.
struct RegionWaitReport {
  uint32_t region = 0;   // NameKey
  uint32_t service = 0;  // NameKey
  base::Duration wait{0};
  base::Duration age{0};
};

/// The VMs of the system as this one sees them. A VM is alive while its beat grows, by whatever way the beats
/// arrive; there is no list of VMs to compare with, so silent ones are forgotten after `kForgotten`.
/// Not thread-safe; the clock is passed in.
class MemberTable {
 public:
  /// Silence after which a VM is not named to clients nor hopped to. Several rounds of beats, so that single
  /// lost datagrams don't matter, and well below `contact_ms` + 3 s.
  static constexpr std::chrono::milliseconds kSilence{3000};
  /// Kept after its last beat, so that a VM behind a cut is still tried when the cut ends.
  static constexpr std::chrono::seconds kForgotten{120};
  /// How long a VM that refused a hop is passed over.
  static constexpr std::chrono::milliseconds kHopPause{1000};
  /// Region waits older than this are not used.
  static constexpr std::chrono::milliseconds kOfferAge{4000};

  MemberTable(const Member& own, const std::map<std::string, std::string>& zone_regions);

  Member& own() { return own_; }
  const Member& own() const { return own_; }
  void SetZones(const std::map<std::string, std::string>& zone_regions);

  /// News of a VM, from itself or from others.
  void MergeMember(const Member& member, base::TimePoint now);
  /// Takes what a VM says of itself. A VM that had fallen silent may come back with an earlier incarnation,
  /// as wall clocks are set back at times.
  void MergeSender(const Member& sender, base::TimePoint now);
  /// A datagram of the VM itself arrived, which proves the path from it.
  void RecordDatagram(VmAddress vm, base::TimePoint now);
  void ReportHopFailure(VmAddress vm, base::TimePoint now);
  void MergeWaitReport(const RegionWaitReport& offer, base::TimePoint now);
  void Tick(base::TimePoint now);

  struct Entry {
    Member member;
    base::TimePoint last_heartbeat{};  // when the beat last grew
    base::TimePoint last_datagram{};   // last own datagram
    base::TimePoint hop_failed{};
  };
  const std::map<VmAddress, Entry>& others() const { return others_; }
  bool IsAlive(const Entry& entry, base::TimePoint now) const;
  const std::string& ZoneOf(const Member& member) const;
  const std::string& RegionOf(const Member& member) const;
  std::vector<std::string> Regions() const;

  /// Live ready VMs of a zone or a region, this one included if it is ready. Empty names match all.
  std::vector<VmAddress> ReadyVms(std::string_view zone, std::string_view region, base::TimePoint now) const;
  /// Live VMs of the own region in any state but leaving, this one included.
  std::vector<VmAddress> OwnRegionVms(base::TimePoint now) const;
  /// Number of VMs known now, and the greatest such number of the last minute or so.
  size_t LiveCount(base::TimePoint now) const;
  size_t FleetSize() const { return fleet_size_; }
  std::vector<serving::RemoteRegion> RemoteRegions(std::string_view service, base::TimePoint now) const;
  std::vector<RegionWaitReport> RecentWaitReports(base::TimePoint now) const;
  std::optional<VmAddress> PickHopTarget(const std::string& region, base::Random& random,
                                         base::TimePoint now) const;

 private:
  struct Offer {
    base::Duration wait{0};
    base::TimePoint measured{};
  };
  struct Place {
    std::string zone;
    std::string region;
  };

  const Place* PlaceOf(const Member& member) const;

  Member own_;
  std::map<uint32_t, Place> zones_;          // by NameKey of the zone
  std::map<uint32_t, std::string> regions_;  // by NameKey
  std::map<VmAddress, Entry> others_;
  std::map<std::pair<uint32_t, uint32_t>, Offer> offers_;  // by region and service
  size_t fleet_size_ = 1;
  base::TimePoint fleet_size_at_{};
};

}  // namespace cornelplank::fleet
