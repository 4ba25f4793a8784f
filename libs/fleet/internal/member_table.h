#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/serving/serving.h"

namespace cornelplank::fleet {

/// IPv4 address of a VM in host byte order. All VMs use the same ports, so the address identifies the VM.
using VmAddress = uint32_t;

enum class MemberState : uint8_t {
  kStarting,  // not ready to take requests
  kReady,
  kLeaving,  // finishes the requests in progress and exits
};

/// Where a VM reads what the platform's store publishes.
enum class StoreContact : uint8_t {
  kFollowing,  // from the mirror of another VM, or nothing yet
  kInContact,  // from the store, which answered a short time ago
  kFailing,    // from the store, which does not answer
};

/// Whether a VM reaches replicas. VMs of earlier releases state nothing, which is read as kPresent.
enum class ReplicaLinkState : uint8_t { kPresent, kLost };

/// Where a VM is, as seen from this one; nearer first.
enum class Distance : uint8_t { kOwnZone, kOwnRegion, kOtherRegion };

/// What a VM states about itself in its heartbeats. Other VMs pass it on unchanged.
struct Member {
  VmAddress address = 0;
  uint64_t incarnation = 0;      // grows with each start of the process
  uint32_t heartbeat_count = 0;  // grows with each heartbeat that the process makes
  uint32_t zone = 0;             // NameKey of its zone
  MemberState state = MemberState::kStarting;
  uint64_t config_version = 0;  // of its configuration in force; 0 before the first one
  StoreContact store_contact = StoreContact::kFollowing;
  ReplicaLinkState replica_links = ReplicaLinkState::kPresent;
};

/// Hash that stands for the name of a zone, region or service in heartbeats.
uint32_t NameKey(std::string_view name);

/// The wait of a request at one of the less loaded replicas of a service in a region. A VM of the region
/// estimated it `age` ago.
struct RegionWaitReport {
  uint32_t region = 0;   // NameKey of its name
  uint32_t service = 0;  // NameKey of its name
  base::Duration wait{0};
  base::Duration age{0};
};

/// The entry VMs of the system as this VM knows them from heartbeats. A VM is alive while its heartbeat count
/// grows, whether the heartbeats arrive from it or through others. No list of all VMs exists to compare with,
/// so VMs that stay silent are erased after `kForgetAfter`. Not thread-safe; the caller passes in the time.
class MemberTable {
 public:
  /// Time without a heartbeat after which a VM counts as dead: it is not named to clients, and no requests
  /// are forwarded to it. Several heartbeat intervals, so that the loss of single datagrams doesn't matter,
  /// and well below `contact_ms` + 3 s.
  static constexpr std::chrono::milliseconds kSilenceTimeout{3000};
  /// Time without a heartbeat after which a VM is erased. Until then heartbeats are still sent to it, so that
  /// it is found again when a network partition ends.
  static constexpr std::chrono::seconds kForgetAfter{120};
  /// Time for which no requests are forwarded to a VM after a connection to it failed.
  static constexpr std::chrono::milliseconds kHopRetryDelay{1000};
  /// Wait reports older than this are neither used nor passed on.
  static constexpr std::chrono::milliseconds kMaxWaitReportAge{4000};

  /// `own`: this VM. `zone_regions`: the region of each zone, by name.
  MemberTable(const Member& own, const std::map<std::string, std::string>& zone_regions);

  Member& own() { return own_; }
  const Member& own() const { return own_; }
  /// Adds zones and changes the regions of known ones. Zones that are left out stay.
  void SetZones(const std::map<std::string, std::string>& zone_regions);

  /// Merges a statement that may have come through other VMs. Ignored unless it has a higher incarnation, or
  /// a higher heartbeat count in the same incarnation, than the known one. A statement about this VM with a
  /// higher incarnation raises its own.
  void MergeMember(const Member& member, base::TimePoint now);
  /// Merges a statement that came from the VM itself. The statement of a VM that was silent is taken even
  /// with a lower incarnation: incarnations come from wall clocks, which are sometimes set back.
  void MergeSender(const Member& sender, base::TimePoint now);
  /// Records that another VM has heard this heartbeat of a known VM. Ignored unless the count is higher than
  /// the known one: a lower one is of another incarnation or older.
  void RefreshHeartbeat(VmAddress vm, uint32_t heartbeat_count, base::TimePoint now);
  /// Records that a datagram arrived from the VM itself, which shows that the path from it works.
  void RecordDatagram(VmAddress vm, base::TimePoint now);
  /// Excludes the VM from forwarding for `kHopRetryDelay`.
  void ReportHopFailure(VmAddress vm, base::TimePoint now);
  /// Merges a wait report unless a younger one is known.
  void MergeWaitReport(const RegionWaitReport& report, base::TimePoint now);
  /// Erases what has not been updated for `kForgetAfter` and updates `FleetSize`. Call it about twice a
  /// second.
  void Tick(base::TimePoint now);

  struct Entry {
    Member member;
    uint32_t relayed_count = 0;        // greatest heartbeat count that others have stated alone
    base::TimePoint last_heartbeat{};  // when the heartbeat count last grew
    base::TimePoint last_datagram{};   // from the VM itself
    base::TimePoint last_hop_failure{};
  };
  /// All known VMs but this one, also the silent ones.
  const std::map<VmAddress, Entry>& others() const { return others_; }
  bool IsAlive(const Entry& entry, base::TimePoint now) const;
  /// Name of the zone or region; empty when the settings don't list the zone.
  const std::string& ZoneOf(const Member& member) const;
  const std::string& RegionOf(const Member& member) const;
  Distance DistanceOf(const Member& member) const;
  /// Names of all regions in the settings.
  std::vector<std::string> Regions() const;
  /// Names of the zones of a region in the settings.
  std::vector<std::string> Zones(std::string_view region) const;

  /// The live VMs in state ready of a zone and region, including this one. An empty name matches all.
  std::vector<VmAddress> ReadyVms(std::string_view zone, std::string_view region, base::TimePoint now) const;
  /// Live VMs of the own region in any state but leaving. This VM comes first, whatever its state.
  std::vector<VmAddress> OwnRegionVms(base::TimePoint now) const;
  /// Of these, the VMs that can send requests to replicas, and this one: those that divide among themselves
  /// what a replica takes.
  std::vector<VmAddress> OwnRegionSenders(base::TimePoint now) const;
  /// The greatest version of a configuration that another live VM has in force; 0 when none has any.
  uint64_t NewestConfigVersion(base::TimePoint now) const;
  /// The live VMs that have a configuration of at least `version` in force, those of the own zone first, then
  /// those of the own region.
  std::vector<VmAddress> VmsWithConfig(uint64_t version, base::TimePoint now) const;
  /// Number of live VMs that come before this one in an order that depends on `key`.
  size_t OwnRank(uint64_t key, base::TimePoint now) const;
  /// Number of live VMs, including this one.
  size_t LiveCount(base::TimePoint now) const;
  /// The greatest number of live VMs in about the last minute.
  size_t FleetSize() const { return fleet_size_; }
  /// The other regions that have a live ready VM and a recent wait report for the service.
  std::vector<serving::RemoteRegion> RemoteRegions(std::string_view service, base::TimePoint now) const;
  /// The wait reports to pass on to other VMs.
  std::vector<RegionWaitReport> RecentWaitReports(base::TimePoint now) const;
  /// Whether another live ready VM of the own region has links to replicas.
  bool OwnRegionHasLinks(base::TimePoint now) const;
  /// Picks a random live ready VM of a region with links to replicas, none of `tried`, to forward a request
  /// to. Returns no value when there is none, or connections to all of them failed recently.
  std::optional<VmAddress> PickHopTarget(const std::string& region, base::Random& random, base::TimePoint now,
                                         const std::vector<VmAddress>& tried = {}) const;

 private:
  /// Whether requests can be forwarded to the VM.
  bool ServesHops(const Entry& entry, base::TimePoint now) const;

  struct WaitMeasurement {
    base::Duration wait{0};
    base::TimePoint measured_at{};
  };
  /// Names of a zone and of its region.
  struct Location {
    std::string zone;
    std::string region;
  };

  /// Returns null when the settings don't list the member's zone.
  const Location* FindLocation(const Member& member) const;

  Member own_;
  std::map<uint32_t, Location> zones_;       // by NameKey of the zone
  std::map<uint32_t, std::string> regions_;  // by NameKey
  std::map<VmAddress, Entry> others_;
  std::map<std::pair<uint32_t, uint32_t>, WaitMeasurement>
      wait_measurements_;  // by NameKeys of region and service
  size_t fleet_size_ = 1;
  base::TimePoint fleet_size_at_{};  // when fleet_size_ was last reached or set
};

}  // namespace cornelplank::fleet
