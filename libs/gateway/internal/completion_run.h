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

/// One completion at its entry VM, from the first attempt to the whole answer: retries, hedges, resumption
/// and the assembly of the stream. Used by one thread at a time.
class CompletionRun {
 public:
  CompletionRun(SharedState* shared, const Dispatcher* dispatcher, GatewayRequest request);
  ~CompletionRun();

  /// Runs until the answer has begun (a stream) or is whole. False when it failed; see `failure()`.
  bool Begin();
  /// Moves a stream on until there are bytes to pass on, or it has ended. False when it failed.
  bool Advance();

  /// Bytes to pass on to the client; taking them empties the buffer.
  std::string TakeOutput() { return std::exchange(output_, {}); }
  bool has_output() const { return !output_.empty(); }
  bool ended() const { return ended_; }
  const Failure& failure() const { return failure_; }
  const AttemptPlace& place() const { return place_; }
  const GatewayRequest& request() const { return request_; }

 private:
  struct ActiveAttempt {
    retry::AttemptId id;
    std::string wire_id;
    std::unique_ptr<RunningAttempt> attempt;
    http::SseParser parser;
    std::string body;  // of a whole answer
    base::TimePoint started;
  };

  bool StartAttempt(retry::AttemptKind kind, const RouteChoice& choice, Failure* failure);
  /// Opens the first attempt that a replica or zone takes. Refusals before anything was sent cost no budget.
  bool StartOnFirstAvailable(retry::AttemptKind kind, Failure* failure);
  std::optional<RouteChoice> ChooseRouteForRetry(Failure* failure);
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
  std::vector<std::unique_ptr<ActiveAttempt>> active_;
  std::string stream_fault_;  // set while a stream is parsed
  AttemptPlace place_;
  std::string output_;
  Failure failure_;
  bool first_token_seen_ = false;
  bool ended_ = false;
  bool failed_ = false;
};

}  // namespace cornelplank::gateway
