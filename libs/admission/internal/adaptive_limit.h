#pragma once

#include <cstddef>

#include "libs/base/base.h"

namespace cornelplank::admission {

struct AdaptiveLimitOptions {
  double initial = 8;
  double min = 1;
  double max = 1024;
  double tolerance = 1.5;  // latency above this multiple of the baseline counts as queueing
  double decrease = 0.9;
  // The baseline follows a lower latency at once and a higher one within about this time, so that a change of
  // the workload is not taken for queueing for ever.
  base::Duration baseline_memory = std::chrono::minutes(2);
};

enum class CallResult {
  kOk,
  kOverloaded,  // refused for load, or timed out
  kIgnored,     // says nothing about load (cancelled, refused for another reason)
};

/// The number of requests that one upstream takes at once: additive increase while the latency stays near its
/// baseline and the limit is in use, multiplicative decrease when it rises. Feed it the time to the first
/// token, or the response time of a plain service. Not thread-safe.
class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(const AdaptiveLimitOptions& options = {});

  /// Counts a request when there is room; false when the limit is reached.
  bool TryStart();
  /// Ends a started request. `latency` is used only for kOk.
  void Finish(CallResult result, base::Duration latency, base::TimePoint now);

  size_t limit() const { return static_cast<size_t>(limit_); }
  size_t in_flight() const { return in_flight_; }
  /// Baseline latency divided by the recent one; 1 and above means no queueing.
  double gradient() const { return recent_s_ > 0 ? baseline_s_ / recent_s_ : 1; }

 private:
  void Observe(double seconds, base::TimePoint now);
  void Decrease(base::TimePoint now);

  AdaptiveLimitOptions options_;
  double limit_;
  size_t in_flight_ = 0;
  double baseline_s_ = 0;
  double recent_s_ = 0;
  base::TimePoint last_sample_{};
  base::TimePoint no_decrease_until_{};
};

}  // namespace cornelplank::admission
