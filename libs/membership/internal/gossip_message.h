#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/config/config.h"
#include "libs/membership/internal/vm_table.h"

namespace cornelplank::membership {

/// An age in tenths of a second, rounded up, so that no fact looks younger than it is.
using AgeTenths = uint8_t;
/// Stands for an unknown age and for 25.5 s and more.
inline constexpr AgeTenths kNoAge = 255;
AgeTenths EncodeAge(base::Duration age);
/// Returns the age as a duration; Duration::max() for `kNoAge`.
base::Duration DecodeAge(AgeTenths age);

enum class ReplicaState : uint8_t { kReady, kLoading, kLeaving, kUnreachable };

/// The load of one replica of the zone. It takes 8 bytes on the wire.
struct ReplicaLoad {
  uint16_t index = 0;    // position in NameIndex::replicas
  uint16_t running = 0;  // requests in progress
  uint16_t queued = 0;   // requests waiting
  ReplicaState state = ReplicaState::kReady;
  AgeTenths age = 0;  // since the replica was polled
};

/// The demand that one node receives for one priority class; its place in a list is the position in
/// NameIndex::classes. It takes 4 bytes on the wire.
struct ClassDemand {
  uint16_t rate = 0;    // requests/s offered
  uint16_t queued = 0;  // requests waiting
  bool operator==(const ClassDemand&) const = default;
};

/// Number of classes in a `ZoneLoadSum`. Further classes are added to the last one.
inline constexpr size_t kSumClasses = 8;

/// The load of one zone, summed over its replicas and nodes. It takes 24 bytes on the wire.
struct ZoneLoadSum {
  uint8_t zone = 0;  // position in NameIndex::zones
  AgeTenths age = 0;
  uint16_t slots = 0;    // concurrent requests that the ready replicas can run
  uint16_t running = 0;  // requests in progress on the ready replicas
  uint16_t seq_lag = 0;  // entries by which the zone is behind the sender's configuration; never set
  std::array<uint16_t, kSumClasses> queued{};  // requests waiting, by class
};

/// A VM of the zone whose entry changed.
struct VmChange {
  VmListEntry entry;
  AgeTenths age = kNoAge;  // since any node last received a message of the VM
};

/// The point of the configuration log up to which a node has processed it.
struct ConfigPosition {
  uint64_t seq = 0;     // sequence number of the last processed entry
  uint32_t digest = 0;  // first 32 bits of the chained digest of the log up to `seq`
};

/// What a node sends to a peer, both as a call and as the answer. The lists of replicas, demand and VMs go
/// only to peers of the own zone. The connection's handshake names the sender and its incarnation, so the
/// message doesn't repeat them.
struct GossipMessage {
  ConfigPosition config;
  uint32_t names_hash = 0;     // of the sender's NameIndex; the receiver ignores lists by index if it differs
  uint32_t version = 0;        // of the sender's entries; the message is complete up to it
  uint32_t acked_version = 0;  // version of the receiver's entries that the sender has merged
  uint16_t entries_to_head = 0;        // head of the log minus config.seq
  AgeTenths head_age = kNoAge;         // since the platform last reported that head
  bool leaving = false;                // whether the sender is leaving
  std::vector<AgeTenths> region_ages;  // of the sender's newest information, by NameIndex::regions
  std::vector<ReplicaLoad> loads;   // changed ones that the sender polls, and those that the receiver wanted
  std::vector<ClassDemand> demand;  // of the sender, by NameIndex::classes; empty when unchanged
  std::vector<ZoneLoadSum> sums;    // within the zone changed and wanted ones; else the sender's newest ones
  std::vector<uint16_t> wanted_replicas;  // replicas of which the sender has no fresh load and wants one
  std::vector<uint8_t> wanted_zones;      // zones of which the sender has no fresh sum and wants one
  std::vector<uint32_t> missed_vms;  // VmIdHash of VMs of the zone that didn't answer the sender's last call
  std::vector<VmChange> vms;         // VMs of the zone whose entries changed
};

/// Identifies a VM in `GossipMessage::missed_vms`. A collision costs one needless call.
uint32_t VmIdHash(const std::string& id);

/// Returns the size of the message as a Cap'n Proto struct in unpacked encoding, in bytes: 4 data words,
/// 5 pointers (the four rarely filled lists share one) and word-aligned lists.
size_t EncodedBytes(const GossipMessage& message);

/// Estimated bytes that one call adds to its two messages: Cap'n Proto's Call, Return and Finish (136, 72 and
/// 40 bytes) and TCP/IP headers with timestamps (52 bytes for each segment; two segments of the caller and
/// one of the callee).
inline constexpr size_t kCallerOverheadBytes = 136 + 40 + 2 * 52;
inline constexpr size_t kCalleeOverheadBytes = 72 + 52;

/// Maps the names in one version of the configuration to small indices, which gossip sends in their place.
/// Nodes with equal hashes use equal indices.
struct NameIndex {
  std::vector<std::string> regions;
  std::vector<std::string> zones;
  std::vector<std::string> replicas;  // engines of the own zone, by id
  std::vector<uint16_t> slots;        // concurrent requests that each replica can run
  std::vector<std::string> classes;   // "PARTNER/CLASS"
  uint32_t global_hash = 0;           // of regions, zones and classes; compared between zones
  uint32_t zone_hash = 0;             // of all names; compared within the zone

  static NameIndex FromDocument(const config::Document& document, const std::string& zone);
};

}  // namespace cornelplank::membership
