#include "libs/tenancy/internal/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace cornelplank::tenancy {
namespace {

using Seconds = std::chrono::duration<double>;

// Longest time that a refused request is told to wait.
constexpr std::chrono::seconds kMaxRetryAfter{60};

}  // namespace

void RecentRate::Add(double amount, base::TimePoint now) {
  sum_ = PerSecond(now) + amount;
  at_ = now;
}

double RecentRate::PerSecond(base::TimePoint now) const {
  return sum_ * std::exp(-std::max(0.0, Seconds(now - at_).count()));
}

void QuotaBucket::SetCapacity(double capacity, double share) {
  capacity_ = capacity;
  share_ = share;
  balance_ = std::min(balance_, this->capacity());
}

void QuotaBucket::Refill(double per_second, base::TimePoint now) {
  if (now <= refilled_at_) return;
  Put(per_second * Seconds(std::min<base::Duration>(now - refilled_at_, kMaxRefillGap)).count());
  refilled_at_ = now;
}

bool QuotaBucket::Take(double cost) {
  if (balance_ < std::min(cost, capacity_)) return false;
  balance_ -= cost;
  return true;
}

double QuotaBucket::TakeUpTo(double amount) {
  const double taken = std::clamp(amount, 0.0, std::max(0.0, balance_));
  balance_ -= taken;
  return taken;
}

void QuotaBucket::Put(double amount) { balance_ = std::min(capacity(), balance_ + std::max(0.0, amount)); }

base::Duration QuotaBucket::TimeUntil(double cost, double per_second) const {
  const double missing = std::max(0.0, std::min(cost, capacity_) - balance_);
  const double limit = Seconds(kMaxRetryAfter).count();
  const double seconds = per_second * limit > missing ? missing / per_second : limit;
  return std::chrono::duration_cast<base::Duration>(Seconds(seconds));
}

}  // namespace cornelplank::tenancy
