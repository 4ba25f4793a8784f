#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "libs/base/base.h"

namespace cornelplank::upstreams {

/// Own in-flight counts of one replica over the last seconds. A late report was measured among older own
/// requests than the ones of now; without the history, own requests that began since would be taken for a
/// part of the report, and the replica would look idle.
class InFlightHistory {
 public:
  static constexpr size_t kSamples = 16;

  /// Adds a sample; `now` must not go back.
  void Add(uint32_t in_flight, base::TimePoint now) { samples_[next_++ % kSamples] = Sample{now, in_flight}; }

  /// The count at `time`, interpolated between samples. `current` is the count now. Before the oldest sample
  /// it is the oldest count.
  uint32_t At(base::TimePoint time, uint32_t current, base::TimePoint now) const {
    Sample later{now, current};
    const size_t known = std::min(next_, kSamples);
    for (size_t back = 1; back <= known; ++back) {
      const Sample& earlier = samples_[(next_ - back) % kSamples];
      if (earlier.time <= time) return Interpolate(earlier, later, time);
      later = earlier;
    }
    return later.in_flight;
  }

 private:
  struct Sample {
    base::TimePoint time{};
    uint32_t in_flight = 0;
  };

  static uint32_t Interpolate(const Sample& earlier, const Sample& later, base::TimePoint time) {
    const auto span = static_cast<double>((later.time - earlier.time).count());
    const double share = span > 0 ? static_cast<double>((time - earlier.time).count()) / span : 1.0;
    const double from = earlier.in_flight;
    const double change = static_cast<double>(later.in_flight) - from;
    return static_cast<uint32_t>(std::lround(from + change * std::min(share, 1.0)));
  }

  std::array<Sample, kSamples> samples_{};
  size_t next_ = 0;
};

}  // namespace cornelplank::upstreams
