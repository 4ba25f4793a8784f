#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "libs/base/base.h"
#include "libs/retry/internal/budget.h"

namespace cornelplank::retry {

enum class RetryCode {
  kNotEntryVm,        // a forwarded request; only the entry VM repeats
  kNotIdempotent,     // must not be repeated, whatever is known of the first attempt
  kAnswered,          // an upstream ran it and answered; its answer is the answer
  kNotResumable,      // part of the response was passed on and cannot be continued elsewhere
  kTooManyAttempts,   // the request has had its greatest number of attempts
  kNoReplica,         // no replica can serve it
  kDeadline,          // the next attempt could not bring a first token before the deadline
  kBudgetExhausted,   // the budget of extra attempts is used up
  kResponseStarted,   // hedges only: the response has begun
  kBeforeHedgeDelay,  // hedges only: the hedge delay has not passed or is not known
  kClassNotHedged,    // hedges only: the class does not hedge
};
using RetryReason = base::Reason<RetryCode>;

/// A replica that could take the next attempt.
struct RetryCandidate {
  uint64_t replica = 0;
  uint32_t prior_attempts = 0;    // attempts of this request that it has had
  base::Duration first_token{0};  // estimated time to the first token
};

/// What is known of the request when an attempt has failed.
struct RetryQuery {
  bool entry_vm = true;
  bool idempotent = false;
  base::Outcome outcome = base::Outcome::kUnknown;  // of the failed attempt
  bool response_partly_sent = false;                // the client has received a part of the response
  bool resumable = false;                           // a stream of an engine that resumes after N tokens
  uint32_t attempts = 1;                            // attempts so far
  base::TimePoint now;
  base::TimePoint deadline;
  std::span<const RetryCandidate> candidates;  // best first, as the router orders them
};

struct RetryDecision {
  uint64_t replica = 0;
  base::Duration backoff{0};  // wait before the attempt; 0 on a replica that was not prior_attempts
};

struct HedgeQuery {
  bool entry_vm = true;
  bool idempotent = false;
  bool class_allows_hedges = false;
  bool response_started = false;
  uint32_t attempts_open = 1;
  base::TimePoint started;  // of the first attempt
  base::TimePoint now;
  base::TimePoint deadline;
  std::optional<base::Duration> delay;         // HedgeDelay::Delay()
  std::span<const RetryCandidate> candidates;  // best first
};

struct RetryLimits {
  uint32_t max_attempts = 4;
  // The first wait before a replica is prior_attempts again; doubles with each attempt that it has had.
  base::Duration base_backoff = std::chrono::milliseconds(50);
  base::Duration max_backoff = std::chrono::seconds(2);
};

/// Decides whether a request gets another attempt and where. Holds no state but its limits; thread-safe as
/// long as the budgets are guarded by the caller.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetryLimits& limits = {}) : limits_(limits) {}

  /// Takes from the budget only when it returns a decision. Fails with any code but the hedges' own.
  std::optional<RetryDecision> Decide(const RetryQuery& query, RetryBudget* budget,
                                      RetryReason* reason) const;

  /// The replica for a hedge. Fails with kNotEntryVm, kNotIdempotent, kClassNotHedged, kResponseStarted,
  /// kTooManyAttempts, kBeforeHedgeDelay, kNoReplica, kDeadline or kBudgetExhausted.
  std::optional<uint64_t> DecideHedge(const HedgeQuery& query, HedgeBudget* budget,
                                      RetryReason* reason) const;

 private:
  base::Duration Backoff(uint32_t prior_attempts) const;

  RetryLimits limits_;
};

}  // namespace cornelplank::retry
