#pragma once

#include <atomic>
#include <chrono>

namespace cornelplank::base {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A monotonic clock. Code that decides by the time reads it from here, so that tests can control it.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

/// Reads CLOCK_BOOTTIME, which, unlike CLOCK_MONOTONIC, also advances while the VM is suspended.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override;
};

/// A clock for tests and simulations that moves only when `Advance` is called. Thread-safe.
class ManualClock final : public Clock {
 public:
  explicit ManualClock(TimePoint start = TimePoint{}) : now_(start.time_since_epoch().count()) {}
  TimePoint Now() const override { return TimePoint{Duration{now_.load(std::memory_order_acquire)}}; }
  void Advance(Duration step) { now_.fetch_add(step.count(), std::memory_order_acq_rel); }

 private:
  std::atomic<Duration::rep> now_;
};

}  // namespace cornelplank::base
