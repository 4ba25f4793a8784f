#include "libs/serving/internal/attempt_policy.h"

namespace cornelplank::serving {
namespace {

/// The final step when no further attempt is made.
NextStep GiveUp(const RequestProgress& state) {
  if (state.answer_begun) return NextStep::kBreakOff;
  if (state.end == AttemptOutcome::kErrorAnswer) return NextStep::kPassAnswer;
  if (!state.may_have_run) return NextStep::kRefuse;
  return state.time_left <= kLeastAttemptTime ? NextStep::kTimeOut : NextStep::kFail;
}

}  // namespace

const char* AttemptOutcomeName(AttemptOutcome end) {
  switch (end) {
    case AttemptOutcome::kComplete:
      return "complete";
    case AttemptOutcome::kErrorAnswer:
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

NextStep DecideNext(const RequestProgress& state) {
  if (state.end == AttemptOutcome::kComplete || state.end == AttemptOutcome::kClientGone)
    return NextStep::kDone;
  if (state.time_left <= kLeastAttemptTime) return GiveUp(state);
  switch (state.end) {
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kWrongReplica:
      return state.unsent <= kUnsentLimit ? NextStep::kTryAgain : GiveUp(state);
    case AttemptOutcome::kNotRun:
      return state.sends < state.sends_allowed && state.budget_left ? NextStep::kTryAgain : GiveUp(state);
    case AttemptOutcome::kErrorAnswer:
    case AttemptOutcome::kUnknown:
      if (!state.repeatable || state.sends >= state.sends_allowed || !state.budget_left) return GiveUp(state);
      return NextStep::kTryAgain;
    default:
      return GiveUp(state);
  }
}

}  // namespace cornelplank::serving
