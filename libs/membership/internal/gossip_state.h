#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/membership/internal/confirmation.h"
#include "libs/membership/internal/gossip_message.h"
#include "libs/membership/internal/vm_table.h"

namespace cornelplank::membership {

/// Rates and thresholds of the gossip. docs/membership.md derives the defaults.
struct GossipSettings {
  /// Time between two rounds of calls within the zone.
  base::Duration round_interval = std::chrono::seconds{1};
  /// Peers called in each round. In a zone of more than `small_zone_vms` usable VMs it is one, which halves
  /// the largest part of the control traffic (the calls themselves) and doubles the time until each pair of
  /// VMs has exchanged messages.
  int fanout = 2;
  size_t small_zone_vms = 4;
  /// Time between two calls to a suspected VM.
  base::Duration suspected_call_interval = std::chrono::seconds{4};
  /// Minimum time between two urgent rounds that missed calls cause.
  base::Duration urgent_round_interval = std::chrono::seconds{5};
  /// Time after which an unchanged load or demand entry is sent again.
  base::Duration refresh_interval = std::chrono::seconds{5};
  /// Age at which a node asks its peers for a newer load entry; for a zone sum it is twice that.
  base::Duration stale_after = std::chrono::seconds{10};
  /// Change of a replica's requests that is sent at once, as a share of its slots; at least 2 requests.
  double load_change_threshold = 0.1;
  /// The nodes of a zone together make about `cross_zone_calls` calls to other zones in each
  /// `cross_zone_interval`; a single node makes at most one on average.
  base::Duration cross_zone_interval = std::chrono::seconds{2};
  int cross_zone_calls = 2;
  /// Time without a confirmation by the platform after which `fanout` holds in zones of any size and the
  /// calls to other zones are doubled, because the configuration then stays confirmed only by contact with
  /// every region.
  base::Duration platform_silence_limit = std::chrono::seconds{8};
  /// Time after which an unchanged zone sum is passed on again within the zone.
  base::Duration sum_refresh_interval = std::chrono::seconds{10};
  /// Maximum number of other zones' sums in a message to another zone; the youngest ones are sent.
  size_t max_sums = 12;
};

/// Decides whom a node calls, builds its gossip messages and merges those of its peers. Not thread-safe.
///
/// Within the zone each node sends only what it measured itself, to each peer once and only when it has
/// changed; answers carry the entries of the called node. A node that lacks an entry (during a partial
/// partition) asks any peer for it. So in a healthy zone each change crosses each pair of nodes once, without
/// the redundancy of flooding.
class GossipState {
 public:
  GossipState(GossipSettings settings, NameIndex names, const VmTable& table, uint64_t seed,
              base::TimePoint now);

  // State of this node.
  /// Replaces the names after a change of the configuration. Entries whose names still exist are kept.
  void SetNames(NameIndex names, const VmTable& table);
  /// Sets the point of the configuration log that this node has reached; a lower one than before is ignored.
  void SetConfigPosition(ConfigPosition position, base::TimePoint now);
  /// Records the head that the platform gave in answer to a read or a watch that was sent at `asked_at`.
  void RecordPlatformHead(uint64_t head_seq, base::TimePoint asked_at, base::TimePoint now);
  /// Sets the load of a replica that this node polls. An index out of range is ignored.
  void SetOwnLoad(uint16_t index, uint16_t running, uint16_t queued, ReplicaState state, base::TimePoint now);
  /// Sets the demand of this node, by NameIndex::classes.
  void SetOwnDemand(std::vector<ClassDemand> demand, base::TimePoint now);
  /// Makes the next `TakeDueZoneCalls` return every idle peer of the zone. To be called when the own VM
  /// starts to leave; for a replica that starts to leave `SetOwnLoad` does it.
  void RequestUrgentRound() { urgent_ = true; }

  // Calls. A peer that a Take method returns counts as being called until `MergeAnswer` or
  // `RecordFailedCall`.
  /// Returns the peers of the zone to call now; to be called every 100 to 250 ms.
  std::vector<std::string> TakeDueZoneCalls(const VmTable& table, base::TimePoint now);
  /// Returns a VM of another zone to call now, if one is due.
  std::optional<std::string> TakeDueCrossZoneCall(const VmTable& table, base::TimePoint now);
  /// Builds the message for a call to `peer`, or for the answer to its call `request` (null for a call).
  GossipMessage BuildMessage(const Vm& peer, const VmTable& table, const GossipMessage* request,
                             base::TimePoint now);
  /// Merges the message of an incoming call.
  void MergeCall(const VmListEntry& from, const GossipMessage& message, VmTable& table, base::TimePoint now);
  /// Merges the answer to a call that was sent at `call_started`. The ages in the answer count from there.
  void MergeAnswer(const VmListEntry& from, const GossipMessage& message, base::TimePoint call_started,
                   VmTable& table, base::TimePoint now);
  /// Records that a call had no answer in time. The deadline is 1 s within the zone, where calls take
  /// milliseconds, and 2 s for other zones.
  void RecordFailedCall(const std::string& peer, VmTable& table, base::TimePoint now);

  // What this node knows.
  /// Whether the configuration is confirmed; see `Confirmation`.
  bool IsConfirmed(const VmTable& table, base::TimePoint now) const;
  const Confirmation& confirmation() const { return confirmation_; }
  /// A peer that has processed more of the configuration log than this node, to pull entries from.
  struct ConfigSource {
    std::string peer;  // VM id
    uint64_t seq = 0;  // last entry that the peer has processed
  };
  /// The peer that is furthest ahead; empty when none is known to be ahead.
  const std::optional<ConfigSource>& config_source() const { return config_source_; }
  /// Number of messages that showed a different digest for the own sequence number.
  uint64_t digest_conflicts() const { return digest_conflicts_; }
  /// Returns the load of a replica with its current age; nothing when it is unknown.
  std::optional<ReplicaLoad> FindReplicaLoad(uint16_t index, base::TimePoint now) const;
  /// Returns the load of a zone with its current age; nothing when it is unknown.
  std::optional<ZoneLoadSum> FindZoneSum(uint8_t zone, base::TimePoint now) const;
  /// Returns the demand by VM id, with the own one; VMs that sent none are left out.
  std::map<std::string, std::vector<ClassDemand>> DemandByVm() const;
  const NameIndex& names() const { return names_; }

 private:
  struct LoadEntry {
    ReplicaLoad load;
    base::TimePoint as_of = base::TimePoint::min();  // when it was measured; min() means never
    bool own = false;                                // measured by this node
    ReplicaLoad published;                           // what this node last sent to the peers
    base::TimePoint published_at = base::TimePoint::min();
    uint32_t version = 0;  // `version_` at the last publication
  };
  struct SumEntry {
    ZoneLoadSum sum;
    base::TimePoint as_of = base::TimePoint::min();  // when it was measured; min() means never
    ZoneLoadSum shared;  // what the peers of the zone know, from this node or from another one
    base::TimePoint shared_as_of = base::TimePoint::min();
    bool own = false;      // `shared` was received by this node from another zone
    uint32_t version = 0;  // `version_` when `shared` was last received
  };
  struct Peer {
    uint64_t incarnation = 0;
    uint32_t acked_version = 0;   // version of this node's entries that the peer has merged
    uint32_t merged_version = 0;  // version of the peer's entries that this node has merged
    base::TimePoint last_contact = base::TimePoint::min();
    base::TimePoint last_call = base::TimePoint::min();
    bool call_in_progress = false;
    bool probe_requested = false;  // another node got no answer from the VM, so this node calls it as well
    std::vector<ClassDemand> demand;
  };
  struct PublishedVm {
    uint64_t revision = 0;  // Vm::revision of the published entry
    uint32_t version = 0;   // `version_` at its publication
  };

  /// Returns the state of the peer; it starts anew when the incarnation has changed.
  Peer& PeerOf(const VmListEntry& entry);
  /// Returns a suspected VM of another zone to call, if one is due. It is at most one in each
  /// `round_interval`, because a whole region may be suspected.
  std::optional<std::string> TakeDueCrossZoneProbe(const VmTable& table, base::TimePoint now);
  /// Whether the VM should be called on top of the regular calls, to raise or clear a suspicion.
  bool IsProbeDue(const Vm& vm, const Peer& peer, base::TimePoint now) const;
  bool IsPlatformSilent(base::TimePoint now) const;
  /// Time since the newest sum of the entry's zone, or since the last call to the zone if that is shorter.
  base::Duration TimeSinceZoneSum(const VmListEntry& entry, base::TimePoint now) const;
  /// Likewise for the newest information from the entry's region.
  base::Duration TimeSinceRegionContact(const VmListEntry& entry, base::TimePoint now) const;
  bool IsInOwnZone(const VmListEntry& entry) const { return entry.zone == zone_; }
  void AddOwnZoneEntries(GossipMessage& message, const VmListEntry& peer, const Peer& state,
                         const VmTable& table, const GossipMessage* request, base::TimePoint now);
  void AddVmChanges(GossipMessage& message, const VmListEntry& peer, const Peer& state, const VmTable& table,
                    base::TimePoint now);
  void AddZoneSums(GossipMessage& message, base::TimePoint now) const;
  ZoneLoadSum OwnSum() const;
  static ReplicaLoad WithAge(const LoadEntry& entry, base::TimePoint now);
  static ZoneLoadSum WithAge(const SumEntry& entry, base::TimePoint now);
  void Merge(const VmListEntry& from, const GossipMessage& message, VmTable& table, base::TimePoint now);
  void MergeConfirmationEvidence(const VmListEntry& from, const GossipMessage& message,
                                 base::TimePoint call_started, base::TimePoint now);
  void MergeLoads(const GossipMessage& message, base::TimePoint now);
  void MergeSums(const VmListEntry& from, const GossipMessage& message, base::TimePoint now);
  void MergeMissedVms(const GossipMessage& message, const VmTable& table, base::TimePoint now);
  /// Whether the sender's indices mean the same names as the own ones.
  bool NamesMatch(const VmListEntry& from, const GossipMessage& message) const;
  size_t RegionIndex(std::string_view region) const;
  size_t ZoneIndex(std::string_view zone) const;
  /// Returns for each region, by NameIndex::regions, whether it has VMs.
  const std::vector<bool>& RequiredRegions(const VmTable& table) const;
  /// Returns a random time in [0, span).
  base::Duration Jitter(base::Duration span);

  GossipSettings settings_;
  NameIndex names_;
  std::string own_id_;
  std::string zone_;
  std::string region_;
  base::Random random_;
  Confirmation confirmation_;
  ConfigPosition config_;
  uint32_t version_ = 0;          // rises with each own entry that is published
  std::vector<LoadEntry> loads_;  // by NameIndex::replicas
  std::vector<SumEntry> sums_;    // by NameIndex::zones
  std::vector<ClassDemand> demand_;
  std::vector<ClassDemand> published_demand_;
  base::TimePoint demand_published_at_ = base::TimePoint::min();
  uint32_t demand_version_ = 0;
  std::map<std::string, Peer, std::less<>> peers_;
  std::map<std::string, PublishedVm, std::less<>> published_vms_;
  std::map<std::string, base::TimePoint, std::less<>> last_attempt_at_;  // last call, by zone and by region
  base::TimePoint next_round_;
  base::TimePoint next_cross_zone_call_;
  base::TimePoint next_cross_zone_probe_;
  base::TimePoint last_urgent_round_at_ = base::TimePoint::min();  // last one that a missed call caused
  bool urgent_ = false;
  std::optional<ConfigSource> config_source_;
  uint64_t digest_conflicts_ = 0;
  mutable std::vector<bool> required_regions_;  // cached result of RequiredRegions
  mutable uint64_t required_revision_ = 0;      // VmTable::revision() of the cached result; 0 means none
};

}  // namespace cornelplank::membership
