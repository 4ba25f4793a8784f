#include "libs/retry/internal/stream_assembler.h"

namespace cornelplank::retry {

bool StreamAssembler::SetSource(AttemptId attempt) {
  if (state_ != StreamState::kOpen) return false;
  if (has_source_ && (attempt.request != source_.request || attempt.number <= source_.number)) return false;
  source_ = attempt;
  has_source_ = true;
  broken_ = false;
  return true;
}

StreamEvent StreamAssembler::Accept(const TokenChunk& chunk, std::vector<std::string>* out) {
  if (!IsCurrent(chunk.attempt)) return StreamEvent::kForeign;
  if (chunk.first > next_) {
    broken_ = true;
    return StreamEvent::kGap;
  }
  const uint64_t known = next_ - chunk.first;
  if (known >= chunk.tokens.size()) return StreamEvent::kOld;
  out->insert(out->end(), chunk.tokens.begin() + static_cast<std::ptrdiff_t>(known), chunk.tokens.end());
  next_ = chunk.first + chunk.tokens.size();
  return StreamEvent::kPassed;
}

StreamEvent StreamAssembler::End(AttemptId attempt, uint64_t total) {
  if (!IsCurrent(attempt)) return StreamEvent::kForeign;
  if (total != next_) {
    broken_ = true;
    return StreamEvent::kGap;
  }
  state_ = StreamState::kComplete;
  return StreamEvent::kEnded;
}

bool StreamAssembler::Fail() {
  if (state_ != StreamState::kOpen) return false;
  state_ = StreamState::kFailed;
  return true;
}

}  // namespace cornelplank::retry
