#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::membership {

enum class VmState : uint8_t { kLive, kLeaving };

/// One entry of the platform's VM list, or what a VM says of itself in a handshake or a heartbeat.
struct VmListEntry {
  std::string id;
  std::string partner;
  std::string region;
  std::string zone;
  std::string rpc;           // IP:PORT of the peers' listener
  std::string http;          // IP:PORT of the clients' listener
  uint64_t incarnation = 0;  // grows with each start of the VM's process; 0 means unknown
  VmState state = VmState::kLive;

  bool operator==(const VmListEntry&) const = default;
};

/// What this node knows of one VM.
struct Vm {
  VmListEntry entry;
  bool listed = false;            // the newest VM list shows this id
  bool suspected = false;         // by this node's own calls only
  bool last_call_missed = false;  // the last own call had no answer
  base::TimePoint last_answer{};  // last answered own call, or when the incarnation became known
  base::TimePoint last_heard{};   // last answer or incoming heartbeat, also by way of peers
  uint64_t revision = 0;          // value of VmTable::revision() at the last change of `entry`
  int misses = 0;                 // consecutive own calls without an answer
  int answers = 0;                // consecutive answered own calls

  bool usable() const { return entry.state == VmState::kLive && !suspected; }
};

/// Joins the lagging VM list, heartbeats and the evidence of requests into one view.
///
/// Rules: a higher incarnation replaces a lower one at once and a lower one is ignored; `leaving` from any
/// source wins for its incarnation; only own calls raise or clear suspicion; a VM is removed when a list
/// produced after its last sign of life doesn't show it and it has been silent for `kRemovalSilence`.
/// Not thread-safe.
class VmTable {
 public:
  /// Time without an answer before a VM can be suspected.
  static constexpr base::Duration kSuspicionDelay = std::chrono::seconds{3};
  /// Silence before a VM that the list dropped is removed.
  static constexpr base::Duration kRemovalSilence = std::chrono::seconds{10};
  /// Equal observations in a row that a change of suspicion needs, so that single losses cause no flapping.
  static constexpr int kSuspicionObservations = 2;
  /// A gap between two calls of `Tick` that shows that this process was paused.
  static constexpr base::Duration kPauseGap = std::chrono::seconds{2};
  /// How long the incarnation of a removed VM is kept, so that a late message can't bring it back.
  static constexpr base::Duration kTombstoneAge = std::chrono::minutes{10};
  /// Entries beyond this number are refused; bounds the memory against a faulty peer or list.
  static constexpr size_t kMaxVms = 4096;

  VmTable(const VmListEntry& own, base::TimePoint now);
  VmTable(const VmTable&) = delete;
  VmTable(VmTable&&) = default;
  VmTable& operator=(VmTable&&) = default;

  /// Applies a whole VM list that the platform produced `age` ago. A list produced before the newest one
  /// seen is ignored.
  void ApplyVmList(const std::vector<VmListEntry>& list, base::Duration age, base::TimePoint now);
  /// An incoming call of the VM itself. It proves one direction only and clears no suspicion.
  void RecordHeartbeat(const VmListEntry& from, base::TimePoint now);
  /// What a peer says of another VM that was last heard `age` ago.
  void LearnFromPeer(const VmListEntry& entry, base::Duration age, base::TimePoint now);
  /// An own call (heartbeat or request) to the VM was answered by that incarnation (0: unknown).
  void RecordAnswer(std::string_view id, uint64_t incarnation, VmState state, base::TimePoint now);
  /// An own call to the VM got no answer within its deadline.
  void RecordMissedCall(std::string_view id, base::TimePoint now);
  /// Removes dropped VMs and discards misses that this process's own pause caused. Call it every second.
  void Tick(base::TimePoint now);
  /// Marks the own VM as leaving.
  void SetOwnLeaving();
  /// Sets the own listeners' addresses, which are known only once they are bound.
  void SetOwnAddresses(std::string rpc, std::string http);
  /// Whether a higher incarnation of the own VM is known: this process has been replaced.
  bool IsOwnVmReplaced() const { return own_replaced_; }

  const Vm& own() const { return vms_.at(own_id_); }
  const Vm* Find(std::string_view id) const;
  const std::map<std::string, Vm, std::less<>>& vms() const { return vms_; }
  /// Every VM of the zone, by id.
  std::vector<const Vm*> VmsInZone(std::string_view zone) const;
  /// Every VM of the own zone, by id. The pointers hold until the next change.
  const std::vector<const Vm*>& OwnZoneVms() const;
  size_t suspected_count() const { return suspected_; }
  /// Rises with each change of an entry, of suspicion or of the set of VMs.
  uint64_t revision() const { return revision_; }

 private:
  struct Tombstone {
    Vm vm;
    base::TimePoint since{};
  };

  base::TimePoint Forward(base::TimePoint now);
  Vm* Merge(const VmListEntry& entry, base::TimePoint now);
  Vm* Update(Vm& vm, const VmListEntry& entry, base::TimePoint now);
  void Replace(Vm& vm, const VmListEntry& entry, base::TimePoint now);
  void SetSuspected(Vm& vm, bool suspected);
  bool Removable(const Vm& vm, base::TimePoint now) const;

  std::string own_id_;
  std::map<std::string, Vm, std::less<>> vms_;
  std::map<std::string, Tombstone, std::less<>> tombstones_;
  base::TimePoint list_produced_at_ = base::TimePoint::min();
  base::TimePoint last_now_;
  base::TimePoint last_tick_;
  uint64_t revision_ = 1;
  bool own_replaced_ = false;
  size_t suspected_ = 0;
  // Built on demand, since the calls of each round walk the own zone while the whole table is much larger.
  mutable std::vector<const Vm*> own_zone_;
  mutable uint64_t own_zone_revision_ = 0;
};

}  // namespace cornelplank::membership
