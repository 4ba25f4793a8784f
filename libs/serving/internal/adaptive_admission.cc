#include "libs/serving/internal/adaptive_admission.h"

#include <algorithm>

namespace cornelplank::serving {
namespace {

// Steps of the share for each late and each timely answer. Their ratio is the late share at which the gate
// rests (3 in 8): a queue at which no answer is late has capacity to spare.
constexpr double kLateStep = 0.05;
constexpr double kTimelyStep = 0.03;
// Below this share too few answers come to learn from when the load falls.
constexpr double kLeastShare = 0.2;
// Bursts of the deployments last a few seconds; a client waits at most a third of its time.
constexpr std::chrono::milliseconds kShortestReturn{1000};
constexpr std::chrono::milliseconds kLongestReturn{3500};

}  // namespace

void AdaptiveAdmission::Observe(bool in_time) {
  share_ = std::clamp(share_ + (in_time ? kTimelyStep : -kLateStep), kLeastShare, 1.0);
}

std::chrono::milliseconds AdaptiveAdmission::RetryAfter(double draw) {
  const auto span = (kLongestReturn - kShortestReturn) * draw;
  return kShortestReturn + std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

}  // namespace cornelplank::serving
