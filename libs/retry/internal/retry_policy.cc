#include "libs/retry/internal/retry_policy.h"

#include <algorithm>

namespace cornelplank::retry {
namespace {

std::nullopt_t Refuse(RetryReason* reason, RetryCode code, const char* detail) {
  base::SetReason(reason, code, detail);
  return std::nullopt;
}

}  // namespace

std::optional<RetryDecision> RetryPolicy::Decide(const RetryQuery& query, RetryBudget* budget,
                                                 RetryReason* reason) const {
  if (!query.entry_vm) return Refuse(reason, RetryCode::kNotEntryVm, "only the entry VM retries");
  if (!query.idempotent) return Refuse(reason, RetryCode::kNotIdempotent, "the call must not be repeated");
  if (query.outcome == base::Outcome::kRan) {
    return Refuse(reason, RetryCode::kAnswered, "an upstream has answered the request");
  }
  if (query.response_partly_sent && !query.resumable) {
    return Refuse(reason, RetryCode::kNotResumable, "the client has received a part of the response");
  }
  if (query.attempts >= limits_.max_attempts) {
    return Refuse(reason, RetryCode::kTooManyAttempts, "the request has had its maximum of attempts");
  }
  if (query.candidates.empty()) {
    return Refuse(reason, RetryCode::kNoReplica, "no replica can serve the request");
  }

  // The replica with the fewest prior attempts is chosen, so that every replica is tried once before one is
  // tried again; among equals, the router's order decides. A replica that could not answer in time is
  // skipped.
  const RetryCandidate* chosen = nullptr;
  for (const RetryCandidate& candidate : query.candidates) {
    if (query.now + Backoff(candidate.prior_attempts) + candidate.first_token >= query.deadline) continue;
    if (chosen == nullptr || candidate.prior_attempts < chosen->prior_attempts) chosen = &candidate;
  }
  if (chosen == nullptr) return Refuse(reason, RetryCode::kDeadline, "no replica can answer in time");
  if (!budget->Take()) return Refuse(reason, RetryCode::kBudgetExhausted, "the retry budget is used up");
  return RetryDecision{chosen->replica, Backoff(chosen->prior_attempts)};
}

std::optional<uint64_t> RetryPolicy::DecideHedge(const HedgeQuery& query, HedgeBudget* budget,
                                                 RetryReason* reason) const {
  if (!query.entry_vm) return Refuse(reason, RetryCode::kNotEntryVm, "only the entry VM hedges");
  if (!query.idempotent) return Refuse(reason, RetryCode::kNotIdempotent, "the call must not be repeated");
  if (!query.class_allows_hedges) {
    return Refuse(reason, RetryCode::kClassNotHedged, "the class does not allow hedging");
  }
  if (query.response_started) return Refuse(reason, RetryCode::kResponseStarted, "the response has begun");
  if (query.attempts_open != 1) {
    return Refuse(reason, RetryCode::kTooManyAttempts, "a hedge needs exactly one open attempt");
  }
  if (!query.delay || query.now < query.started + *query.delay) {
    return Refuse(reason, RetryCode::kBeforeHedgeDelay, "the hedge delay has not passed");
  }
  const RetryCandidate* chosen = nullptr;
  bool any_untried = false;
  for (const RetryCandidate& candidate : query.candidates) {
    if (candidate.prior_attempts > 0) continue;
    any_untried = true;
    if (query.now + candidate.first_token >= query.deadline) continue;
    chosen = &candidate;
    break;
  }
  if (!any_untried) return Refuse(reason, RetryCode::kNoReplica, "every replica has already been tried");
  if (chosen == nullptr) return Refuse(reason, RetryCode::kDeadline, "no replica can answer in time");
  if (!budget->Take()) return Refuse(reason, RetryCode::kBudgetExhausted, "the hedge budget is used up");
  return chosen->replica;
}

base::Duration RetryPolicy::Backoff(uint32_t prior_attempts) const {
  if (prior_attempts == 0) return base::Duration{0};
  const uint32_t doublings = std::min<uint32_t>(prior_attempts - 1, 20);
  return std::min(limits_.max_backoff, limits_.base_backoff * (int64_t{1} << doublings));
}

}  // namespace cornelplank::retry
