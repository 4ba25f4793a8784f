#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "tests/platform/fake_store.h"

namespace cornelplank::soak {

/// Checks that a VM which has got a replica's statement that it leaves, or wants nothing for a time, sends it
/// nothing after that. Requests that were on their way are excused.
class StatementCheck {
 public:
  /// Requests may be on their way for this long after the replica has answered.
  static constexpr std::chrono::milliseconds kTimeOnTheWay{500};
  /// What the platform tolerates while a replica wants nothing.
  static constexpr int kToleratedArrivals = 2;

  /// One run of a VM's process and a replica.
  struct Pair {
    int vm = 0;
    int incarnation = 0;
    std::string replica;
    bool operator<(const Pair& other) const {
      return std::tie(vm, incarnation, replica) < std::tie(other.vm, other.incarnation, other.replica);
    }
  };

  void OnLeaving(const Pair& pair, base::TimePoint now) { leaving_.try_emplace(pair, now); }
  void OnPushBack(const Pair& pair, base::Duration time, base::TimePoint now);
  /// The replica has started again.
  void OnRestart(const std::string& replica);
  /// When the statement was made that forbids an arrival now, if there is one; counts what is tolerated.
  std::optional<base::TimePoint> OnArrival(const Pair& pair, base::TimePoint now);

 private:
  struct PushBack {
    base::TimePoint stated_at{};
    base::TimePoint until{};
    int arrivals = 0;
  };

  std::map<Pair, base::TimePoint> leaving_;
  std::map<Pair, PushBack> push_backs_;
};

}  // namespace cornelplank::soak
