#include "libs/gateway/internal/standing.h"

namespace cornelplank::gateway {

void StandingWatch::Turn(base::TimePoint now) {
  if (now - turned_at_.load() >= kPause) woke_at_.store(now);
  turned_at_.store(now);
}

void StandingWatch::Contact(base::TimePoint asked_at) { contact_at_.store(asked_at); }

tickets::Standing StandingWatch::Now(base::TimePoint now, bool replaced) const {
  if (replaced) return tickets::Standing::kReplaced;
  if (now - turned_at_.load() >= kPause) return tickets::Standing::kStale;
  const base::TimePoint woke_at = woke_at_.load();
  const bool asked_since = contact_at_.load() >= woke_at || now - kAloneLimit >= woke_at;
  return asked_since ? tickets::Standing::kCurrent : tickets::Standing::kStale;
}

}  // namespace cornelplank::gateway
