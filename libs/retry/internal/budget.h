#pragma once

#include <algorithm>

namespace cornelplank::retry {

/// A token bucket that is filled by requests and not by time, so that extra attempts stay a fixed part of the
/// load at any rate. Over any run of R requests at most `ratio` * R + `burst` extra attempts are granted. Not
/// thread-safe.
class ExtraAttemptBudget {
 public:
  /// `ratio`: tokens per request. `burst`: greatest and first filling, in attempts.
  ExtraAttemptBudget(double ratio, double burst) : ratio_(ratio), burst_(burst), tokens_(burst) {}

  /// Counts one first attempt.
  void OnRequest() { tokens_ = std::min(burst_, tokens_ + ratio_); }
  bool CanTake() const { return tokens_ >= 1; }
  /// Takes one extra attempt; false when the budget is used up.
  bool Take() {
    if (!CanTake()) return false;
    tokens_ -= 1;
    return true;
  }
  /// Returns an attempt that was taken and not started.
  void GiveBack() { tokens_ = std::min(burst_, tokens_ + 1); }
  double tokens() const { return tokens_; }
  /// Changes the greatest filling, for example when the number of VMs that share a budget changes.
  void SetBurst(double burst) {
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }

 private:
  double ratio_;
  double burst_;
  double tokens_;
};

/// Retries and resumptions: 10% of the requests.
class RetryBudget : public ExtraAttemptBudget {
 public:
  explicit RetryBudget(double ratio = 0.10, double burst = 10) : ExtraAttemptBudget(ratio, burst) {}
};

/// Hedges: 5% of the requests. A separate bucket, so that hedging can't use up what retries need.
class HedgeBudget : public ExtraAttemptBudget {
 public:
  explicit HedgeBudget(double ratio = 0.05, double burst = 5) : ExtraAttemptBudget(ratio, burst) {}
};

}  // namespace cornelplank::retry
