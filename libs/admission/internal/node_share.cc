#include "libs/admission/internal/node_share.h"

#include <algorithm>

namespace cornelplank::admission {

double NodeShare::Update(double own_demand, std::span<const ZonePeer> peers, base::TimePoint now) {
  const auto nodes = static_cast<double>(peers.size() + 1);
  const double least = 1 / (2 * nodes);
  double total = own_demand;
  frozen_ = false;
  for (const ZonePeer& peer : peers) {
    total += peer.demand;
    if (now - peer.heard > limits_.stale_after) frozen_ = true;
  }
  if (frozen_) {
    wanted_.clear();
    // A node that starts during a partition has no fraction to keep.
    if (fraction_ == 0) fraction_ = least;
    return fraction_;
  }
  const double wanted = total > 0 ? least + own_demand / (2 * total) : 1 / nodes;
  while (!wanted_.empty() && wanted_.back().second >= wanted) wanted_.pop_back();
  wanted_.emplace_back(now, wanted);
  // The front is the minimum of the window; an older one is dropped only when the next has been held as long.
  while (wanted_.size() > 1 && now - wanted_[1].first >= limits_.rise_after) wanted_.pop_front();
  const bool held = now - wanted_.front().first >= limits_.rise_after;
  if (fraction_ == 0 || wanted < fraction_ || held) fraction_ = std::min(wanted, wanted_.front().second);
  return fraction_;
}

}  // namespace cornelplank::admission
