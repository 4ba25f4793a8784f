#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::serving {

/// Limits what all entry VMs of a region together send to a cold replica, without any of them seeing the
/// others' sends: a few VMs, chosen by rendezvous hashing over the live ones, send at fixed intervals, and
/// the others send nothing. Views of the live VMs that differ for a moment add a few senders, so the plan
/// keeps to the replica's own rate and leaves the slack on top of it unused.
class ColdStartLimiter {
 public:
  /// The least time between two sends of one VM to a cold replica. Above a second, so that any window of one
  /// second holds at most one of them.
  static constexpr std::chrono::milliseconds kLeastInterval{1100};

  /// How often this VM may send to `replica`; zero when it may not. `vms`: ids of the region's live VMs, this
  /// one included. `per_second`: requests that a cold replica bears.
  static base::Duration Interval(std::string_view replica, std::string_view own_id,
                                 const std::vector<std::string>& vms, double per_second);
};

}  // namespace cornelplank::serving
