#pragma once

#include "libs/base/base.h"

namespace cornelplank::tickets {

/// What a VM knows about a call that it relayed to the ticket's owner and that got no answer.
struct FailedRelay {
  bool may_have_arrived = true;  // at least one byte of the call may have left this VM
  /// This VM had the ticket minted for this call only and has not disclosed its text. False for every ticket
  /// that a client sent, because the client may have sent it through another VM as well.
  bool ticket_private = false;
};

/// Returns the outcome that the relaying VM reports. `not-run` also states that the ticket will never run, so
/// it takes a ticket that nobody else can have used or can still use.
constexpr base::Outcome OutcomeOfFailedRelay(const FailedRelay& relay) {
  return !relay.may_have_arrived && relay.ticket_private ? base::Outcome::kNotRun : base::Outcome::kUnknown;
}

}  // namespace cornelplank::tickets
