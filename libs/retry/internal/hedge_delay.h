#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "libs/base/base.h"

namespace cornelplank::retry {

/// A running quantile of first-token times, on a logarithmic histogram whose old samples fade. The answer is
/// at most 5% above the true quantile between 1 ms and 130 s. Not thread-safe.
class HedgeDelay {
 public:
  explicit HedgeDelay(double quantile = 0.95);

  void Record(base::Duration first_token);
  /// The time without a first token after which a hedge is due; nothing before 40 samples.
  std::optional<base::Duration> Delay() const { return delay_; }

 private:
  static constexpr size_t kBuckets = 242;  // 1.05^241 ms is 128 s
  static constexpr uint32_t kMinSamples = 40;
  // All counts are halved at this total, so a change of load shows within about as many samples.
  static constexpr uint32_t kFadeAt = 2000;

  void Refresh();

  double quantile_;
  uint32_t total_ = 0;
  std::array<uint32_t, kBuckets> counts_{};
  std::optional<base::Duration> delay_;
};

}  // namespace cornelplank::retry
