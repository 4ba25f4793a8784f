#pragma once

#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::bench {

/// Runs actions in the order of their virtual time; those of the same time in the order in which they were
/// added.
class EventLoop {
 public:
  using Action = std::function<void()>;

  base::TimePoint now() const { return now_; }

  /// Schedules an action for `delay` from now.
  void After(base::Duration delay, Action action) {
    events_.push({now_ + delay, ++last_order_, std::move(action)});
  }

  /// Runs all actions of the next `time`, and ends at its end.
  void RunFor(base::Duration time) {
    const base::TimePoint end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
      const Action action = std::move(const_cast<Event&>(events_.top()).action);
      now_ = events_.top().at;
      events_.pop();
      action();
    }
    now_ = end;
  }

 private:
  struct Event {
    base::TimePoint at;
    uint64_t order;
    Action action;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  base::TimePoint now_{std::chrono::hours{1}};  // not the epoch, which the libraries read as "never"
  uint64_t last_order_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace cornelplank::bench
