#pragma once

#include <atomic>
#include <chrono>

#include "libs/base/base.h"
#include "libs/tickets/tickets.h"

namespace cornelplank::gateway {

/// Whether this process may still act under its name. A pause is found by comparing the clock, at the moment
/// of use, with the last turn of the control loop; no timer has to run first. Thread-safe.
class StandingWatch {
 public:
  /// A gap between two turns of the control loop that counts as a pause; the loop turns every 100 ms.
  static constexpr std::chrono::seconds kPause{2};
  /// With nobody to ask, the standing counts as current again after this time: a zone that is cut off has to
  /// go on serving, and a ticket runs only at this incarnation in any case.
  static constexpr std::chrono::seconds kAloneLimit{5};

  explicit StandingWatch(base::TimePoint now) : turned_at_(now) {}

  /// The control loop has made a turn.
  void Turn(base::TimePoint now);
  /// A peer or the platform has answered a call that started at `asked_at`.
  void Contact(base::TimePoint asked_at);
  tickets::IncarnationStatus Now(base::TimePoint now, bool replaced) const;

 private:
  std::atomic<base::TimePoint> turned_at_;
  std::atomic<base::TimePoint> woke_at_{base::TimePoint::min()};
  std::atomic<base::TimePoint> contact_at_{base::TimePoint::min()};
};

}  // namespace cornelplank::gateway
