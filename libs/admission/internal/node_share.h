#pragma once

#include <deque>
#include <span>
#include <string>
#include <utility>

#include "libs/base/base.h"

namespace cornelplank::admission {

/// Another VM of this VM's zone, as the VM table and the zone's gossip show it. A VM counts until the VM list
/// drops it, whether or not it still reports.
struct ZonePeer {
  std::string vm;
  double demand = 0;            // slots that its clients' requests would use
  base::TimePoint measured_at;  // when the demand was measured, by this VM's clock
  double fraction = 0;          // the peer's own fraction at that time; 0 when unknown
};

struct NodeShareLimits {
  // A peer whose last report is older than this counts as cut off. Unchanged gossip entries are
  // repeated every 5 s and take about 4 rounds of 1 s to reach every VM of the zone.
  base::Duration stale_after = std::chrono::seconds(10);
  // A fraction falls at once but rises only after this time, so that a node gives capacity up before another
  // node uses it.
  base::Duration rise_after = std::chrono::seconds(4);
};

/// Computes one node's fraction of its zone's capacity. Half of the capacity is split equally and half by
/// demand, so each of n nodes has at least 1/(2n), and the fractions of nodes with equal views add up to 1. A
/// fraction rises only for demands that lasted while every peer reported. While a peer that still counts is
/// cut off, the fraction is frozen at the one that was in force at that peer's last report. Not thread-safe.
class NodeShare {
 public:
  explicit NodeShare(const NodeShareLimits& limits = {}) : limits_(limits) {}

  /// Updates and returns the fraction, in (0, 1]. Call it about once a second. `own_demand` is in slots.
  double Update(double own_demand, std::span<const ZonePeer> peers, base::TimePoint now);
  /// The last fraction; 0 before the first update.
  double fraction() const { return fraction_; }
  /// True while a peer counts as cut off.
  bool frozen() const { return frozen_; }

 private:
  using Sample = std::pair<base::TimePoint, double>;

  double MinTargetSince(double target, base::TimePoint start, base::TimePoint now);
  double FractionAt(base::TimePoint time) const;

  NodeShareLimits limits_;
  double fraction_ = 0;
  bool frozen_ = false;
  // Fractions that the demands called for since the start of the window; at most about 15 samples.
  std::deque<Sample> targets_;
  std::deque<Sample> past_fractions_;  // results of the updates at which no peer was cut off
};

}  // namespace cornelplank::admission
