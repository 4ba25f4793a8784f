#pragma once

#include <chrono>
#include <cstdint>

#include "libs/base/base.h"
#include "libs/serving/internal/routing_config.h"

namespace cornelplank::serving {

/// How an attempt ended.
enum class AttemptOutcome {
  kComplete,      // the whole answer was passed on
  kErrorAnswer,   // a whole answer with an error status of the replica's own
  kNotSent,       // no connection came about; nothing was sent
  kNotRun,        // the replica states that it did not run the request
  kWrongReplica,  // another replica has the address now; it did not run the request
  kUnknown,       // the request may have run: connection lost, silence, or no valid answer
  kClientGone,
};

const char* AttemptOutcomeName(AttemptOutcome end);

/// What to do after an attempt.
enum class NextStep {
  kDone,
  kTryAgain,    // at another replica; with `resume` after the last event that was passed on
  kPassAnswer,  // hand the replica's error answer to the client
  kRefuse,      // 503: it has not run and will not run
  kFail,        // 502: it may have run
  kTimeOut,     // 504: the time is up
  kBreakOff,    // the answer was begun and can't be completed
};

/// What is known of a request after an attempt.
struct RequestProgress {
  AttemptOutcome end = AttemptOutcome::kUnknown;
  bool repeatable = false;  // an unknown outcome may be followed by another run
  uint32_t sends = 0;       // attempts whose bytes may have reached a replica
  uint32_t sends_allowed = 1;
  uint32_t unsent = 0;        // attempts that found no connection or the wrong replica
  bool may_have_run = false;  // some attempt of this request had an unknown outcome or ran
  bool answer_begun = false;  // the client has received a part of the answer
  bool budget_left = true;    // of second sends
  base::Duration time_left{0};
};

/// Attempts that reached nothing cost a connection each and are limited on their own.
inline constexpr uint32_t kUnsentLimit = 4;
/// With less time left another attempt could not bring an answer.
inline constexpr std::chrono::milliseconds kLeastAttemptTime{40};

NextStep DecideNext(const RequestProgress& state);

}  // namespace cornelplank::serving
