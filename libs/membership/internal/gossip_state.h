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

/// Rates and thresholds of the gossip. The defaults are worked out in docs/membership.md.
struct GossipSettings {
  base::Duration round_interval = std::chrono::seconds{1};
  /// Peers called each round; one in a zone of more than `small_zone_vms` VMs, which halves the largest part
  /// of the control traffic (the calls themselves) and doubles the time until each pair has met.
  int fanout = 2;
  size_t small_zone_vms = 4;
  base::Duration suspected_call_interval = std::chrono::seconds{4};  // between two calls to a suspected VM
  base::Duration urgent_round_interval =
      std::chrono::seconds{5};  // between two rounds that a missed call makes urgent
  base::Duration refresh_interval = std::chrono::seconds{5};  // of an unchanged load or demand entry
  base::Duration stale_after = std::chrono::seconds{10};      // age at which an entry is asked for
  double load_change_threshold =
      0.1;  // change that counts, as a share of the replica's slots; at least 2 requests
  base::Duration cross_zone_interval =
      std::chrono::seconds{2};  // calls of a zone: `cross_zone_calls` each such time
  int cross_zone_calls = 2;
  /// Without a confirmation by the platform for this long the calls are doubled, since then the confirmed
  /// rule rests on news of every region.
  base::Duration platform_silence_limit = std::chrono::seconds{8};
  base::Duration sum_refresh_interval = std::chrono::seconds{10};  // of an unchanged zone sum within the zone
  size_t max_sums = 12;  // youngest zone sums in one message between zones
};

/// What a node sends to its peers and merges from them. Not thread-safe.
///
/// Within the zone each node pushes only what it measured itself, once to each peer and only when it changed;
/// answers carry the other direction. A node that misses an entry (partial partition) asks any peer for it.
/// So in a healthy zone each change crosses each pair once, without the redundancy of a flooding gossip.
class GossipState {
 public:
  GossipState(GossipSettings settings, NameIndex names, const VmTable& table, uint64_t seed,
              base::TimePoint now);

  // Facts of this node.
  /// Replaces the names after a change of the configuration. Entries keep their names where they still exist.
  void SetNames(NameIndex names, const VmTable& table);
  void SetConfigPosition(ConfigPosition mark, base::TimePoint now);
  /// The platform answered a read or a watch that started at `asked_at`.
  void RecordPlatformHead(uint64_t head_seq, base::TimePoint asked_at, base::TimePoint now);
  void SetOwnLoad(uint16_t index, uint16_t running, uint16_t queued, ReplicaState state, base::TimePoint now);
  void SetOwnDemand(std::vector<ClassDemand> demand, base::TimePoint now);
  /// The next round is due at once and calls every peer of the zone. Use it for a leaving VM; a replica that
  /// starts to leave does it by itself.
  void RequestUrgentRound() { urgent_ = true; }

  // Calls.
  /// Peers of the zone to call now. Call it every 100 to 250 ms.
  std::vector<std::string> TakeDueZoneCalls(const VmTable& table, base::TimePoint now);
  /// A VM of another zone to call now, if any.
  std::optional<std::string> TakeDueCrossZoneCall(const VmTable& table, base::TimePoint now);
  /// The message for a call to `peer` or for the answer to its call (`asked`: its message).
  GossipMessage BuildMessage(const Vm& peer, const VmTable& table, const GossipMessage* asked,
                             base::TimePoint now);
  void MergeCall(const VmListEntry& from, const GossipMessage& message, VmTable& table, base::TimePoint now);
  /// `call_started`: when the own call was sent; ages in the answer count from there.
  void MergeAnswer(const VmListEntry& from, const GossipMessage& message, base::TimePoint call_started,
                   VmTable& table, base::TimePoint now);
  /// The call had no answer: within the zone after 1 s, as calls there take milliseconds; to others after 2
  /// s.
  void RecordFailedCall(const std::string& peer, VmTable& table, base::TimePoint now);

  // View.
  bool IsConfirmed(const VmTable& table, base::TimePoint now) const;
  const Confirmation& confirmation() const { return confirmation_; }
  /// A peer whose configuration is ahead of the own one, to pull entries from.
  struct ConfigSource {
    std::string peer;
    uint64_t seq = 0;
  };
  const std::optional<ConfigSource>& config_source() const { return config_source_; }
  /// Number of messages that showed the own sequence number with a different digest.
  uint64_t digest_conflicts() const { return digest_conflicts_; }
  /// Load of a replica with its current age; nothing when unknown.
  std::optional<ReplicaLoad> FindReplicaLoad(uint16_t index, base::TimePoint now) const;
  std::optional<ZoneLoadSum> FindZoneSum(uint8_t zone, base::TimePoint now) const;
  /// Demand by VM, also the own; only VMs that sent some.
  std::map<std::string, std::vector<ClassDemand>> DemandByVm() const;
  const NameIndex& names() const { return names_; }

 private:
  struct LoadEntry {
    ReplicaLoad load;
    base::TimePoint as_of = base::TimePoint::min();
    bool own = false;       // measured by this node
    ReplicaLoad published;  // what peers were last told
    base::TimePoint published_at = base::TimePoint::min();
    uint32_t version = 0;
  };
  struct SumEntry {
    ZoneLoadSum sum;
    base::TimePoint as_of = base::TimePoint::min();
    ZoneLoadSum told;  // what the peers of the zone know, from this node or from another
    base::TimePoint told_as_of = base::TimePoint::min();
    bool own = false;  // `told` comes from this node's own contact with another zone
    uint32_t version = 0;
  };
  struct Peer {
    uint64_t incarnation = 0;
    uint32_t acked = 0;  // own version that the peer has merged
    uint32_t seen = 0;   // the peer's version that this node has merged
    base::TimePoint last_contact = base::TimePoint::min();
    base::TimePoint last_call = base::TimePoint::min();
    bool calling = false;
    bool probe = false;  // another node missed_vms the VM, so this node is to call it
    std::vector<ClassDemand> demand;
  };
  struct Published {
    uint64_t revision = 0;
    uint32_t version = 0;
  };

  Peer& PeerOf(const VmListEntry& entry);
  /// A suspected VM of another zone to call; one a second at most, as a whole region may be suspected.
  std::optional<std::string> CrossProbeDue(const VmTable& table, base::TimePoint now);
  bool ProbeDue(const Vm& vm, const Peer& peer, base::TimePoint now) const;
  bool Strained(base::TimePoint now) const;
  /// Time since news of the entry's zone or region, or since the last attempt to get some.
  base::Duration SumAge(const VmListEntry& entry, base::TimePoint now) const;
  base::Duration RegionNewsAge(const VmListEntry& entry, base::TimePoint now) const;
  bool IsInOwnZone(const VmListEntry& entry) const { return entry.zone == zone_; }
  void AddZoneParts(GossipMessage& message, const VmListEntry& peer, const Peer& state, const VmTable& table,
                    const GossipMessage* asked, base::TimePoint now);
  void AddVmChanges(GossipMessage& message, const VmListEntry& peer, const Peer& state, const VmTable& table,
                    base::TimePoint now);
  void AddCrossSums(GossipMessage& message, base::TimePoint now) const;
  ZoneLoadSum OwnSum() const;
  static ReplicaLoad Aged(const LoadEntry& entry, base::TimePoint now);
  static ZoneLoadSum Aged(const SumEntry& entry, base::TimePoint now);
  void Merge(const VmListEntry& from, const GossipMessage& message, VmTable& table, base::TimePoint now);
  void MergeFreshness(const VmListEntry& from, const GossipMessage& message, base::TimePoint call_started,
                      base::TimePoint now);
  void MergeLoads(const GossipMessage& message, base::TimePoint now);
  void MergeSums(const VmListEntry& from, const GossipMessage& message, base::TimePoint now);
  void MergeMissedVms(const GossipMessage& message, const VmTable& table, base::TimePoint now);
  bool NamesMatch(const VmListEntry& from, const GossipMessage& message) const;
  size_t RegionIndex(std::string_view region) const;
  size_t ZoneIndex(std::string_view zone) const;
  const std::vector<bool>& RequiredRegions(const VmTable& table) const;
  base::Duration Jitter(base::Duration span);

  GossipSettings settings_;
  NameIndex names_;
  std::string own_id_;
  std::string zone_;
  std::string region_;
  base::Random random_;
  Confirmation confirmation_;
  ConfigPosition config_;
  uint32_t version_ = 0;
  std::vector<LoadEntry> loads_;  // by NameIndex::replicas
  std::vector<SumEntry> sums_;    // by NameIndex::zones
  std::vector<ClassDemand> demand_;
  std::vector<ClassDemand> published_demand_;
  base::TimePoint demand_published_at_ = base::TimePoint::min();
  uint32_t demand_version_ = 0;
  std::map<std::string, Peer, std::less<>> peers_;
  std::map<std::string, Published, std::less<>> published_vms_;
  std::map<std::string, base::TimePoint, std::less<>> tried_at_;  // last call, by zone and by region
  base::TimePoint next_round_;
  base::TimePoint next_cross_;
  base::TimePoint next_probe_;
  base::TimePoint alarm_at_ = base::TimePoint::min();
  bool urgent_ = false;
  std::optional<ConfigSource> config_source_;
  uint64_t digest_conflicts_ = 0;
  mutable std::vector<bool> required_;  // cache of RequiredRegions for one change of the table
  mutable uint64_t required_revision_ = 0;
};

}  // namespace cornelplank::membership
