#pragma once

#include <algorithm>
#include <cmath>

#include "libs/base/base.h"

namespace cornelplank::admission {

/// An exponentially weighted mean over time of the number of slots in use, and the number of slots that
/// covers the usual variation around it.
class Occupancy {
 public:
  /// Call it before the number changes, with the number that was in use since the last call.
  void Observe(double value, base::TimePoint now) {
    if (started_ && now > last_) {
      const double dt = std::chrono::duration<double>(now - last_).count();
      // 30 s is about twice the time that a request of 232 tokens holds a slot.
      mean_ += (1 - std::exp(-dt / 30.0)) * (value - mean_);
    }
    started_ = true;
    last_ = std::max(last_, now);
  }

  double mean() const { return mean_; }
  /// The number of slots that suffices 95% of the time, because the latency objective is a 95th percentile.
  /// With independent arrivals the number in use follows a Poisson distribution, of which the mean plus 1.65
  /// standard deviations covers 95%. One more slot serves a load that starts from nothing.
  double CoveringSlots() const { return mean_ + 1.65 * std::sqrt(mean_) + 1; }

 private:
  bool started_ = false;
  base::TimePoint last_{};
  double mean_ = 0;
};

}  // namespace cornelplank::admission
