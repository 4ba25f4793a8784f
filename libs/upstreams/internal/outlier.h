#pragma once

#include <cstdint>

#include "libs/base/base.h"

namespace cornelplank::upstreams {

/// Consecutive failures that eject a replica.
inline constexpr uint32_t kEjectionFailures = 5;
inline constexpr double kMaxEjectedShare = 0.3;
/// Shortest and longest time from an ejection to the next probe.
inline constexpr std::chrono::seconds kFirstBackOff{1};
inline constexpr std::chrono::seconds kMaxBackOff{30};

/// Returns how many replicas of a zone may be ejected at once: 30%, rounded down. A zone of fewer than four
/// replicas ejects none, because one of three would exceed the bound and the rest could not carry the load. A
/// replica that this bound keeps from ejection is marked suspect for the same back-off: the router uses it
/// only when nothing else can serve.
constexpr uint32_t MaxEjected(uint32_t zone_replicas) { return zone_replicas * 3 / 10; }

/// Weighted counts of recent results. The table halves them every ten seconds, so that old results lose
/// weight.
struct ResultWindow {
  double successes = 0;
  double failures = 0;

  double Total() const { return successes + failures; }
  void Halve() {
    successes /= 2;
    failures /= 2;
  }
};

/// The recent results of one replica and the back-off of its ejections.
class OutlierState {
 public:
  void AddSuccess();
  void AddFailure();
  bool HasTooManyFailures() const { return consecutive_failures_ >= kEjectionFailures; }
  ResultWindow& Window() { return window_; }
  const ResultWindow& Window() const { return window_; }

  /// Sets the back-off of a new ejection or a failed probe and returns the time of the next probe. The
  /// back-off is 1 s at first and doubles each time, up to 30 s. It starts again at 1 s when the replica was
  /// readmitted more than 30 s ago.
  base::TimePoint ExtendBackOff(base::TimePoint now);
  /// Clears the results after a successful probe, or the first success of a suspect replica. Keeps the
  /// back-off in case that the replica fails again soon.
  void MarkReadmitted(base::TimePoint now);
  /// Clears results and back-off, for a new incarnation of the replica.
  void Reset() { *this = OutlierState{}; }

 private:
  uint32_t consecutive_failures_ = 0;
  ResultWindow window_;
  base::Duration back_off_{0};
  bool readmitted_ = false;
  base::TimePoint readmitted_at_{};
};

/// True when a replica's success rate is at least 0.3 below that of its peers and both sides have at least 20
/// results. `peers` are the sums over the other replicas of the zone for the same service, or its engines.
bool IsFarBelowPeers(const ResultWindow& own, const ResultWindow& peers);

}  // namespace cornelplank::upstreams
