#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libs/retry/internal/attempt_tracker.h"

namespace cornelplank::retry {

/// Consecutive tokens of a response, as one attempt delivered them.
struct TokenChunk {
  AttemptId attempt;
  uint64_t first = 0;  // index of the first of `tokens` in the response, from 0
  std::vector<std::string> tokens;
};

/// What the caller does after a step of the assembler.
enum class AssemblyResult {
  kNewTokens,    // pass the new tokens to the client
  kNoNewTokens,  // only tokens that the client already has; drop them
  kNotCurrent,   // not from the current attempt, or the stream has ended; drop it
  kGap,          // tokens are missing: cancel the attempt, and resume the stream or fail it
  kEnded,        // pass the terminal event to the client
};

enum class StreamState {
  kOpen,
  kComplete,  // the client gets the terminal event
  kFailed,    // the client gets an error event instead of the terminal event
};

/// Assembles one response from the streams of successive attempts. Passes each token to the client once, in
/// order, and the terminal event only after the last token. Stores no tokens. Not thread-safe.
class StreamAssembler {
 public:
  /// Makes `attempt` the one whose tokens are passed on. Its stream should start at next_index(); tokens
  /// before that are dropped. Returns false and changes nothing when the stream has ended, or when the
  /// attempt is not a later one of the same request than the current one.
  bool SetCurrentAttempt(AttemptId attempt);

  /// Appends the tokens of `chunk` that the client does not have yet to `out`.
  AssemblyResult Accept(const TokenChunk& chunk, std::vector<std::string>* out);
  /// Handles the attempt's terminal event. `total` is the number of tokens in the whole response.
  AssemblyResult End(AttemptId attempt, uint64_t total);
  /// Ends the stream as failed. Returns false when it has already ended.
  bool Fail();

  /// The index of the next token to pass on, which a resumed attempt sends as `resume_tokens`.
  uint64_t next_index() const { return next_index_; }
  StreamState state() const { return state_; }

 private:
  bool IsCurrent(AttemptId attempt) const {
    return state_ == StreamState::kOpen && has_current_ && !current_has_gap_ && attempt == current_;
  }

  StreamState state_ = StreamState::kOpen;
  bool has_current_ = false;
  bool current_has_gap_ = false;  // the current attempt has skipped tokens
  AttemptId current_;             // the attempt whose tokens are passed on
  uint64_t next_index_ = 0;
};

}  // namespace cornelplank::retry
