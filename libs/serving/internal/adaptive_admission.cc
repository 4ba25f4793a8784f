#include "libs/serving/internal/adaptive_admission.h"

#include <algorithm>

namespace cornelplank::serving {
namespace {

// Change of the admitted share for each late response and for each one in time. Their ratio sets the share of
// late responses at which the admitted share is stable (3 in 8). That is not zero, since a service without
// late responses has capacity to spare.
constexpr double kLateStep = 0.05;
constexpr double kInTimeStep = 0.03;
// With a smaller share, too few responses would arrive to detect that the load has fallen.
constexpr double kMinAdmittedShare = 0.2;
// Bounds of the time after which refused clients retry. Bursts last a few seconds in the deployments, and the
// wait takes at most a third of a client's time.
constexpr std::chrono::milliseconds kMinRetryAfter{1000};
constexpr std::chrono::milliseconds kMaxRetryAfter{3500};

}  // namespace

void AdaptiveAdmission::Observe(bool in_time) {
  admitted_share_ =
      std::clamp(admitted_share_ + (in_time ? kInTimeStep : -kLateStep), kMinAdmittedShare, 1.0);
}

std::chrono::milliseconds AdaptiveAdmission::RetryAfter(double draw) {
  const auto span = (kMaxRetryAfter - kMinRetryAfter) * draw;
  return kMinRetryAfter + std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

}  // namespace cornelplank::serving
