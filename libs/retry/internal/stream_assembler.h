#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libs/retry/internal/attempt_tracker.h"

namespace cornelplank::retry {

/// Tokens of a stream as an attempt delivered them.
struct TokenChunk {
  AttemptId attempt;
  uint64_t first = 0;  // index of the first token in the whole response, from 0
  std::vector<std::string> tokens;
};

enum class AssemblyResult {
  kNewTokens,    // new tokens are to be passed on
  kNoNewTokens,  // only tokens that were passed on before; dropped
  kNotCurrent,   // not from the current attempt, or the stream has ended; dropped
  kGap,          // tokens are missing: the attempt is broken; cancel it and resume, or fail
  kEnded,        // the terminal event is to be passed on
};

enum class StreamState {
  kOpen,
  kComplete,  // the terminal event was passed on
  kFailed,    // the client gets the marked failure and no terminal event
};

/// Assembles one response from the streams of successive attempts. Passes each token on once, in order, and
/// the terminal event only after the last token. Keeps no tokens. Not thread-safe.
class StreamAssembler {
 public:
  /// The attempt whose tokens count from now on. It was asked to continue after `next_index()` tokens. An
  /// attempt with a lower number than the current one is ignored. False when ignored.
  bool SetSource(AttemptId attempt);

  /// Appends the tokens to pass on to `out`.
  AssemblyResult Accept(const TokenChunk& chunk, std::vector<std::string>* out);
  /// The attempt's terminal event; `total` is the number of tokens in the whole response.
  AssemblyResult End(AttemptId attempt, uint64_t total);
  /// Ends the stream as failed. False when it has already ended.
  bool Fail();

  /// Index of the next_index token to pass on; a resumed attempt asks for `resume_tokens` = next_index().
  uint64_t next_index() const { return next_; }
  StreamState state() const { return state_; }

 private:
  bool IsCurrent(AttemptId attempt) const {
    return state_ == StreamState::kOpen && has_source_ && !broken_ && attempt == source_;
  }

  StreamState state_ = StreamState::kOpen;
  bool has_source_ = false;
  bool broken_ = false;  // the current source has left a gap
  AttemptId source_;
  uint64_t next_ = 0;
};

}  // namespace cornelplank::retry
