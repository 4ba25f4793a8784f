#include "libs/membership/internal/read_schedule.h"

#include <algorithm>

namespace cornelplank::membership {

ReadSchedule::ReadSchedule(uint64_t seed, base::TimePoint now)
    : random_(seed), last_start_(now - kFallbackInterval), last_end_(now - kFallbackInterval) {
  DrawJitter();
}

void ReadSchedule::DrawJitter() {
  backoff_fraction_ = random_.Unit();
  fallback_threshold_ =
      kFallbackAfter + std::chrono::duration_cast<base::Duration>(kFallbackAfter * random_.Unit());
}

base::Duration ReadSchedule::BackoffDelay(bool is_reader) const {
  if (failures_ == 0) return is_reader ? base::Duration{0} : kFallbackInterval;
  const base::Duration first = is_reader ? kReaderMinBackoff : kFallbackInterval;
  const base::Duration longest = is_reader ? kReaderMaxBackoff : kFallbackMaxBackoff;
  const base::Duration backoff = std::min(longest, first * (1 << std::min(failures_ - 1, 8)));
  // Half of the back-off is random, so that nodes whose calls failed together don't retry together.
  return backoff / 2 + std::chrono::duration_cast<base::Duration>(backoff / 2 * backoff_fraction_);
}

bool ReadSchedule::IsDue(bool is_reader, base::Duration confirmed_age, base::TimePoint now) const {
  if (running_ || now - last_end_ < BackoffDelay(is_reader)) return false;
  if (is_reader) return now - last_start_ >= kMinWatchInterval;
  return now - last_start_ >= kFallbackInterval && confirmed_age >= fallback_threshold_;
}

void ReadSchedule::OnCallStarted(base::TimePoint now) {
  running_ = true;
  last_start_ = now;
}

void ReadSchedule::OnCallEnded(bool answered, base::TimePoint now) {
  running_ = false;
  last_end_ = now;
  failures_ = answered ? 0 : failures_ + 1;
  DrawJitter();
}

}  // namespace cornelplank::membership
