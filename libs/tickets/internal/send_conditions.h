#pragma once

#include <cstdint>

#include "libs/base/base.h"
#include "libs/tickets/internal/ticket.h"

namespace cornelplank::tickets {

/// How sure the VM is that it may still act under its name.
enum class IncarnationStatus {
  kCurrent,      // no reason to doubt it; also while its zone is partitioned from the others
  kUnconfirmed,  // it was paused and has not yet exchanged a heartbeat or read the VM list since
  kReplaced,     // a higher incarnation of this VM is known
};

/// What `TicketTable::Begin` judges. Everything is read just before the send, so that a VM that was paused
/// acts on what holds now and not on what held before the pause.
struct SendConditions {
  base::TimePoint now;
  base::TimePoint deadline;      // of the call
  uint64_t call_config_seq = 0;  // configuration under which the call was accepted
  uint64_t own_config_seq = 0;   // configuration in force here
  IncarnationStatus incarnation_status = IncarnationStatus::kCurrent;
};

/// kNone when the call may be sent, else why not.
constexpr TicketCode CheckSendConditions(const SendConditions& gate) {
  if (gate.incarnation_status == IncarnationStatus::kReplaced) return TicketCode::kOwnerReplaced;
  if (gate.incarnation_status == IncarnationStatus::kUnconfirmed) return TicketCode::kOwnerStale;
  if (gate.own_config_seq < gate.call_config_seq) return TicketCode::kOwnerConfigOlder;
  if (gate.now >= gate.deadline) return TicketCode::kDeadline;
  return TicketCode::kNone;
}

}  // namespace cornelplank::tickets
