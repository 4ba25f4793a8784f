#include "standins/relay/core/pipe.h"

#include <algorithm>

namespace cornelplank::standins::relay {

void Pipe::StartDropping() {
  dropping_ = true;
  chunks_.clear();
  first_offset_ = 0;
  waiting_ = 0;
  end_due_.reset();
}

void Pipe::Push(std::string_view bytes, base::TimePoint now) {
  if (dropping_ || bytes.empty()) return;
  // After the delay was shortened, later bytes must not be written before earlier ones.
  const base::TimePoint due = std::max(now + delay_, chunks_.empty() ? now : chunks_.back().due);
  chunks_.push_back({due, std::string(bytes)});
  waiting_ += bytes.size();
}

void Pipe::PushEnd(base::TimePoint now) {
  if (dropping_) return;
  end_due_ = std::max(now + delay_, chunks_.empty() ? now : chunks_.back().due);
}

std::string_view Pipe::ReadyBytes(base::TimePoint now) const {
  if (chunks_.empty() || chunks_.front().due > now) return {};
  return std::string_view(chunks_.front().bytes).substr(first_offset_);
}

void Pipe::Pop(size_t count) {
  waiting_ -= count;
  first_offset_ += count;
  if (first_offset_ < chunks_.front().bytes.size()) return;
  chunks_.pop_front();
  first_offset_ = 0;
}

bool Pipe::EndReady(base::TimePoint now) const { return chunks_.empty() && end_due_ && *end_due_ <= now; }

std::optional<base::TimePoint> Pipe::NextDue(base::TimePoint now) const {
  const std::optional<base::TimePoint> due = chunks_.empty() ? end_due_ : chunks_.front().due;
  return due && *due > now ? due : std::nullopt;
}

}  // namespace cornelplank::standins::relay
