#include "libs/admission/internal/adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace cornelplank::admission {
namespace {

constexpr double kRecentWeight = 0.1;  // averages over about the last 10 requests

}  // namespace

AdaptiveLimit::AdaptiveLimit(const AdaptiveLimitOptions& options)
    : options_(options), limit_(std::clamp(options.initial, options.min, options.max)) {}

bool AdaptiveLimit::TryStart() {
  if (in_flight_ >= limit()) return false;
  ++in_flight_;
  return true;
}

void AdaptiveLimit::Finish(CallResult result, base::Duration latency, base::TimePoint now) {
  const bool in_use = 2 * in_flight_ >= limit();
  if (in_flight_ > 0) --in_flight_;
  if (result == CallResult::kIgnored) return;
  if (result == CallResult::kOverloaded) return Decrease(now);
  Observe(std::max(1e-6, std::chrono::duration<double>(latency).count()), now);
  if (gradient() * options_.tolerance < 1) return Decrease(now);
  // Adds about 1 for each round of `limit_` requests. While less than half of the limit is used, the latency
  // is no evidence that more requests would fit, so the limit stays.
  if (in_use) limit_ = std::min(options_.max, limit_ + 1 / limit_);
}

void AdaptiveLimit::Observe(double seconds, base::TimePoint now) {
  if (recent_s_ == 0) {
    recent_s_ = baseline_s_ = seconds;
  } else {
    recent_s_ += kRecentWeight * (seconds - recent_s_);
    const double dt = std::max(0.0, std::chrono::duration<double>(now - last_sample_).count());
    const double memory = std::chrono::duration<double>(options_.baseline_memory).count();
    if (recent_s_ <= baseline_s_) {
      baseline_s_ = recent_s_;
    } else {
      baseline_s_ += (1 - std::exp(-dt / memory)) * (recent_s_ - baseline_s_);
    }
  }
  last_sample_ = std::max(last_sample_, now);
}

// Decreases at most once per round trip, because the requests in flight were started under the limit before
// the last decrease.
void AdaptiveLimit::Decrease(base::TimePoint now) {
  if (now < no_decrease_until_) return;
  limit_ = std::max(options_.min, limit_ * options_.decrease);
  const std::chrono::duration<double> round_trip(std::max(recent_s_, 0.01));
  no_decrease_until_ = now + std::chrono::duration_cast<base::Duration>(round_trip);
}

}  // namespace cornelplank::admission
