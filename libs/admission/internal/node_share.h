#pragma once

#include <deque>
#include <span>
#include <string>
#include <utility>

#include "libs/base/base.h"

namespace cornelplank::admission {

/// A VM of the own zone, other than this one, as the VM table and the zone's gossip show it. A VM counts
/// until the VM list drops it, heard from or not.
struct ZonePeer {
  std::string vm;
  double demand = 0;      // requests per second that its clients offer, or slots that they would use
  base::TimePoint heard;  // when the demand was measured, by the own clock
};

struct NodeShareLimits {
  // A peer not heard from for this long is taken as cut off: twice the longest interval between two unchanged
  // entries in the zone's gossip (5 s).
  base::Duration stale_after = std::chrono::seconds(10);
  // A rise counts only after this time, and a fall at once, so that a node gives before another takes. Gossip
  // reaches all VMs of a zone within about 4 rounds of 1 s.
  base::Duration rise_after = std::chrono::seconds(4);
};

/// One node's fraction of its zone's capacity: half is split equally and half by demand, so each of n nodes
/// has at least 1/(2n) and the fractions of equal views add up to 1. While a peer that still counts is not
/// heard from, the fraction does not rise. Not thread-safe.
class NodeShare {
 public:
  explicit NodeShare(const NodeShareLimits& limits = {}) : limits_(limits) {}

  /// Call about once a second. Returns the fraction, in (0, 1].
  double Update(double own_demand, std::span<const ZonePeer> peers, base::TimePoint now);
  /// The last fraction; 0 before the first update.
  double fraction() const { return fraction_; }
  bool frozen() const { return frozen_; }

 private:
  NodeShareLimits limits_;
  double fraction_ = 0;
  bool frozen_ = false;
  std::deque<std::pair<base::TimePoint, double>> wanted_;  // rising minima of the last `rise_after`
};

}  // namespace cornelplank::admission
