#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libs/serving/internal/hop_directory.h"
#include "libs/serving/internal/replica_registry.h"

namespace cornelplank::serving {

/// Why this VM may not send a request to a replica now.
enum class SendBlock {
  kNone,
  kLeaving,     // the replica leaves, by its entry in the store or by its own responses
  kEvacuated,   // its zone is evacuated
  kPushedBack,  // it has asked this VM to send nothing for a time
  kCold,        // it is cold, and this VM has no part of what it takes, or not yet again
  kFull,        // it has refused a request as full, and has not stated a free slot since
  kLimited,     // it has stated a limit, and this VM has no part of it, or not yet again
  kNoRoom,      // it can bear few rejections, and this VM has no part of its room, or not yet again
};

/// Whether this VM may send a request to a replica now, and at what price.
struct SendPermission {
  SendBlock block = SendBlock::kNone;
  /// Time until the block ends; none when that is unknown or there is no block.
  std::optional<base::Duration> wait;
  /// Cost beside the expected time, which lets the replica be chosen only when nothing better is left.
  base::Duration penalty{0};

  bool allowed() const { return block == SendBlock::kNone; }
};

/// Decides about each send to a replica by everything that the VM knows about it but its load. One gate
/// serves one decision at one moment.
class SendGate {
 public:
  /// Penalties of replicas that the store no longer lists, and of cold ones.
  static constexpr std::chrono::seconds kUnlistedPenalty{3};
  static constexpr std::chrono::seconds kColdPenalty{1};

  /// `own_id`: this VM among `hops.OwnRegionVms()`. The references must outlive the gate.
  SendGate(const ReplicaRegistry& registry, const HopDirectory& hops, const std::string& own_id,
           base::TimePoint now)
      : registry_(registry), hops_(hops), own_id_(own_id), now_(now) {}

  /// Blocks that hold for all requests. They are checked again when a connection has been established, since
  /// the replica may have stated them meanwhile.
  static SendPermission CheckStanding(const TrackedReplica& replica, const ReplicaRegistry& registry,
                                      base::TimePoint now);
  /// All blocks for a request of `priority`. Updates this VM's part of the replica's limits when that is due.
  /// `may_borrow`: whether the request may take room that is not this VM's own; see RejectionLimit.
  SendPermission Check(TrackedReplica& replica, const ServiceConfig& service, int priority,
                       bool may_borrow = true);

 private:
  /// The block by the replica's limit of rejections.
  SendPermission CheckRoom(TrackedReplica& replica, double per_second, bool may_borrow);
  /// Ids of the region's live VMs; read from the directory once, since that takes time in a large region.
  const std::vector<std::string>& Vms();

  const ReplicaRegistry& registry_;
  const HopDirectory& hops_;
  const std::string& own_id_;
  base::TimePoint now_;
  std::vector<std::string> vms_;
};

}  // namespace cornelplank::serving
