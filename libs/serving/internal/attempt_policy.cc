#include "libs/serving/internal/attempt_policy.h"

namespace cornelplank::serving {
namespace {

/// The final step when no further attempt is made.
NextStep GiveUp(const RequestProgress& progress) {
  if (progress.response_started) return NextStep::kAbortResponse;
  if (progress.last_outcome == AttemptOutcome::kErrorResponse) return NextStep::kForwardErrorResponse;
  if (!progress.may_have_run) return NextStep::kRefuse;
  return progress.time_left <= kMinAttemptTime ? NextStep::kTimeOut : NextStep::kFail;
}

}  // namespace

const char* AttemptOutcomeName(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kComplete:
      return "complete";
    case AttemptOutcome::kErrorResponse:
      return "error_answer";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kNotRun:
      return "not_run";
    case AttemptOutcome::kWrongReplica:
      return "wrong_replica";
    case AttemptOutcome::kUnknown:
      return "unknown";
    case AttemptOutcome::kClientGone:
      return "client_gone";
  }
  return "unknown";
}

NextStep DecideNextStep(const RequestProgress& progress) {
  if (progress.last_outcome == AttemptOutcome::kComplete ||
      progress.last_outcome == AttemptOutcome::kClientGone) {
    return NextStep::kDone;
  }
  if (progress.time_left <= kMinAttemptTime) return GiveUp(progress);
  switch (progress.last_outcome) {
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kWrongReplica:
      return progress.unsent_attempts <= kMaxUnsentAttempts ? NextStep::kRetry : GiveUp(progress);
    case AttemptOutcome::kNotRun:
      return progress.sends < progress.max_sends && progress.retry_budget_left ? NextStep::kRetry
                                                                               : GiveUp(progress);
    case AttemptOutcome::kErrorResponse:
    case AttemptOutcome::kUnknown:
      if (!progress.repeatable || progress.sends >= progress.max_sends || !progress.retry_budget_left) {
        return GiveUp(progress);
      }
      return NextStep::kRetry;
    default:
      return GiveUp(progress);
  }
}

}  // namespace cornelplank::serving
