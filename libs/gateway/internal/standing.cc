#include "libs/gateway/internal/standing.h"

namespace cornelplank::gateway {

void StandingWatch::Turn(base::TimePoint now) {
  if (now - turned_at_.load() >= kPause) woke_at_.store(now);
  turned_at_.store(now);
}

void StandingWatch::Contact(base::TimePoint asked_at) { contact_at_.store(asked_at); }

tickets::IncarnationStatus StandingWatch::Now(base::TimePoint now, bool replaced) const {
  if (replaced) return tickets::IncarnationStatus::kReplaced;
  if (now - turned_at_.load() >= kPause) return tickets::IncarnationStatus::kUnconfirmed;
  const base::TimePoint woke_at = woke_at_.load();
  const bool asked_since = contact_at_.load() >= woke_at || now - kAloneLimit >= woke_at;
  return asked_since ? tickets::IncarnationStatus::kCurrent : tickets::IncarnationStatus::kUnconfirmed;
}

}  // namespace cornelplank::gateway
