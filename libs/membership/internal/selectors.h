#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "libs/membership/internal/vm_table.h"

namespace cornelplank::membership {

/// Selects the readers of a zone: the VMs that watch the platform for the others. Each node decides by its
/// own table of VMs; while the tables differ, a zone has a few readers more or fewer, which is harmless.
class ReaderSelector {
 public:
  static constexpr size_t kReadersPerZone = 2;

  /// Returns the ids of the zone's readers, at most `kReadersPerZone`, the preferred one first. Leaving VMs
  /// are selected only when there are too few live ones, and suspected VMs never. Empty when every VM is
  /// suspected.
  static std::vector<std::string> Readers(const VmTable& table, std::string_view zone);
  /// Whether the own VM is a reader of its zone.
  static bool IsOwnReader(const VmTable& table);
};

/// Selects the VM that polls a replica for its load, and the one that plans a zone's orders to its engines.
class ReplicaPollerSelector {
 public:
  /// Returns the id of the VM of the zone that polls `replica`; empty when every VM of the zone is suspected.
  static std::string Poller(const VmTable& table, std::string_view zone, std::string_view replica);
  /// Returns those of `replicas` (of the own zone) that the own VM polls.
  static std::vector<std::string> OwnReplicas(const VmTable& table, const std::vector<std::string>& replicas);
  /// Returns the id of the VM that plans the engine orders of the zone; empty when every VM is suspected.
  static std::string Planner(const VmTable& table, std::string_view zone);
};

}  // namespace cornelplank::membership
