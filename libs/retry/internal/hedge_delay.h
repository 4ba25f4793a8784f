#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "libs/base/base.h"

namespace cornelplank::retry {

/// Estimates a quantile of the recent times to the first token with a logarithmic histogram whose old samples
/// decay. Between 1 ms and 130 s the estimate is at most 5% above the true quantile. Not thread-safe.
class HedgeDelay {
 public:
  explicit HedgeDelay(double quantile = 0.95);

  /// Adds one measured time to the first token.
  void Record(base::Duration first_token);
  /// Returns how long to wait for the first token before a hedge is sent; nothing before 40 samples.
  std::optional<base::Duration> Delay() const { return delay_; }

 private:
  static constexpr size_t kBuckets = 242;  // 1.05^241 ms is 128 s
  static constexpr uint32_t kMinSamples = 40;
  // At this total all counts are halved, so the estimate follows a change of load within about as many
  // samples.
  static constexpr uint32_t kDecayAt = 2000;

  void UpdateDelay();

  double quantile_;
  uint32_t total_ = 0;
  std::array<uint32_t, kBuckets> counts_{};
  std::optional<base::Duration> delay_;
};

}  // namespace cornelplank::retry
