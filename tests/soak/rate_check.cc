#include "tests/soak/rate_check.h"

#include <algorithm>

namespace cornelplank::soak {

void RateCheck::OnStated(const std::string& replica, double per_second, base::TimePoint now) {
  Limit& limit = limits_[replica];
  if (limit.per_second == per_second) return;
  limit = {per_second, now, {}};
}

std::optional<std::string> RateCheck::OnArrival(const std::string& replica, base::TimePoint now) {
  const auto found = limits_.find(replica);
  if (found == limits_.end() || now - found->second.stated_at < kLearningTime) return std::nullopt;
  Limit& limit = found->second;
  limit.arrivals.push_back(now);
  while (now - limit.arrivals.front() >= kWindow) limit.arrivals.pop_front();
  const double allowed =
      kTolerance * limit.per_second * std::chrono::duration<double>(kWindow).count() + kSlack;
  const auto count = static_cast<double>(limit.arrivals.size());
  max_part_ = std::max(max_part_, count / allowed);
  if (count <= allowed) return std::nullopt;
  return "replica " + replica + " got " + std::to_string(limit.arrivals.size()) +
         " requests in 4 s at a limit of " + std::to_string(limit.per_second) + " a second";
}

}  // namespace cornelplank::soak
