#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::serving {

/// Limits the rate at which all entry VMs of a region together send requests to a cold replica, without
/// communication between them: a few VMs, chosen by rendezvous hashing over the live ones, send at fixed
/// intervals, and the others send nothing. For a moment, VMs may see different sets of live VMs, which adds a
/// few senders. So the intervals add up to no more than the replica's own rate, and the excess that it
/// tolerates is left for those senders.
class ColdStartLimiter {
 public:
  /// Shortest time between two requests of one VM to a cold replica. It exceeds a second, so that a VM sends
  /// at most one request in any window of one second.
  static constexpr std::chrono::milliseconds kMinInterval{1100};

  /// Time that VM `own_id` must leave between two requests to `replica`; zero when it must send none. `vms`:
  /// ids of the region's live VMs, this one included. `per_second`: rate of requests that the replica can
  /// take while it is cold.
  static base::Duration SendInterval(std::string_view replica, std::string_view own_id,
                                     const std::vector<std::string>& vms, double per_second);
};

}  // namespace cornelplank::serving
