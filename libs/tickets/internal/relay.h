#pragma once

#include "libs/base/base.h"

namespace cornelplank::tickets {

/// What the relaying VM knows about a call that brought no answer from the ticket's owner.
struct FailedRelay {
  bool may_have_arrived = true;  // at least one byte of the relayed call may have left this VM
  /// This VM had the ticket minted for this very call and has told nobody its text. False for every ticket
  /// that a client sent, because the client may have sent it through another VM as well.
  bool ticket_private = false;
};

/// The outcome that the relaying VM may report. `not-run` is a statement about the ticket for good, so it
/// needs a ticket that no one else can have used or can still use.
constexpr base::Outcome OutcomeOfFailedRelay(const FailedRelay& relay) {
  return !relay.may_have_arrived && relay.ticket_private ? base::Outcome::kNotRun : base::Outcome::kUnknown;
}

}  // namespace cornelplank::tickets
