#pragma once

#include "libs/base/base.h"
#include "libs/pace/internal/service_pace.h"

namespace cornelplank::pace {

/// How fast one replica works: its lasting speed relative to the mean of its service, and how much slower
/// than usual it is now. Learnt from the VM's own streams and requests and from what the replica states. Not
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

  /// The replica states that work takes `percent` of the usual time on its machine now.
  void OnStatedSlowdown(double percent, base::TimePoint now);
  /// `tokens` tokens of a stream arrived within `time`, up to now.
  void OnTokens(ServicePace* service, uint32_t tokens, base::Duration time, base::TimePoint now);
  /// The first event of a stream arrived `time` after the request was sent, when `tokens` prompt tokens,
  /// those of the request included, had to be processed.
  void OnFirstEvent(ServicePace* service, uint64_t tokens, base::Duration time, base::TimePoint now) const;
  /// A replica without a model engine answered a request within `time`.
  void OnAnswer(ServicePace* service, base::Duration time, base::TimePoint now);

  /// Time that work usually takes at this replica, relative to the mean of the service: 0.6 for a fast one.
  double TimeFactor(base::TimePoint now) const;
  /// Time that work takes now, relative to the usual time: 2.5 for a slow phase.
  double Slowdown(base::TimePoint now) const;
  /// The mean of the expected slowdown over the next `time`, when it is `slowdown` now.
  static double MeanSlowdown(double slowdown, base::Duration time);

 private:
  /// Adds one value of the unit. `up`, `down`: weights for values above and below the known one.
  void ObserveUnit(ServicePace* service, double unit_ms, double up, double down, base::TimePoint now);

  double log_unit_ms_ = 0;
  double factor_ = 1;  // relative to the service at the last observation
  uint32_t observations_ = 0;
  base::TimePoint observed_at_{};
  double slowdown_ = 1;
  base::TimePoint slowdown_at_{};
};

}  // namespace cornelplank::pace
