#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank::retry {

/// Deliberate faults of the retry policy or the tracker, each of which the oracle must detect.
enum class RetryFault {
  kNone,
  kRetryAfterBytesLeft,  // a call that must not be repeated is retried although it may have arrived
  kPastDeadline,         // the deadline is ignored
  kNoBudget,             // the budgets never run out
  kSameReplica,          // prior attempts on a replica are not counted
  kDoubleSend,           // the response of an attempt that has lost is passed on as well
  kAnyIdAccepted,        // parts are accepted whatever their attempt id is
};

/// Deliberate faults of the stream assembler, each of which the oracle must detect.
enum class StreamFault {
  kNone,
  kTokenTwice,    // tokens that a resumed attempt repeats are passed on again
  kNoTerminal,    // a stream whose attempt broke off is ended as if it were complete
  kEndWithGap,    // the terminal event is passed on although tokens are missing
  kLateAccepted,  // tokens of a replaced attempt are passed on
};

/// Each runs random commands and returns the first violation that its oracle finds, if any.
std::optional<std::string> FuzzRetry(uint64_t seed, uint64_t steps, RetryFault fault);
std::optional<std::string> FuzzStream(uint64_t seed, uint64_t steps, StreamFault fault);

}  // namespace cornelplank::retry
