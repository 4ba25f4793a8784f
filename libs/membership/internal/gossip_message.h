#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/config/config.h"
#include "libs/membership/internal/vm_table.h"

namespace cornelplank::membership {

/// An age in tenths of a second, rounded up; `kNoAge` stands for 25.5 s and more.
using AgeTenths = uint8_t;
inline constexpr AgeTenths kNoAge = 255;
AgeTenths EncodeAge(base::Duration age);
/// The age in units of the clock; Duration::max() for `kNoAge`.
base::Duration DecodeAge(AgeTenths age);

enum class ReplicaState : uint8_t { kReady, kLoading, kLeaving, kUnreachable };

/// Load of one replica of the zone. 8 bytes on the wire.
struct ReplicaLoad {
  uint16_t index = 0;  // position in NameIndex::replicas
  uint16_t running = 0;
  uint16_t queued = 0;
  ReplicaState state = ReplicaState::kReady;
  AgeTenths age = 0;
};

/// Demand of one node for one class (position in NameIndex::classes). 4 bytes on the wire.
struct ClassDemand {
  uint16_t rate = 0;    // requests/s offered
  uint16_t queued = 0;  // requests waiting
  bool operator==(const ClassDemand&) const = default;
};

/// Classes beyond this number are added to the last one in a zone sum.
inline constexpr size_t kSumClasses = 8;

/// Sum over one zone. 24 bytes on the wire.
struct ZoneLoadSum {
  uint8_t zone = 0;  // position in NameIndex::zones
  AgeTenths age = 0;
  uint16_t slots = 0;    // of ready replicas
  uint16_t running = 0;  // requests
  uint16_t seq_lag = 0;  // how far the zone's configuration is behind the sender's, in entries
  std::array<uint16_t, kSumClasses> queued{};
};

/// A VM of the zone whose entry changed.
struct VmChange {
  VmListEntry entry;
  AgeTenths age = kNoAge;  // since some node last heard it
};

/// Progress of a configuration log.
struct ConfigPosition {
  uint64_t seq = 0;
  uint32_t digest = 0;  // first 32 bits of the chained digest
};

/// What a node sends to a peer of its zone or of another zone, both as a call and as the answer.
/// The connection's handshake names the sender and its incarnation, so no message repeats them.
struct GossipMessage {
  ConfigPosition config;
  uint32_t names_hash = 0;       // entries by index count only when this matches
  uint32_t version = 0;          // sender's own version up to which this message is complete
  uint32_t acked_version = 0;    // receiver's version that the sender has merged
  uint16_t entries_to_head = 0;  // head of the log minus config.seq
  AgeTenths head_age = kNoAge;
  bool leaving = false;
  std::vector<AgeTenths> region_ages;     // by NameIndex::regions
  std::vector<ReplicaLoad> loads;         // changed ones that the sender polls, and those asked for
  std::vector<ClassDemand> demand;        // of the sender; empty when unchanged
  std::vector<ZoneLoadSum> sums;          // changed ones
  std::vector<uint16_t> wanted_replicas;  // the sender asks for younger entries of these
  std::vector<uint8_t> wanted_zones;      // likewise for zone sums
  std::vector<uint32_t> missed_vms;       // VmIdHash of VMs of the zone that missed a call of the sender
  std::vector<VmChange> vms;              // changed ones of the zone
};

/// Short name of a VM in `GossipMessage::missed_vms`. A collision costs one needless call.
uint32_t VmIdHash(const std::string& id);

/// Size of the message as a Cap'n Proto struct in unpacked encoding, in bytes: 4 data words, 5 pointers
/// (the four rare lists share one) and word-aligned lists.
size_t EncodedBytes(const GossipMessage& message);

/// Estimated bytes that one call adds to its two messages: Cap'n Proto's Call, Return and Finish (136, 72 and
/// 40 bytes) and TCP/IP headers with timestamps (52 bytes each for two segments of the caller and one of the
/// callee).
inline constexpr size_t kCallerOverheadBytes = 136 + 40 + 2 * 52;
inline constexpr size_t kCalleeOverheadBytes = 72 + 52;

/// Small indices for the names of one configuration. Nodes whose `hash` values are equal use equal indices.
struct NameIndex {
  std::vector<std::string> regions;
  std::vector<std::string> zones;
  std::vector<std::string> replicas;  // engines of the own zone, by id
  std::vector<uint16_t> slots;        // of each replica
  std::vector<std::string> classes;   // "PARTNER/CLASS"
  uint32_t global_hash = 0;           // of regions, zones and classes
  uint32_t zone_hash = 0;             // of all

  static NameIndex FromDocument(const config::Document& document, const std::string& zone);
};

}  // namespace cornelplank::membership
