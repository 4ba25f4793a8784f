#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "libs/base/base.h"
#include "libs/retry/internal/budget.h"

namespace cornelplank::retry {

/// Why a request gets no further attempt.
enum class RetryCode {
  kNotEntryVm,        // a forwarded request: only the VM that the client called makes further attempts
  kNotIdempotent,     // must not be repeated, whatever is known of the first attempt
  kAnswered,          // an upstream has run and answered the request, and its answer is final
  kNotResumable,      // the client has received a part of the response, which no other replica can continue
  kTooManyAttempts,   // the request has had its maximum of attempts; for hedges: not exactly one is open
  kNoReplica,         // no replica can serve it; for hedges: every replica has already been tried
  kDeadline,          // the next attempt could not bring a first token before the deadline
  kBudgetExhausted,   // the budget of extra attempts is used up
  kResponseStarted,   // hedges only: the response has begun
  kBeforeHedgeDelay,  // hedges only: the hedge delay has not passed or is not known
  kClassNotHedged,    // hedges only: the priority class does not allow hedging
};
using RetryReason = base::Reason<RetryCode>;

/// A replica that could take the next attempt.
struct RetryCandidate {
  uint64_t replica = 0;           // the caller's key of the replica
  uint32_t prior_attempts = 0;    // attempts of this request that it has had
  base::Duration first_token{0};  // estimated time to the first token
};

/// The state of a request when one of its attempts has failed.
struct RetryQuery {
  bool entry_vm = true;  // this is the VM that the client called
  bool idempotent = false;
  base::Outcome outcome = base::Outcome::kUnknown;  // of the failed attempt
  bool response_partly_sent = false;                // the client has received a part of the response
  bool resumable = false;  // an engine's stream, which another engine can continue after N tokens
  uint32_t attempts = 1;   // started so far
  base::TimePoint now;
  base::TimePoint deadline;
  std::span<const RetryCandidate> candidates;  // best first, as the router orders them
};

/// Where to make the next attempt, and when.
struct RetryDecision {
  uint64_t replica = 0;
  base::Duration backoff{0};  // wait before the attempt; 0 on a replica without prior attempts
};

/// The state of a request that waits for its first token.
struct HedgeQuery {
  bool entry_vm = true;  // this is the VM that the client called
  bool idempotent = false;
  bool class_allows_hedges = false;
  bool response_started = false;
  uint32_t attempts_open = 1;
  base::TimePoint started;  // start of the first attempt
  base::TimePoint now;
  base::TimePoint deadline;
  std::optional<base::Duration> delay;         // from HedgeDelay::Delay()
  std::span<const RetryCandidate> candidates;  // best first, as the router orders them
};

struct RetryLimits {
  uint32_t max_attempts = 4;  // of one request, with its first
  // The wait before the second attempt on a replica; doubles with each further attempt on it.
  base::Duration base_backoff = std::chrono::milliseconds(50);
  base::Duration max_backoff = std::chrono::seconds(2);
};

/// Decides whether a request gets another attempt and on which replica. Thread-safe as long as the caller
/// guards the budgets.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetryLimits& limits = {}) : limits_(limits) {}

  /// Decides about a retry. Takes one attempt from the budget when it returns a decision. Otherwise it
  /// returns nothing and sets any code except the three for hedges only.
  std::optional<RetryDecision> Decide(const RetryQuery& query, RetryBudget* budget,
                                      RetryReason* reason) const;

  /// Returns the replica for a hedge and takes one attempt from the budget. Otherwise it returns nothing and
  /// sets kNotEntryVm, kNotIdempotent, kClassNotHedged, kResponseStarted, kTooManyAttempts,
  /// kBeforeHedgeDelay, kNoReplica, kDeadline or kBudgetExhausted.
  std::optional<uint64_t> DecideHedge(const HedgeQuery& query, HedgeBudget* budget,
                                      RetryReason* reason) const;

 private:
  base::Duration Backoff(uint32_t prior_attempts) const;

  RetryLimits limits_;
};

}  // namespace cornelplank::retry
