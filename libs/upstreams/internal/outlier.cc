#include "libs/upstreams/internal/outlier.h"

#include <algorithm>

namespace cornelplank::upstreams {
namespace {

// Among 20 results with a peer success rate near 1, a rate 0.3 lower is over 6 standard deviations away.
constexpr double kMinResultsToCompare = 20;
constexpr double kRateMargin = 0.3;

}  // namespace

void OutlierState::AddSuccess() {
  consecutive_failures_ = 0;
  window_.successes += 1;
}

void OutlierState::AddFailure() {
  ++consecutive_failures_;
  window_.failures += 1;
}

base::TimePoint OutlierState::ExtendBackOff(base::TimePoint now) {
  if (readmitted_ && now - readmitted_at_ > kMaxBackOff) back_off_ = base::Duration{0};
  readmitted_ = false;
  back_off_ = back_off_.count() == 0 ? base::Duration{kFirstBackOff}
                                     : std::min<base::Duration>(back_off_ * 2, kMaxBackOff);
  return now + back_off_;
}

void OutlierState::MarkReadmitted(base::TimePoint now) {
  consecutive_failures_ = 0;
  window_ = ResultWindow{};
  readmitted_ = true;
  readmitted_at_ = now;
}

bool IsFarBelowPeers(const ResultWindow& own, const ResultWindow& peers) {
  if (own.Total() < kMinResultsToCompare || peers.Total() < kMinResultsToCompare) return false;
  return own.successes / own.Total() + kRateMargin <= peers.successes / peers.Total();
}

}  // namespace cornelplank::upstreams
