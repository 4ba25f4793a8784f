#pragma once

#include <cstdint>

#include "libs/base/base.h"

namespace cornelplank::upstreams {

inline constexpr uint32_t kEjectionFailures = 5;
inline constexpr double kMaxEjectedShare = 0.3;
inline constexpr std::chrono::seconds kFirstBackOff{1};
inline constexpr std::chrono::seconds kMaxBackOff{30};

/// Largest number of replicas of a zone that may be ejected at once. Zones of fewer than four replicas eject
/// none: one of three would exceed the bound, and the rest could not carry the load. A replica that the bound
/// keeps from ejection is suspect for the same back-off instead: the router uses it only when nothing else
/// can serve.
constexpr uint32_t MaxEjected(uint32_t zone_replicas) { return zone_replicas * 3 / 10; }

/// Counts of recent results, halved every ten seconds so that old results fade.
struct ResultWindow {
  double successes = 0;
  double failures = 0;

  double Total() const { return successes + failures; }
  void Halve() {
    successes /= 2;
    failures /= 2;
  }
};

/// Success and failure history of one replica and its ejection back-off.
class OutlierState {
 public:
  void AddSuccess();
  void AddFailure();
  bool HasTooManyFailures() const { return consecutive_failures_ >= kEjectionFailures; }
  ResultWindow& Window() { return window_; }
  const ResultWindow& Window() const { return window_; }

  /// Starts or prolongs the ejection: 1 s, doubled for each ejection that follows within 30 s of the return,
  /// up to 30 s. Returns the time of the next probe.
  base::TimePoint ExtendBackOff(base::TimePoint now);
  /// The probe succeeded; the history starts again.
  void MarkReadmitted(base::TimePoint now);
  /// Forgets everything, for a new incarnation.
  void Reset() { *this = OutlierState{}; }

 private:
  uint32_t consecutive_failures_ = 0;
  ResultWindow window_;
  base::Duration back_off_{0};
  bool readmitted_ = false;
  base::TimePoint readmitted_at_{};
};

/// True when a replica's success rate is far below that of its peers: at least 0.3 lower, with enough results
/// on both sides to tell. `peers` excludes the replica itself.
bool IsFarBelowPeers(const ResultWindow& own, const ResultWindow& peers);

}  // namespace cornelplank::upstreams
