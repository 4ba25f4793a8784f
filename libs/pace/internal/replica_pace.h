#pragma once

#include "libs/base/base.h"
#include "libs/pace/internal/service_pace.h"

namespace cornelplank::pace {

/// What a VM has learnt about a replica by its own requests, for the other VMs of the region.
struct PaceReport {
  int16_t log2_unit = 0;     // logarithm of the milliseconds for a unit of work, in steps of 1/64
  uint8_t observations = 0;  // behind `log2_unit`, at most kReportedObservations for each VM; 0: none
  uint16_t percent = 0;      // the slowdown that the replica has stated; 0: none lately
  base::Duration age{0};     // of that statement

  bool empty() const { return observations == 0 && percent == 0; }
  /// Adds the report of another VM about the same replica, made `elapsed` ago.
  void Add(const PaceReport& other, base::Duration elapsed);
};

/// How fast one replica works: its lasting speed relative to the mean of its service, and how much slower
/// than usual it is now. Learnt from the VM's own streams and requests from what the replica states, and
/// from reports of other VMs. Not
/// thread-safe; the caller passes in the time.
class ReplicaPace {
 public:
  /// The slowdown that a replica states is forgotten with this time constant: about how long one lasts.
  static constexpr std::chrono::milliseconds kSlowdownTime{600};
  /// Half of a speed that is no longer observed is forgotten after this time.
  static constexpr std::chrono::seconds kSpeedTime{60};
  /// Bounds of a stated slowdown in percent. Others are faults of their sender.
  static constexpr double kMinPercent = 10;
  static constexpr double kMaxPercent = 2000;

  /// Most observations that one VM's report counts for.
  static constexpr uint8_t kReportedObservations = 8;
  /// A statement that is older than this has been reported before.
  static constexpr std::chrono::milliseconds kNewsTime{250};

  /// The replica states that work takes `percent` of the usual time on its machine now.
  void OnStatedSlowdown(double percent, base::TimePoint now);
  /// `tokens` tokens of a stream arrived within `time`, up to now.
  void OnTokens(ServicePace* service, uint32_t tokens, base::Duration time, base::TimePoint now);
  /// The first event of a stream arrived `time` after the request was sent, when `tokens` prompt tokens,
  /// those of the request included, had to be processed.
  void OnFirstEvent(ServicePace* service, uint64_t tokens, base::Duration time, base::TimePoint now) const;
  /// A replica without a model engine answered a request within `time`.
  void OnAnswer(ServicePace* service, base::Duration time, base::TimePoint now);

  /// What this VM has learnt by itself; without the unit unless `with_unit` is set.
  PaceReport Report(bool with_unit, base::TimePoint now) const;
  /// Merges the report of one or several other VMs that has just arrived.
  void Merge(const PaceReport& report, base::TimePoint now);
  /// Whether the unit of work has been observed here or by others.
  bool Known() const { return observations_ > 0 || shared_weight_ > 0; }
  /// Mean logarithm of the milliseconds for a unit of work, by this VM and others.
  double LogUnitMs() const;
  /// Computes the speed anew after a change of the service's mean or a merge.
  void Refresh(const ServicePace& service);

  /// Time that work usually takes at this replica, relative to the mean of the service: 0.6 for a fast one.
  double TimeFactor(base::TimePoint now) const;
  /// Time that work takes now, relative to the usual time: 2.5 for a slow phase.
  double Slowdown(base::TimePoint now) const;
  /// The mean of the expected slowdown over the next `time`, when it is `slowdown` now.
  static double MeanSlowdown(double slowdown, base::Duration time);

 private:
  /// Adds one value of the unit. `up`, `down`: weights for values above and below the known one.
  void ObserveUnit(ServicePace* service, double unit_ms, double up, double down, base::TimePoint now);

  double log_unit_ms_ = 0;  // by this VM alone
  uint32_t observations_ = 0;
  double shared_log_unit_ms_ = 0;  // by the reports of others
  double shared_weight_ = 0;
  double factor_ = 1;  // relative to the service at the last observation
  base::TimePoint observed_at_{};
  base::TimePoint own_observed_at_{};
  double stated_percent_ = 0;  // to this VM
  base::TimePoint stated_at_{};
  double slowdown_ = 1;
  base::TimePoint slowdown_at_{};
};

}  // namespace cornelplank::pace
