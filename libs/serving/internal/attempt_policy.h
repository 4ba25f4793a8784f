#pragma once

#include <chrono>
#include <cstdint>

#include "libs/base/base.h"
#include "libs/serving/internal/routing_config.h"

namespace cornelplank::serving {

/// How one attempt to have a request served by a replica (or, for a hop, by another region) ended.
enum class AttemptOutcome {
  kComplete,       // the complete response was forwarded to the client
  kErrorResponse,  // a complete response with an error status of the replica's own
  kNotSent,        // sent to no replica: no connection, or refused by the VM that it was forwarded to
  kNotRun,         // the replica states that it did not run the request
  kWrongReplica,   // the address now belongs to another replica, which did not run the request
  kUnknown,        // the request may have run: connection lost, silence, or no valid response
  kClientGone,     // the client disconnected
};

/// The outcome's name in log lines.
const char* AttemptOutcomeName(AttemptOutcome outcome);

/// What to do after an attempt.
enum class NextStep {
  kDone,
  kRetry,                 // at another replica; a stream continues after the last event that was forwarded
  kForwardErrorResponse,  // send the replica's error response to the client
  kRefuse,                // respond 503: the request has not run and will not run
  kFail,                  // respond 502: the request may have run
  kTimeOut,               // respond 504: the time is up and the request may have run
  kAbortResponse,         // the client has a part of the response, which can't be completed
};

/// The state of a request after an attempt, on which the next step depends.
struct RequestProgress {
  AttemptOutcome last_outcome = AttemptOutcome::kUnknown;
  bool repeatable = false;        // the request may run again after an attempt with an unknown outcome
  uint32_t sends = 0;             // attempts whose bytes may have reached a replica
  uint32_t max_sends = 1;         // limit on `sends`
  uint32_t unsent_attempts = 0;   // attempts that reached no replica, or the wrong one
  bool may_have_run = false;      // some attempt ran the request or had an unknown outcome
  bool response_started = false;  // the client has received a part of the response
  bool retry_budget_left = true;  // the service's budget allows another send
  base::Duration time_left{0};    // until the request's deadline
};

/// Limit on attempts that reached no replica. They don't count as sends, but each costs time.
inline constexpr uint32_t kMaxUnsentAttempts = 4;
/// No attempt starts with less time left, since its response could not arrive in time.
inline constexpr std::chrono::milliseconds kMinAttemptTime{40};

NextStep DecideNextStep(const RequestProgress& progress);

}  // namespace cornelplank::serving
