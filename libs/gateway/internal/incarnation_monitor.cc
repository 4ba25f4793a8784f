#include "libs/gateway/internal/incarnation_monitor.h"

namespace cornelplank::gateway {

void IncarnationMonitor::RecordLoop(base::TimePoint now) {
  if (now - last_loop_at_.load() >= kPauseThreshold) resumed_at_.store(now);
  last_loop_at_.store(now);
}

void IncarnationMonitor::RecordContact(base::TimePoint call_started_at) {
  last_contact_at_.store(call_started_at);
}

tickets::IncarnationStatus IncarnationMonitor::StatusAt(base::TimePoint now, bool replaced) const {
  if (replaced) return tickets::IncarnationStatus::kReplaced;
  if (now - last_loop_at_.load() >= kPauseThreshold) return tickets::IncarnationStatus::kUnconfirmed;
  const base::TimePoint resumed_at = resumed_at_.load();
  const bool contacted_since = last_contact_at_.load() >= resumed_at || now - kNoContactLimit >= resumed_at;
  return contacted_since ? tickets::IncarnationStatus::kCurrent : tickets::IncarnationStatus::kUnconfirmed;
}

}  // namespace cornelplank::gateway
