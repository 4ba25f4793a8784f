#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "libs/base/base.h"

namespace cornelplank::serving {

/// Judges whether the configuration in force may still be the newest one. Not thread-safe; the caller passes
/// in the time, which has to advance while the process is suspended.
class ConfigFreshness {
 public:
  enum class State {
    kCurrent,      // confirmed recently
    kUnconfirmed,  // not confirmed for longer than the greatest age, and reading it has not failed for long
    kOutdated,     // another VM has had a newer one in force for longer than `kPropagationTime`
    kIsolated,     // not confirmed for longer than the greatest age, and reading it has failed for a while
  };

  /// Time that a version normally takes from the first VM that has it to all others.
  static constexpr std::chrono::milliseconds kPropagationTime{1000};
  /// Failed reads for this long show that the store can't be reached, rather than that the process was
  /// suspended and its connections broke meanwhile.
  static constexpr std::chrono::milliseconds kIsolationTime{1000};

  /// Time between the greatest age of a configuration and the time within which a new version has to be in
  /// force everywhere: for the errors of the age and the request's way to this VM.
  static constexpr std::chrono::milliseconds kBoundMargin{500};
  /// Retry-After for requests that are refused because the configuration may be outdated: a VM that reaches
  /// any other catches up within this time, and other VMs have caught up already.
  static constexpr std::chrono::milliseconds kRetryAfter{500};

  /// `max_age`: time without a confirmation after which the configuration counts as unconfirmed. At least
  /// `kBoundMargin` below the time within which a new version has to be in force everywhere.
  explicit ConfigFreshness(std::chrono::milliseconds max_age = std::chrono::milliseconds(3500))
      : max_age_(max_age) {}

  /// The store, or a VM in contact with it, had no newer version at this time.
  void OnConfirmed(base::TimePoint confirmed_at);
  /// A read of the configuration failed, or its source was out of contact with the store.
  void OnReadFailed(base::TimePoint now);
  /// A configuration of this version came into force.
  void OnApplied(uint64_t version);
  /// The newest version that any other live VM states to have in force now.
  void OnVersionHeard(uint64_t version, base::TimePoint now);

  State Assess(base::TimePoint now) const;
  /// Whether a request may be denied because the configuration in force has no route for it. Clients don't
  /// retry after a denial, so no newer version may be known or possible.
  bool MayDeny(base::TimePoint now) const;
  /// Whether requests may be placed whose data is bound to regions. An isolated VM serves them by the
  /// configuration that it has: no newer one can reach it, and its region keeps serving its own clients.
  bool MayPlaceBoundRequests(base::TimePoint now) const;
  /// Time since the last confirmation; no value before the first one.
  std::optional<base::Duration> Age(base::TimePoint now) const;
  uint64_t newest_heard() const { return newest_heard_; }
  /// Time since another VM was first heard to have a newer version than the one in force; zero when none has.
  base::Duration TimeBehind(base::TimePoint now) const;

 private:
  std::chrono::milliseconds max_age_;
  std::optional<base::TimePoint> confirmed_at_;
  std::optional<base::TimePoint> failing_since_;  // first failed read since the last confirmation
  uint64_t applied_ = 0;                          // version in force
  uint64_t newest_heard_ = 0;
  base::TimePoint newer_heard_at_{};  // when a version above `applied_` was first heard of
};

/// The state's name in log lines.
const char* ConfigStateName(ConfigFreshness::State state);

}  // namespace cornelplank::serving
