#pragma once

#include <chrono>

#include "libs/base/base.h"

namespace cornelplank::serving {

/// Share of the requests of one kind that a VM admits while its answers come late. In a queue that grows
/// every answer misses its target; the gate refuses as many as it takes for most of the others to meet it.
/// It needs no model of the engines, only whether answers began in time.
class AdaptiveAdmission {
 public:
  /// `draw` is uniform in [0, 1).
  bool Admits(double draw) const { return draw < share_; }
  /// Takes whether an admitted request's answer began within its target.
  void Observe(bool in_time);
  /// Share that is admitted now, from `kLeastShare` to 1.
  double share() const { return share_; }
  /// Time after which a refused client is asked to return, spread so that clients don't come back together.
  /// `draw` is uniform in [0, 1).
  static std::chrono::milliseconds RetryAfter(double draw);

 private:
  double share_ = 1;
};

}  // namespace cornelplank::serving
