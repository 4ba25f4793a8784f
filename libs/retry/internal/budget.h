#pragma once

#include <algorithm>

namespace cornelplank::retry {

/// Limits extra attempts with a token bucket that requests fill instead of time, so that extra attempts stay
/// a fixed part of the load at any request rate. During any R consecutive requests at most `ratio` * R +
/// `burst` extra attempts are granted. Not thread-safe.
class ExtraAttemptBudget {
 public:
  /// `ratio`: extra attempts per request. `burst`: capacity and initial level of the bucket, in attempts.
  ExtraAttemptBudget(double ratio, double burst) : ratio_(ratio), burst_(burst), tokens_(burst) {}

  /// Counts the first attempt of a request, which adds `ratio` to the bucket.
  void OnRequest() { tokens_ = std::min(burst_, tokens_ + ratio_); }
  /// Returns whether at least one extra attempt is left.
  bool CanTake() const { return tokens_ >= 1; }
  /// Takes one extra attempt from the bucket. Returns false when less than one is left.
  bool Take() {
    if (!CanTake()) return false;
    tokens_ -= 1;
    return true;
  }
  /// Puts back an attempt that was taken but not started.
  void GiveBack() { tokens_ = std::min(burst_, tokens_ + 1); }
  /// The present level of the bucket, in attempts.
  double tokens() const { return tokens_; }
  /// Changes the capacity, for example when the number of VMs that share a budget changes.
  void SetBurst(double burst) {
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }

 private:
  double ratio_;
  double burst_;
  double tokens_;
};

/// The budget of retries and resumptions: 10% of the requests.
class RetryBudget : public ExtraAttemptBudget {
 public:
  explicit RetryBudget(double ratio = 0.10, double burst = 10) : ExtraAttemptBudget(ratio, burst) {}
};

/// The budget of hedges: 5% of the requests. A separate bucket, so that hedging can't use up what retries
/// need.
class HedgeBudget : public ExtraAttemptBudget {
 public:
  explicit HedgeBudget(double ratio = 0.05, double burst = 5) : ExtraAttemptBudget(ratio, burst) {}
};

}  // namespace cornelplank::retry
