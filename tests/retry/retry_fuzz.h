#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank::retry {

/// Deliberate faults that show that the oracles can fail.
enum class RetryFault {
  kNone,
  kRetryAfterBytesLeft,  // a call that must not be repeated is retried although it may have arrived
  kPastDeadline,         // the deadline is not looked at
  kNoBudget,             // the budgets always give
  kSameReplica,          // the replicas that were prior_attempts are not known
  kDoubleSend,           // a hedge's loser is not cancelled and its response is passed on as well
  kCrossedAccepted,      // parts are accepted without a look at the attempt id
};

enum class StreamFault {
  kNone,
  kTokenTwice,    // what a resumed attempt repeats is passed on again
  kNoTerminal,    // a stream whose attempt broke is ended as if it were complete
  kEndWithGap,    // the terminal event is believed although tokens are missing
  kLateAccepted,  // tokens of a replaced attempt are passed on
};

std::optional<std::string> FuzzRetry(uint64_t seed, uint64_t steps, RetryFault fault);
std::optional<std::string> FuzzStream(uint64_t seed, uint64_t steps, StreamFault fault);

}  // namespace cornelplank::retry
