#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank::tickets {

/// Deliberate faults, each of which the oracle must detect.
enum class TicketFault {
  kNone,
  kDoubleSend,          // a second call on a sent ticket is sent as well
  kForgottenRunnable,   // a call on a ticket that is not in the table is sent
  kSilenceIsNotRun,     // a passed progress deadline is reported as not-run
  kOldTime,             // the deadline is compared with the time of the call's arrival, not of the send
  kIncarnationIgnored,  // calls are sent by an incarnation that is unconfirmed or replaced
  kConfigIgnored,       // calls are sent under an older configuration than they were accepted under
  kRequestIgnored,      // a ticket's result is replayed for another request
  kRelayNotRun,         // a relay reports not-run for a client's ticket that it could not deliver
};

/// Runs random commands and returns the first violation that the oracle finds, if any.
std::optional<std::string> FuzzTickets(uint64_t seed, uint64_t steps, TicketFault fault);

}  // namespace cornelplank::tickets
