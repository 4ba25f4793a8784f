#pragma once

#include "libs/base/base.h"

namespace cornelplank::pace {

/// A time that is expected, with the mean deviation of observed times from it.
struct ExpectedTime {
  base::Duration mean{0};
  base::Duration spread{0};

  /// A time that is only rarely undercut; used where a request is refused because of an estimate.
  base::Duration Optimistic() const;
  /// Estimated probability that the time exceeds `limit`.
  double ChanceBeyond(base::Duration limit) const;
};

/// Corrects estimates of one kind by the ratio of observed to estimated times, and measures their spread.
class Calibration {
 public:
  ExpectedTime Apply(base::Duration raw) const;
  /// `estimated`: the mean that `Apply` gave.
  void Observe(base::Duration estimated, base::Duration observed);
  /// The observation ended at `at_least` without the event that was estimated.
  void ObserveCutOff(base::Duration estimated, base::Duration at_least);

 private:
  double log_ratio_ = 0;
  double factor_ = 1;        // exp(log_ratio_)
  double deviation_ = 0.35;  // mean absolute logarithm of the ratio; the start value is a cautious guess
};

/// What all replicas of a service have in common, learnt from the VM's own requests. Not thread-safe; the
/// caller passes in the time.
class ServicePace {
 public:
  /// Mean over the replicas of the time for one unit of work: a token of a stream or, without a model engine,
  /// a whole request.
  double UnitMs() const { return unit_ms_; }
  double LogUnitMs() const { return log_unit_ms_; }
  bool HasUnit() const { return has_unit_; }
  /// Adds a replica's value of the unit to the mean.
  void ObserveUnit(double log_unit_ms);

  /// Sets the mean over the replicas.
  void SetUnit(double log_unit_ms);

  /// Prompt tokens that a replica of mean speed processes in a millisecond, with the tokens of running
  /// streams produced in between.
  double PrefillTokensPerMs() const { return prefill_tokens_per_ms_; }
  /// Adds the speed seen at one first event, at a replica's usual speed.
  void ObservePrefill(double tokens_per_ms);

  Calibration& first_event() { return first_event_; }
  const Calibration& first_event() const { return first_event_; }
  Calibration& longest_pause() { return longest_pause_; }
  const Calibration& longest_pause() const { return longest_pause_; }
  Calibration& end() { return end_; }
  const Calibration& end() const { return end_; }

 private:
  bool has_unit_ = false;
  double log_unit_ms_ = 0;
  double unit_ms_ = 5;  // before the first measurement the middle of the 3 to 6 ms of an engine's step
  double prefill_tokens_per_ms_ = 55;
  Calibration first_event_;
  Calibration longest_pause_;
  Calibration end_;
};

}  // namespace cornelplank::pace
