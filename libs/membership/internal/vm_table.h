#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::membership {

enum class VmState : uint8_t { kLive, kLeaving };

/// Describes a VM: an entry of the platform's VM list, or what a VM states about itself in a handshake or a
/// heartbeat.
struct VmListEntry {
  std::string id;
  std::string partner;
  std::string region;
  std::string zone;
  std::string rpc;           // IP:PORT of the listener for peers
  std::string http;          // IP:PORT of the listener for clients
  uint64_t incarnation = 0;  // rises with each start of the VM's process; 0 means unknown
  VmState state = VmState::kLive;

  bool operator==(const VmListEntry&) const = default;
};

/// What this node knows about one VM.
struct Vm {
  VmListEntry entry;
  bool listed = false;            // the newest VM list contains this id
  bool suspected = false;         // thought unreachable, as judged by this node's own calls only
  bool last_call_missed = false;  // this node's last call had no answer
  base::TimePoint last_answer{};  // last answer to this node's calls, or when the incarnation became known
  base::TimePoint last_heard{};   // last message of the VM that this node or a peer received
  uint64_t revision = 0;          // value of VmTable::revision() at the last change of `entry`
  int misses = 0;   // consecutive calls of this node without an answer, up to kSuspicionObservations
  int answers = 0;  // consecutive answered calls of this node, up to kSuspicionObservations

  /// Whether the VM may get new work.
  bool usable() const { return entry.state == VmState::kLive && !suspected; }
};

/// The VMs that this node knows, merged from the platform's VM list (which lags), from heartbeats and from
/// the outcome of calls. Not thread-safe.
///
/// Rules:
/// - A higher incarnation replaces a lower one at once, and information about a lower one is ignored.
/// - A VM that any source reports as leaving stays so until a higher incarnation appears.
/// - Only this node's own calls raise or clear a suspicion.
/// - A VM is removed when a list that was produced after its last message doesn't contain it and it has been
///   silent for `kRemovalSilence`.
class VmTable {
 public:
  /// Minimum time without an answer before a VM is suspected.
  static constexpr base::Duration kSuspicionDelay = std::chrono::seconds{3};
  /// Time without a message after which a VM that the list no longer contains is removed.
  static constexpr base::Duration kRemovalSilence = std::chrono::seconds{10};
  /// Consecutive missed calls that raise a suspicion, and answers that clear it. More than one, so that a
  /// single loss causes no flapping.
  static constexpr int kSuspicionObservations = 2;
  /// A longer time between two calls of `Tick` means that this process was paused.
  static constexpr base::Duration kPauseGap = std::chrono::seconds{2};
  /// How long the last state of a removed VM is kept, so that a late message of an older incarnation can't
  /// add it again.
  static constexpr base::Duration kTombstoneAge = std::chrono::minutes{10};
  /// Maximum number of VMs. Further ones are ignored, so that a faulty peer or list can't exhaust the memory.
  static constexpr size_t kMaxVms = 4096;

  VmTable(const VmListEntry& own, base::TimePoint now);
  VmTable(const VmTable&) = delete;
  VmTable(VmTable&&) = default;
  VmTable& operator=(VmTable&&) = default;

  /// Applies a VM list that the platform produced `age` ago. A list older than the newest applied one is
  /// ignored. `unreadable`: ids of VMs that it lists too, with a record that can't be used; they stay as they
  /// are. Unless the list is `complete`, no VM counts as removed because it is missing.
  void ApplyVmList(const std::vector<VmListEntry>& list, base::Duration age, base::TimePoint now,
                   const std::set<std::string>& unreadable = {}, bool complete = true);
  /// Records an incoming call of the VM. It proves one direction only, so it clears no suspicion.
  void RecordHeartbeat(const VmListEntry& from, base::TimePoint now);
  /// Merges a peer's entry of another VM, from which some node received a message `age` ago. An entry with an
  /// age of `kRemovalSilence` or more adds no VM.
  void LearnFromPeer(const VmListEntry& entry, base::Duration age, base::TimePoint now);
  /// Records that the incarnation (0 if unknown) answered a call of this node, a heartbeat or a request.
  void RecordAnswer(std::string_view id, uint64_t incarnation, VmState state, base::TimePoint now);
  /// Records that a call of this node to the VM got no answer within its deadline.
  void RecordMissedCall(std::string_view id, base::TimePoint now);
  /// Removes VMs as the rules say, and discards the misses that a pause of this process caused. To be called
  /// at least every second.
  void Tick(base::TimePoint now);
  /// Marks the own VM as leaving.
  void SetOwnLeaving();
  /// Sets the own listeners' addresses, which are known only once they are bound.
  void SetOwnAddresses(std::string rpc, std::string http);
  /// Whether a higher incarnation of the own VM is known, so that another process has replaced this one.
  bool IsOwnVmReplaced() const { return own_replaced_; }

  const Vm& own() const { return vms_.at(own_id_); }
  /// Returns null when the VM is unknown. The pointer is valid until the VM is removed.
  const Vm* Find(std::string_view id) const;
  const std::map<std::string, Vm, std::less<>>& vms() const { return vms_; }
  /// Returns every VM of the zone, ordered by id.
  std::vector<const Vm*> VmsInZone(std::string_view zone) const;
  /// Returns every VM of the own zone, ordered by id. The pointers are valid until the next change.
  const std::vector<const Vm*>& OwnZoneVms() const;
  /// Number of suspected VMs.
  size_t suspected_count() const { return suspected_; }
  /// Rises with each change of an entry, a suspicion or the set of VMs.
  uint64_t revision() const { return revision_; }

 private:
  /// The last state of a removed VM.
  struct Tombstone {
    Vm vm;
    base::TimePoint removed_at{};
  };

  /// Returns the latest time passed so far, so that time never runs backwards in the table.
  base::TimePoint AdvanceTime(base::TimePoint now);
  /// Adds the VM or updates it. Returns null when the entry is ignored.
  Vm* Merge(const VmListEntry& entry, base::TimePoint now);
  /// Updates a known VM. Returns null when the entry is of a lower incarnation.
  Vm* Update(Vm& vm, const VmListEntry& entry, base::TimePoint now);
  /// Takes over a new VM or a new incarnation, without suspicion.
  void Replace(Vm& vm, const VmListEntry& entry, base::TimePoint now);
  void SetSuspected(Vm& vm, bool suspected);
  bool IsRemovable(const Vm& vm, base::TimePoint now) const;

  std::string own_id_;
  std::map<std::string, Vm, std::less<>> vms_;
  std::map<std::string, Tombstone, std::less<>> tombstones_;
  base::TimePoint list_produced_at_ = base::TimePoint::min();
  base::TimePoint last_now_;
  base::TimePoint last_tick_;
  uint64_t revision_ = 1;
  bool own_replaced_ = false;
  size_t suspected_ = 0;
  // Cached result of OwnZoneVms: each gossip round walks the own zone, and the whole table is much larger.
  mutable std::vector<const Vm*> own_zone_;
  mutable uint64_t own_zone_revision_ = 0;
};

}  // namespace cornelplank::membership
