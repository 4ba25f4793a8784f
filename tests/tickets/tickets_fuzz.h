#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank::tickets {

/// Deliberate faults that show that the oracle can fail.
enum class TicketFault {
  kNone,
  kDoubleSend,         // a second call on a sent ticket is sent as well
  kForgottenRunnable,  // a ticket that is not in the table is run
  kSilentIsNotRun,     // a passed progress deadline is reported as not-run
  kOldClock,           // the gate judges the time at which the call arrived, not the time of the send
  kOldStanding,        // the gate does not look at the incarnation_status
  kOldConfig,          // the gate does not look at the configuration
  kAnyRequest,         // replay does not compare the request
  kRelayNotRun,        // a relay answers not-run for a client's ticket that it could not deliver
};

std::optional<std::string> FuzzTickets(uint64_t seed, uint64_t steps, TicketFault fault);

}  // namespace cornelplank::tickets
