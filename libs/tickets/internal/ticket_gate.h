#pragma once

#include <cstdint>

#include "libs/base/base.h"
#include "libs/tickets/internal/ticket.h"

namespace cornelplank::tickets {

/// How sure the VM is that it may still act under its name.
enum class Standing {
  kCurrent,   // no reason to doubt it; also while its zone is partitioned from the others
  kStale,     // it was paused and has not yet exchanged a heartbeat or read the VM list since
  kReplaced,  // a higher incarnation of this VM is known
};

/// What `TicketTable::Begin` judges. Everything is read just before the send, so that a VM that was paused
/// acts on what holds now and not on what held before the pause.
struct TicketGate {
  base::TimePoint now;
  base::TimePoint deadline;      // of the call
  uint64_t call_config_seq = 0;  // configuration under which the call was accepted
  uint64_t own_config_seq = 0;   // configuration in force here
  Standing standing = Standing::kCurrent;
};

/// kNone when the call may be sent, else why not.
constexpr TicketCode CheckGate(const TicketGate& gate) {
  if (gate.standing == Standing::kReplaced) return TicketCode::kReplaced;
  if (gate.standing == Standing::kStale) return TicketCode::kStaleStanding;
  if (gate.own_config_seq < gate.call_config_seq) return TicketCode::kOlderConfig;
  if (gate.now >= gate.deadline) return TicketCode::kDeadline;
  return TicketCode::kNone;
}

}  // namespace cornelplank::tickets
