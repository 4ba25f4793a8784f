#pragma once

#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::bench {

/// Runs actions in the order of their virtual time.
class EventLoop {
 public:
  using Action = std::function<void()>;

  base::TimePoint now() const { return now_; }

  void After(base::Duration delay, Action action) {
    events_.push({now_ + delay, ++last_, std::move(action)});
  }

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

  base::TimePoint now_{std::chrono::hours{1}};
  uint64_t last_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace cornelplank::bench
