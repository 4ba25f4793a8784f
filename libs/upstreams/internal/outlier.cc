#include "libs/upstreams/internal/outlier.h"

#include <algorithm>

namespace cornelplank::upstreams {
namespace {

// With 20 results and a peer rate near 1, a rate 0.3 lower is over 6 standard deviations away.
constexpr double kMinResults = 20;
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

base::TimePoint OutlierState::NextRetry(base::TimePoint now) {
  if (returned_ && now - returned_at_ > kLastRetry) back_off_ = base::Duration{0};
  returned_ = false;
  back_off_ = back_off_.count() == 0 ? base::Duration{kFirstRetry}
                                     : std::min<base::Duration>(back_off_ * 2, kLastRetry);
  return now + back_off_;
}

void OutlierState::Returned(base::TimePoint now) {
  consecutive_failures_ = 0;
  window_ = ResultWindow{};
  returned_ = true;
  returned_at_ = now;
}

bool FarBelowPeers(const ResultWindow& own, const ResultWindow& peers) {
  if (own.Total() < kMinResults || peers.Total() < kMinResults) return false;
  return own.successes / own.Total() + kRateMargin <= peers.successes / peers.Total();
}

}  // namespace cornelplank::upstreams
