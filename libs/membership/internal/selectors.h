#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "libs/membership/internal/vm_table.h"

namespace cornelplank::membership {

/// Selects the VMs of a zone that watch the platform. Each node decides by its own view; differing views give
/// a few readers more or fewer, which is harmless.
class ReaderSelector {
 public:
  static constexpr size_t kReadersPerZone = 2;

  /// Ids of the zone's readers, best first. Leaving VMs are chosen only when too few others are left, and
  /// suspected VMs never.
  static std::vector<std::string> Readers(const VmTable& table, std::string_view zone);
  /// Whether the own VM is a reader of its zone.
  static bool IsOwnReader(const VmTable& table);
};

/// Selects the VM that polls a replica, and the one that plans a zone's orders.
class ReplicaPollerSelector {
 public:
  /// Id of the VM of the zone that polls `replica`; empty when the zone has no usable VM.
  static std::string Poller(const VmTable& table, std::string_view zone, std::string_view replica);
  /// Those of `replicas` (of the own zone) that the own VM polls.
  static std::vector<std::string> OwnReplicas(const VmTable& table, const std::vector<std::string>& replicas);
  /// Id of the VM that plans the engine orders of the zone; empty when the zone has no usable VM.
  static std::string Planner(const VmTable& table, std::string_view zone);
};

}  // namespace cornelplank::membership
