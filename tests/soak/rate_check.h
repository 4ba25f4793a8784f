#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "tests/platform/fake_store.h"

namespace cornelplank::soak {

/// Checks that replicas which state a limit of requests get no more than the platform tolerates: one and a
/// half times the limit and 5 requests in any 4 s, from some seconds after the first statement on.
class RateCheck {
 public:
  static constexpr std::chrono::seconds kWindow{4};
  static constexpr std::chrono::seconds kLearningTime{6};
  static constexpr double kTolerance = 1.5;
  static constexpr double kSlack = 5;

  /// The replica states the limit, in requests a second, in a response. The first call begins the check.
  void OnStated(const std::string& replica, double per_second, base::TimePoint now);
  /// The replica states no limit any more.
  void OnEnded(const std::string& replica) { limits_.erase(replica); }
  /// A request reaches the replica. Returns what is wrong when the last 4 s had too many.
  std::optional<std::string> OnArrival(const std::string& replica, base::TimePoint now);

  /// The greatest number of arrivals in 4 s, as a part of the number allowed.
  double max_part() const { return max_part_; }

 private:
  struct Limit {
    double per_second = 0;
    base::TimePoint stated_at;
    std::deque<base::TimePoint> arrivals;  // of the last 4 s
  };

  std::map<std::string, Limit> limits_;  // by replica
  double max_part_ = 0;
};

}  // namespace cornelplank::soak
