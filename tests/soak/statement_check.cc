#include "tests/soak/statement_check.h"

#include <algorithm>

namespace cornelplank::soak {

void StatementCheck::OnPushBack(const Pair& pair, base::Duration time, base::TimePoint now) {
  PushBack& push_back = push_backs_[pair];
  if (push_back.until >= now + time) return;
  if (push_back.until < now) push_back = {now, now, 0};
  push_back.until = now + time;
}

void StatementCheck::OnRestart(const std::string& replica) {
  std::erase_if(leaving_, [&](const auto& entry) { return entry.first.replica == replica; });
  std::erase_if(push_backs_, [&](const auto& entry) { return entry.first.replica == replica; });
}

std::optional<base::TimePoint> StatementCheck::OnArrival(const Pair& pair, base::TimePoint now) {
  const auto leaving = leaving_.find(pair);
  if (leaving != leaving_.end() && now - leaving->second > kTimeOnTheWay) return leaving->second;
  const auto found = push_backs_.find(pair);
  if (found == push_backs_.end()) return std::nullopt;
  PushBack& push_back = found->second;
  if (now - push_back.stated_at <= kTimeOnTheWay || now >= push_back.until) return std::nullopt;
  if (++push_back.arrivals <= kToleratedArrivals) return std::nullopt;
  return push_back.stated_at;
}

}  // namespace cornelplank::soak
