#include "libs/admission/internal/node_share.h"

#include <algorithm>

namespace cornelplank::admission {

double NodeShare::Update(double own_demand, std::span<const ZonePeer> peers, base::TimePoint now) {
  const auto nodes = static_cast<double>(peers.size() + 1);
  const double min_fraction = 1 / (2 * nodes);
  double total = own_demand;
  double peer_total = 0;
  base::TimePoint oldest_report = now;
  for (const ZonePeer& peer : peers) {
    total += peer.demand;
    peer_total += peer.fraction;
    oldest_report = std::min(oldest_report, peer.measured_at);
  }
  const double target = total > 0 ? min_fraction + own_demand / (2 * total) : 1 / nodes;
  frozen_ = now - oldest_report > limits_.stale_after;
  // The other nodes leave no fraction for a node that has just started, so during a partition it takes the
  // minimum.
  if (fraction_ == 0) fraction_ = frozen_ ? min_fraction : target;
  // Never takes what the peers report as their own fractions, whatever the demands are.
  const double available = std::max(min_fraction, 1 - peer_total);
  if (frozen_) {
    targets_.clear();
    fraction_ = std::max(fraction_, std::min(FractionAt(oldest_report), available));
    return fraction_;
  }
  const double lasting_target =
      MinTargetSince(target, std::min(oldest_report, now - limits_.rise_after), now);
  fraction_ = target < fraction_ ? target : std::max(fraction_, std::min(lasting_target, available));
  past_fractions_.emplace_back(now, fraction_);
  while (past_fractions_.size() > 1 && past_fractions_[1].first <= oldest_report) past_fractions_.pop_front();
  return fraction_;
}

// The lowest target since `start`, or 0 when the targets do not reach back that far.
double NodeShare::MinTargetSince(double target, base::TimePoint start, base::TimePoint now) {
  targets_.emplace_back(now, target);
  while (targets_.size() > 1 && targets_[1].first <= start) targets_.pop_front();
  if (targets_.front().first > start) return 0;
  double lowest = target;
  for (const auto& [time, value] : targets_) lowest = std::min(lowest, value);
  return lowest;
}

// The fraction in force at `time`, or the earliest one that is known.
double NodeShare::FractionAt(base::TimePoint time) const {
  double fraction = past_fractions_.empty() ? fraction_ : past_fractions_.front().second;
  for (const auto& [since, value] : past_fractions_) {
    if (since <= time) fraction = value;
  }
  return fraction;
}

}  // namespace cornelplank::admission
