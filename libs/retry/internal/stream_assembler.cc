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

AssemblyResult StreamAssembler::Accept(const TokenChunk& chunk, std::vector<std::string>* out) {
  if (!IsCurrent(chunk.attempt)) return AssemblyResult::kNotCurrent;
  if (chunk.first > next_) {
    broken_ = true;
    return AssemblyResult::kGap;
  }
  const uint64_t known = next_ - chunk.first;
  if (known >= chunk.tokens.size()) return AssemblyResult::kNoNewTokens;
  out->insert(out->end(), chunk.tokens.begin() + static_cast<std::ptrdiff_t>(known), chunk.tokens.end());
  next_ = chunk.first + chunk.tokens.size();
  return AssemblyResult::kNewTokens;
}

AssemblyResult StreamAssembler::End(AttemptId attempt, uint64_t total) {
  if (!IsCurrent(attempt)) return AssemblyResult::kNotCurrent;
  if (total != next_) {
    broken_ = true;
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
