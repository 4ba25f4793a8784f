#pragma once

#include <cstdint>

#include "libs/base/base.h"
#include "libs/tickets/internal/ticket.h"

namespace cornelplank::tickets {

/// Whether this process is still the current incarnation of its VM.
enum class IncarnationStatus {
  kCurrent,      // nothing contradicts it, even while its zone is partitioned from the others
  kUnconfirmed,  // it was paused, and has since neither exchanged a heartbeat nor read the VM list
  kReplaced,     // a higher incarnation of this VM is known
};

/// What decides whether a call with a ticket may be sent now. The caller reads all of it just before the
/// send, so that a VM that was paused decides by the present state and not by that before the pause.
struct SendConditions {
  base::TimePoint now;
  base::TimePoint deadline;      // the call's
  uint64_t call_config_seq = 0;  // configuration under which the call was accepted
  uint64_t own_config_seq = 0;   // configuration in force here
  IncarnationStatus incarnation_status = IncarnationStatus::kCurrent;
};

/// Returns kNone when the call may be sent, otherwise the reason why not.
constexpr TicketCode CheckSendConditions(const SendConditions& conditions) {
  if (conditions.incarnation_status == IncarnationStatus::kReplaced) return TicketCode::kOwnerReplaced;
  if (conditions.incarnation_status == IncarnationStatus::kUnconfirmed) return TicketCode::kOwnerStale;
  if (conditions.own_config_seq < conditions.call_config_seq) return TicketCode::kOwnerConfigOlder;
  if (conditions.now >= conditions.deadline) return TicketCode::kDeadline;
  return TicketCode::kNone;
}

}  // namespace cornelplank::tickets
