#pragma once

#include <atomic>
#include <chrono>

#include "libs/base/base.h"
#include "libs/tickets/tickets.h"

namespace cornelplank::gateway {

/// Whether this process may still act under its name. A pause is found by comparing the clock, at the moment
/// of use, with the last turn of the control loop; no timer has to run first. Thread-safe.
class IdentityMonitor {
 public:
  /// A gap between two turns of the control loop that counts as a pause; the loop turns every 100 ms.
  static constexpr std::chrono::seconds kPauseThreshold{2};
  /// With nobody to ask, the standing counts as current again after this time: a zone that is cut off has to
  /// go on serving, and a ticket runs only at this incarnation in any case.
  static constexpr std::chrono::seconds kNoContactLimit{5};

  explicit IdentityMonitor(base::TimePoint now) : last_loop_at_(now) {}

  /// The control loop has made a turn.
  void RecordLoop(base::TimePoint now);
  /// A peer or the platform has answered a call that started at `call_started_at`.
  void RecordContact(base::TimePoint call_started_at);
  tickets::IncarnationStatus Evaluate(base::TimePoint now, bool replaced) const;

 private:
  std::atomic<base::TimePoint> last_loop_at_;
  std::atomic<base::TimePoint> resumed_at_{base::TimePoint::min()};
  std::atomic<base::TimePoint> last_contact_at_{base::TimePoint::min()};
};

}  // namespace cornelplank::gateway
