#include "libs/retry/internal/hedge_delay.h"

#include <algorithm>
#include <cmath>

namespace cornelplank::retry {
namespace {

constexpr double kBucketRatio = 1.05;  // of the upper bounds of adjacent buckets

size_t BucketOf(base::Duration time, size_t buckets) {
  const double ms = std::chrono::duration<double, std::milli>(time).count();
  if (ms <= 1) return 0;
  const double bucket = std::ceil(std::log(ms) / std::log(kBucketRatio));
  return std::min(static_cast<size_t>(bucket), buckets - 1);
}

}  // namespace

HedgeDelay::HedgeDelay(double quantile) : quantile_(quantile) {}

void HedgeDelay::Record(base::Duration first_token) {
  ++counts_[BucketOf(first_token, kBuckets)];
  if (++total_ >= kDecayAt) {
    total_ = 0;
    for (uint32_t& count : counts_) total_ += (count /= 2);
  }
  if (total_ >= kMinSamples) UpdateDelay();
}

void HedgeDelay::UpdateDelay() {
  const auto rank = static_cast<uint32_t>(std::ceil(quantile_ * total_));
  uint32_t sum = 0;
  size_t bucket = 0;
  while (bucket + 1 < kBuckets && (sum += counts_[bucket]) < rank) ++bucket;
  const std::chrono::duration<double, std::milli> upper_bound(
      std::pow(kBucketRatio, static_cast<double>(bucket)));
  delay_ = std::chrono::duration_cast<base::Duration>(upper_bound);
}

}  // namespace cornelplank::retry
