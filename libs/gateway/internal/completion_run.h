#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/work.h"
#include "libs/http/http.h"
#include "libs/retry/retry.h"

namespace cornelplank::gateway {

/// One completion at its entry VM, from the first attempt to the whole answer: retries, hedges, resumption
/// and the assembly of the stream. Used by one thread at a time.
class CompletionRun {
 public:
  CompletionRun(Core* core, const Dispatcher* dispatcher, Work work);
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
  const Work& work() const { return work_; }

 private:
  struct Active {
    retry::AttemptId id;
    std::string name;
    std::unique_ptr<Attempt> attempt;
    http::SseParser parser;
    std::string body;  // of a whole answer
    base::TimePoint started;
  };

  bool Start(retry::AttemptKind kind, const Choice& choice, Failure* failure);
  /// Opens the first attempt that a replica or zone takes. Refusals before anything was sent cost no budget.
  bool StartAnywhere(retry::AttemptKind kind, Failure* failure);
  std::optional<Choice> ChooseNext(Failure* failure);
  bool Step();
  bool Handle(Active* active, AttemptEvent event);
  bool OnSse(Active* active, const http::SseEvent& event);
  bool OnToken(Active* active, const http::SseEvent& event);
  bool OnWholeAnswer(Active* active);
  bool OnFailure(const Active* active, Failure failure);
  bool Retry(const Failure& failure);
  void MaybeHedge();
  void Accepted(Active* active);
  void Remove(retry::AttemptId id);
  bool Fail(Failure failure);

  Core* core_;
  const Dispatcher* dispatcher_;
  const Work work_;
  const base::TimePoint started_;
  const uint64_t request_number_;
  const retry::RetryPolicy policy_;
  retry::AttemptTracker tracker_;
  retry::StreamAssembler assembler_;
  routing::ExcludeSet excluded_;
  std::vector<std::unique_ptr<Active>> active_;
  std::string broken_reason_;  // set while a stream is parsed
  AttemptPlace place_;
  std::string output_;
  Failure failure_;
  bool first_token_seen_ = false;
  bool ended_ = false;
  bool failed_ = false;
};

}  // namespace cornelplank::gateway
