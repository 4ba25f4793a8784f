#include "libs/serving/internal/attempt_policy.h"

namespace cornelplank::serving {
namespace {

/// The final step when no further attempt is made.
NextStep GiveUp(const AttemptState& state) {
  if (state.answer_begun) return NextStep::kBreakOff;
  if (state.end == AttemptEnd::kErrorAnswer) return NextStep::kPassAnswer;
  if (!state.may_have_run) return NextStep::kRefuse;
  return state.time_left <= kLeastAttemptTime ? NextStep::kTimeOut : NextStep::kFail;
}

}  // namespace

const char* AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kComplete:
      return "complete";
    case AttemptEnd::kErrorAnswer:
      return "error_answer";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kNotRun:
      return "not_run";
    case AttemptEnd::kWrongReplica:
      return "wrong_replica";
    case AttemptEnd::kUnknown:
      return "unknown";
    case AttemptEnd::kClientGone:
      return "client_gone";
  }
  return "unknown";
}

NextStep DecideNext(const AttemptState& state) {
  if (state.end == AttemptEnd::kComplete || state.end == AttemptEnd::kClientGone) return NextStep::kDone;
  if (state.time_left <= kLeastAttemptTime) return GiveUp(state);
  switch (state.end) {
    case AttemptEnd::kNotSent:
    case AttemptEnd::kWrongReplica:
      return state.unsent <= kUnsentLimit ? NextStep::kTryAgain : GiveUp(state);
    case AttemptEnd::kNotRun:
      return state.sends < state.sends_allowed && state.budget_left ? NextStep::kTryAgain : GiveUp(state);
    case AttemptEnd::kErrorAnswer:
    case AttemptEnd::kUnknown:
      if (!state.repeatable || state.sends >= state.sends_allowed || !state.budget_left) return GiveUp(state);
      return NextStep::kTryAgain;
    default:
      return GiveUp(state);
  }
}

}  // namespace cornelplank::serving
