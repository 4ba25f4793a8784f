#pragma once

#include <chrono>

#include "libs/base/base.h"

namespace cornelplank::membership {

/// When a node may call the platform's configuration service. Not thread-safe.
///
/// A reader opens its next watch as soon as the last one was answered. Any other node reads only after
/// `kFallbackAfter` plus jitter without a confirmation, and never more than one call per `kFallbackInterval`.
/// Failures back off exponentially with jitter for both, so a platform that returns meets no burst.
class ReadSchedule {
 public:
  static constexpr base::Duration kFallbackAfter = std::chrono::seconds{5};
  static constexpr base::Duration kFallbackInterval = std::chrono::seconds{5};
  static constexpr base::Duration kFallbackMaxBackoff = std::chrono::seconds{30};
  /// First retry and longest retry of a reader. The longest lies below the 14 s after which a node is
  /// unconfirmed even with the deadline of a lost call (4 s), so that a healed partition is noticed in time.
  static constexpr base::Duration kReaderMinBackoff = std::chrono::seconds{1};
  static constexpr base::Duration kReaderMaxBackoff = std::chrono::seconds{5};
  /// Shortest time between two watches of a reader, even when each is answered at once.
  static constexpr base::Duration kMinWatchInterval = std::chrono::milliseconds{100};
  /// Wait that a reader asks for in a watch. A pending watch confirms nothing, so with the 25 s of the design
  /// page every node would pass the fall-back limit of 5 s, and the 14 s of the confirmed rule, in each quiet
  /// period. 52 readers make 26 calls/s at 2 s, 1.3% of the service's rate.
  static constexpr base::Duration kWatchWait = std::chrono::seconds{2};

  ReadSchedule(uint64_t seed, base::TimePoint now);

  /// Whether a call may start now. `confirmed_age`: time since the newest confirmation by anyone.
  bool IsDue(bool is_reader, base::Duration confirmed_age, base::TimePoint now) const;
  /// A call started.
  void OnCallStarted(base::TimePoint now);
  /// The running call ended. `answered` is false for every error, also for a refusal by rate.
  void OnCallEnded(bool answered, base::TimePoint now);

 private:
  base::Duration Wait(bool is_reader) const;
  void Draw();

  base::Random random_;
  base::Duration threshold_{0};  // a fall-back read starts after this time without a confirmation
  double fraction_ = 0;          // random part of the current wait, in [0, 1)
  int failures_ = 0;             // calls in a row without an answer
  base::TimePoint last_start_;
  base::TimePoint last_end_;
  bool running_ = false;
};

}  // namespace cornelplank::membership
