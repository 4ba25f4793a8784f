#pragma once

#include <atomic>
#include <chrono>

#include "libs/base/base.h"
#include "libs/tickets/tickets.h"

namespace cornelplank::gateway {

/// Tells whether this process is still the only one that acts under its VM's name. While a process is paused
/// it may be replaced, so after a pause it must first hear from a peer or the platform. A pause is detected
/// at the moment of use, from the time since the last iteration of the control loop; no timer has to fire
/// first. Thread-safe.
class IncarnationMonitor {
 public:
  /// A gap of this length between two iterations of the control loop counts as a pause. The loop runs every
  /// 100 ms.
  static constexpr std::chrono::seconds kPauseThreshold{2};
  /// This long after a pause the process counts as current again even without contact: a zone that is cut off
  /// has to go on serving, and a ticket runs only at the incarnation that minted it in any case.
  static constexpr std::chrono::seconds kNoContactLimit{5};

  explicit IncarnationMonitor(base::TimePoint now) : last_loop_at_(now) {}

  /// Records an iteration of the control loop.
  void RecordLoop(base::TimePoint now);
  /// Records that a peer or the platform answered a call that started at `call_started_at`.
  void RecordContact(base::TimePoint call_started_at);
  /// Returns the state at `now`. `replaced`: a higher incarnation of this VM is known.
  tickets::IncarnationStatus StatusAt(base::TimePoint now, bool replaced) const;

 private:
  std::atomic<base::TimePoint> last_loop_at_;
  std::atomic<base::TimePoint> resumed_at_{base::TimePoint::min()};       // end of the last pause
  std::atomic<base::TimePoint> last_contact_at_{base::TimePoint::min()};  // start of the last call answered
};

}  // namespace cornelplank::gateway
