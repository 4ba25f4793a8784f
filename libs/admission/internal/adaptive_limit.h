#pragma once

#include <cstddef>

#include "libs/base/base.h"

namespace cornelplank::admission {

struct AdaptiveLimitOptions {
  double initial = 8;  // requests in flight, as are `min` and `max`
  double min = 1;
  double max = 1024;
  double tolerance = 1.5;  // recent latency above this multiple of the baseline counts as queueing
  double decrease = 0.9;   // factor on the limit at each decrease
  // The baseline follows a lower latency at once and a higher one within about this time, so that a
  // lasting change of the workload does not count as queueing for ever.
  base::Duration baseline_memory = std::chrono::minutes(2);
};

/// What the end of a request tells about the load of its upstream.
enum class CallResult {
  kOk,
  kOverloaded,  // refused for load, or timed out
  kIgnored,     // no evidence of load: cancelled, or refused for another reason
};

/// Adapts the number of concurrent requests to one upstream: additive increase while the latency stays near
/// its baseline and the limit is in use, multiplicative decrease when the latency rises. The latency is the
/// time to the first token, or the response time of a plain service. Not thread-safe.
class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(const AdaptiveLimitOptions& options = {});

  /// Counts a request as in flight. Returns false, and counts nothing, when the limit is reached.
  bool TryStart();
  /// Ends a started request and adapts the limit. `latency` is read only for kOk.
  void Finish(CallResult result, base::Duration latency, base::TimePoint now);

  size_t limit() const { return static_cast<size_t>(limit_); }
  size_t in_flight() const { return in_flight_; }
  /// Baseline latency divided by the recent one: 1 or more means no queueing. 1 before the first latency.
  double gradient() const { return recent_s_ > 0 ? baseline_s_ / recent_s_ : 1; }

 private:
  void Observe(double seconds, base::TimePoint now);
  void Decrease(base::TimePoint now);

  AdaptiveLimitOptions options_;
  double limit_;
  size_t in_flight_ = 0;
  double baseline_s_ = 0;  // seconds, as is `recent_s_`; both are 0 before the first latency
  double recent_s_ = 0;
  base::TimePoint last_sample_{};
  base::TimePoint no_decrease_until_{};
};

}  // namespace cornelplank::admission
