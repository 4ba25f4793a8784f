#pragma once

#include <algorithm>
#include <atomic>

#include "libs/base/base.h"

namespace cornelplank::gateway {

/// The times of this VM's drain: until when it takes requests, and by when all of them must have an answer.
/// Thread-safe; `Begin` is called at most once.
class DrainClock {
 public:
  /// Until clients have seen a response that says that the VM is leaving, they still send new requests to it,
  /// and these are served.
  static constexpr std::chrono::milliseconds kTakeTime{1000};
  /// Between the last answers and the end of the process.
  static constexpr std::chrono::milliseconds kAnswerMargin{500};

  /// `limit`: time until the process ends.
  void Begin(base::TimePoint now, base::Duration limit) {
    const base::Duration margin = std::min<base::Duration>(kAnswerMargin, limit / 4);
    last_answer_.store((now + limit - margin).time_since_epoch().count(), std::memory_order_release);
    taken_until_.store((now + std::min<base::Duration>(kTakeTime, limit / 2)).time_since_epoch().count(),
                       std::memory_order_release);
  }
  /// Whether a request that arrives at `now` is refused.
  bool Refuses(base::TimePoint now) const { return now >= At(taken_until_); }
  /// By when each request must have its answer; the greatest time while the VM is not draining.
  base::TimePoint LastAnswer() const { return At(last_answer_); }

 private:
  using Count = base::Duration::rep;
  static base::TimePoint At(const std::atomic<Count>& count) {
    return base::TimePoint(base::Duration(count.load(std::memory_order_acquire)));
  }

  std::atomic<Count> taken_until_{base::Duration::max().count()};
  std::atomic<Count> last_answer_{base::Duration::max().count()};
};

}  // namespace cornelplank::gateway
