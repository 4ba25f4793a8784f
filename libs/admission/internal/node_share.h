#pragma once

#include <deque>
#include <span>
#include <string>
#include <utility>

#include "libs/base/base.h"

namespace cornelplank::admission {

/// A VM of the own zone, other than this one, as the VM table and the zone's gossip show it. A VM counts
/// until the VM list drops it, measured_at from or not.
struct ZonePeer {
  std::string vm;
  double demand = 0;            // slots that its clients would use
  base::TimePoint measured_at;  // when the demand was measured, by the own clock
  double fraction = 0;          // that it had in force then; 0 is not known
};

struct NodeShareLimits {
  // A peer not measured_at from for this long is taken as cut off: unchanged entries of the zone's gossip are
  // repeated every 5 s and take about 4 rounds of 1 s to reach all.
  base::Duration stale_after = std::chrono::seconds(10);
  // A rise counts only after this time, and a fall at once, so that a node gives before another takes.
  base::Duration rise_after = std::chrono::seconds(4);
};

/// One node's fraction of its zone's capacity: half is split equally and half by demand, so each of n nodes
/// has at least 1/(2n) and the fractions of equal views add up to 1. A rise must rest on demands that held
/// while every peer was measured_at from. While a peer that still counts is cut off, the fraction is the one
/// that was in force when it was last measured_at from. Not thread-safe.
class NodeShare {
 public:
  explicit NodeShare(const NodeShareLimits& limits = {}) : limits_(limits) {}

  /// Call about once a second. Returns the fraction, in (0, 1].
  double Update(double own_demand, std::span<const ZonePeer> peers, base::TimePoint now);
  /// The last fraction; 0 before the first update.
  double fraction() const { return fraction_; }
  bool frozen() const { return frozen_; }

 private:
  using Sample = std::pair<base::TimePoint, double>;

  double WindowMinimum(double wanted, base::TimePoint start, base::TimePoint now);
  double InForceAt(base::TimePoint time) const;

  NodeShareLimits limits_;
  double fraction_ = 0;
  bool frozen_ = false;
  std::deque<Sample> wanted_;    // since the start of the window, at most about 15
  std::deque<Sample> in_force_;  // fractions while no peer was cut off
};

}  // namespace cornelplank::admission
