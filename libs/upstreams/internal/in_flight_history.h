#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "libs/base/base.h"

namespace cornelplank::upstreams {

/// The node's own in-flight requests at one replica, sampled over the last seconds. A load report that
/// arrives late includes only the own requests that were in flight when it was measured. Without the history
/// the current count would be subtracted from the report, and the replica would look less loaded than it is.
class InFlightHistory {
 public:
  /// Number of samples kept. `UpstreamTable::Tick` adds one about each second.
  static constexpr size_t kSamples = 16;

  /// Adds a sample; `now` must not be earlier than in the previous call.
  void Add(uint32_t in_flight, base::TimePoint now) { samples_[next_++ % kSamples] = Sample{now, in_flight}; }

  /// Returns the count at `time`, interpolated between samples; `current` is the count at `now`. For a time
  /// before the oldest sample returns the oldest count, or `current` when there are no samples.
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
