#include "libs/admission/internal/node_share.h"

#include <algorithm>

namespace cornelplank::admission {

double NodeShare::Update(double own_demand, std::span<const ZonePeer> peers, base::TimePoint now) {
  const auto nodes = static_cast<double>(peers.size() + 1);
  const double least = 1 / (2 * nodes);
  double total = own_demand;
  double taken = 0;
  base::TimePoint oldest = now;
  for (const ZonePeer& peer : peers) {
    total += peer.demand;
    taken += peer.fraction;
    oldest = std::min(oldest, peer.measured_at);
  }
  const double wanted = total > 0 ? least + own_demand / (2 * total) : 1 / nodes;
  frozen_ = now - oldest > limits_.stale_after;
  // A node that starts has no fraction that the others count on; during a partition it takes the least.
  if (fraction_ == 0) fraction_ = frozen_ ? least : wanted;
  // What the peers say that they use is never taken, whatever the demands are.
  const double free = std::max(least, 1 - taken);
  if (frozen_) {
    wanted_.clear();
    fraction_ = std::max(fraction_, std::min(InForceAt(oldest), free));
    return fraction_;
  }
  const double steady = WindowMinimum(wanted, std::min(oldest, now - limits_.rise_after), now);
  fraction_ = wanted < fraction_ ? wanted : std::max(fraction_, std::min(steady, free));
  in_force_.emplace_back(now, fraction_);
  while (in_force_.size() > 1 && in_force_[1].first <= oldest) in_force_.pop_front();
  return fraction_;
}

// The least of the wanted fractions since `start`; 0 when they are not known from then on.
double NodeShare::WindowMinimum(double wanted, base::TimePoint start, base::TimePoint now) {
  wanted_.emplace_back(now, wanted);
  while (wanted_.size() > 1 && wanted_[1].first <= start) wanted_.pop_front();
  if (wanted_.front().first > start) return 0;
  double least = wanted;
  for (const auto& [time, value] : wanted_) least = std::min(least, value);
  return least;
}

double NodeShare::InForceAt(base::TimePoint time) const {
  double fraction = in_force_.empty() ? fraction_ : in_force_.front().second;
  for (const auto& [since, value] : in_force_) {
    if (since <= time) fraction = value;
  }
  return fraction;
}

}  // namespace cornelplank::admission
