#include "libs/base/internal/clock.h"

#include <ctime>

namespace cornelplank::base {

TimePoint SystemClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint{std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec}};
}

}  // namespace cornelplank::base
