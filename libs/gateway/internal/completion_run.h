#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/gateway_request.h"
#include "libs/http/http.h"
#include "libs/retry/retry.h"

namespace cornelplank::gateway {

/// Runs one completion at its entry VM, from the first attempt to the end of the answer. Retries, hedges and
/// resumes attempts, and assembles one stream from them. Counts the result in the metrics when it is
/// destroyed. Used by one thread at a time.
class CompletionRun {
 public:
  CompletionRun(SharedState* shared, const Dispatcher* dispatcher, GatewayRequest request);
  ~CompletionRun();

  /// Runs until the first bytes of a stream, or the complete answer of a request without streaming, are
  /// available. Returns false when the request failed; see `failure()`.
  bool Begin();
  /// Blocks until the stream has more output or has ended. Returns false when the request failed.
  bool Advance();

  /// Returns the buffered bytes for the client and empties the buffer.
  std::string TakeOutput() { return std::exchange(output_, {}); }
  bool has_output() const { return !output_.empty(); }
  /// Whether the answer is complete; the last bytes may still be in the buffer.
  bool ended() const { return ended_; }
  const Failure& failure() const { return failure_; }
  /// Where the attempt runs that delivers the answer; empty before its first part.
  const AttemptPlace& place() const { return place_; }
  const GatewayRequest& request() const { return request_; }

 private:
  struct ActiveAttempt {
    retry::AttemptId id;
    std::string wire_id;
    std::unique_ptr<RunningAttempt> attempt;
    http::SseParser parser;
    std::string body;  // of an answer without streaming
    base::TimePoint started;
  };

  /// Opens one attempt. Returns false when the target refuses it: `failure` is set, and the replica or its
  /// whole zone is excluded from later choices. Also false when the request allows no further attempt.
  bool StartAttempt(retry::AttemptKind kind, const RouteChoice& choice, Failure* failure);
  /// Tries targets in turn until one accepts the attempt, and returns false after kMaxConsecutiveRefusals of
  /// them. Refusals before anything was sent use no retry budget.
  bool StartOnFirstAvailable(retry::AttemptKind kind, Failure* failure);
  /// Chooses a target that was not tried yet, or else one that was. Returns nothing and sets `failure` when
  /// there is none.
  std::optional<RouteChoice> ChooseRouteForRetry(Failure* failure);
  // The following functions return false when the request has failed, except that the SSE callbacks return
  // false to stop the parser.
  /// Waits for the next event of each open attempt in turn and handles it.
  bool PollAttempts();
  bool HandleEvent(ActiveAttempt* active, AttemptEvent event);
  bool OnSseEvent(ActiveAttempt* active, const http::SseEvent& event);
  bool OnToken(ActiveAttempt* active, const http::SseEvent& event);
  bool OnCompleteAnswer(ActiveAttempt* active);
  bool OnFailure(const ActiveAttempt* active, Failure failure);
  bool Retry(const Failure& failure);
  void MaybeHedge();
  void OnPartAccepted(ActiveAttempt* active);
  void RemoveAttempt(retry::AttemptId id);
  bool Fail(Failure failure);

  SharedState* shared_;
  const Dispatcher* dispatcher_;
  const GatewayRequest request_;
  const base::TimePoint started_;
  const uint64_t request_hash_;
  const retry::RetryPolicy policy_;
  retry::AttemptTracker tracker_;
  retry::StreamAssembler assembler_;
  routing::ExcludeSet excluded_;
  std::vector<std::unique_ptr<ActiveAttempt>> active_;  // one, or two while a hedge is open
  std::string stream_fault_;  // why the parser was stopped; set by OnSseEvent and OnToken
  AttemptPlace place_;
  std::string output_;
  Failure failure_;
  bool first_token_seen_ = false;
  bool may_have_run_ = false;  // an attempt failed that an upstream may have run
  bool ended_ = false;
  bool failed_ = false;
};

}  // namespace cornelplank::gateway
