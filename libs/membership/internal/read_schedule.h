#pragma once

#include <chrono>

#include "libs/base/base.h"

namespace cornelplank::membership {

/// Decides when a node may call the platform's configuration service. Not thread-safe.
///
/// A reader (a node that watches the platform for its zone) opens its next watch as soon as the last one was
/// answered. Any other node makes a fall-back read only after `kFallbackAfter` plus jitter without a
/// confirmation, and at most one call in each `kFallbackInterval`. Both back off exponentially with jitter
/// after failures, so that a platform that recovers from an outage gets no burst of calls.
class ReadSchedule {
 public:
  /// Time without a confirmation before a node other than a reader may read; random jitter adds up to as
  /// much.
  static constexpr base::Duration kFallbackAfter = std::chrono::seconds{5};
  /// Minimum time between two fall-back reads of a node, and the first back-off after a failed one.
  static constexpr base::Duration kFallbackInterval = std::chrono::seconds{5};
  static constexpr base::Duration kFallbackMaxBackoff = std::chrono::seconds{30};
  /// Back-off of a reader after the first failure, and its maximum. The maximum and the deadline of a lost
  /// call (4 s) together are below the 14 s after which a node is unconfirmed, so that a reader notices the
  /// end of a partition in time.
  static constexpr base::Duration kReaderMinBackoff = std::chrono::seconds{1};
  static constexpr base::Duration kReaderMaxBackoff = std::chrono::seconds{5};
  /// Minimum time between the starts of two watches of a reader, even when each is answered at once.
  static constexpr base::Duration kMinWatchInterval = std::chrono::milliseconds{100};
  /// Time after which the platform answers a watch even without a change. A pending watch confirms nothing,
  /// so with 25 s, as the design page has it, every node would exceed the fall-back limit of 5 s, and the 14
  /// s after which it is unconfirmed, whenever the configuration doesn't change. At 2 s, 52 readers make 26
  /// calls/s, 1.3% of the service's rate.
  static constexpr base::Duration kWatchWait = std::chrono::seconds{2};

  ReadSchedule(uint64_t seed, base::TimePoint now);

  /// Whether a call may start now. `confirmed_age` is the time since the platform last confirmed this node's
  /// configuration, directly or through gossip.
  bool IsDue(bool is_reader, base::Duration confirmed_age, base::TimePoint now) const;
  void OnCallStarted(base::TimePoint now);
  /// Records the end of the running call. `answered` is false after any error, a refusal by rate included.
  void OnCallEnded(bool answered, base::TimePoint now);

 private:
  /// Time to wait after the end of the last call.
  base::Duration BackoffDelay(bool is_reader) const;
  /// Draws new random parts for the next wait.
  void DrawJitter();

  base::Random random_;
  base::Duration fallback_threshold_{0};  // a fall-back read starts after this time without a confirmation
  double backoff_fraction_ = 0;           // share of the random half of the current back-off, in [0, 1)
  int failures_ = 0;                      // consecutive calls without an answer
  base::TimePoint last_start_;
  base::TimePoint last_end_;
  bool running_ = false;
};

}  // namespace cornelplank::membership
