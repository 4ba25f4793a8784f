#include "libs/retry/internal/stream_assembler.h"

namespace cornelplank::retry {

bool StreamAssembler::SetCurrentAttempt(AttemptId attempt) {
  if (state_ != StreamState::kOpen) return false;
  if (has_current_ && (attempt.request != current_.request || attempt.number <= current_.number)) {
    return false;
  }
  current_ = attempt;
  has_current_ = true;
  current_has_gap_ = false;
  return true;
}

AssemblyResult StreamAssembler::Accept(const TokenChunk& chunk, std::vector<std::string>* out) {
  if (!IsCurrent(chunk.attempt)) return AssemblyResult::kNotCurrent;
  if (chunk.first > next_index_) {
    current_has_gap_ = true;
    return AssemblyResult::kGap;
  }
  const uint64_t already_passed = next_index_ - chunk.first;
  if (already_passed >= chunk.tokens.size()) return AssemblyResult::kNoNewTokens;
  out->insert(out->end(), chunk.tokens.begin() + static_cast<std::ptrdiff_t>(already_passed),
              chunk.tokens.end());
  next_index_ = chunk.first + chunk.tokens.size();
  return AssemblyResult::kNewTokens;
}

AssemblyResult StreamAssembler::End(AttemptId attempt, uint64_t total) {
  if (!IsCurrent(attempt)) return AssemblyResult::kNotCurrent;
  if (total != next_index_) {
    current_has_gap_ = true;
    return AssemblyResult::kGap;
  }
  state_ = StreamState::kComplete;
  return AssemblyResult::kEnded;
}

bool StreamAssembler::Fail() {
  if (state_ != StreamState::kOpen) return false;
  state_ = StreamState::kFailed;
  return true;
}

}  // namespace cornelplank::retry
