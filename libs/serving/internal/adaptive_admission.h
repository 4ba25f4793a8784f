#pragma once

#include <chrono>

#include "libs/base/base.h"

namespace cornelplank::serving {

/// Admission control that reacts to missed latency targets, for the requests of one service and priority.
/// When a queue grows, all responses miss their target; refusing a share of the requests lets most of the
/// others meet it. It needs no model of the engines, only whether responses began in time.
class AdaptiveAdmission {
 public:
  /// Whether to admit a request. `draw` is a random number, uniform in [0, 1).
  bool Admits(double draw) const { return draw < admitted_share_; }
  /// Adjusts the share after an admitted request. `in_time`: its response began within its target latency.
  void Observe(bool in_time);
  /// Share of the requests that is admitted now, from `kMinAdmittedShare` (0.2) to 1.
  double admitted_share() const { return admitted_share_; }
  /// Time after which a refused client should retry. It is spread at random, so that refused clients don't
  /// all retry at once. `draw` is uniform in [0, 1).
  static std::chrono::milliseconds RetryAfter(double draw);

 private:
  double admitted_share_ = 1;
};

}  // namespace cornelplank::serving
