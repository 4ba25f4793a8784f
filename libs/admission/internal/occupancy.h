#pragma once

#include <algorithm>
#include <cmath>

#include "libs/base/base.h"

namespace cornelplank::admission {

/// Time-weighted running mean of a number of slots in use, and how many slots cover its usual variation.
class Occupancy {
 public:
  /// Call before the value changes, with the value that held since the last call.
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
  /// The number in use varies like a Poisson variable when arrivals are independent: 1.65 standard deviations
  /// cover 95% of the time, as the target is a 95th percentile. One more slot serves a load that starts from
  /// nothing.
  double Cover() const { return mean_ + 1.65 * std::sqrt(mean_) + 1; }

 private:
  bool started_ = false;
  base::TimePoint last_{};
  double mean_ = 0;
};

}  // namespace cornelplank::admission
