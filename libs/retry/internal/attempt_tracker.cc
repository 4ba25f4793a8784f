#include "libs/retry/internal/attempt_tracker.h"

#include <algorithm>

namespace cornelplank::retry {

std::optional<AttemptId> AttemptTracker::Start(uint64_t replica, AttemptKind kind, base::TimePoint now) {
  if (ended_) return std::nullopt;
  if (!idempotent_ && !records_.empty()) return std::nullopt;
  // While a winner is running, the response of a further attempt would be dropped.
  if (winner_ != 0) return std::nullopt;
  const AttemptId id{request_, static_cast<uint32_t>(records_.size()) + 1};
  records_.push_back(Record{AttemptInfo{id, kind, replica, now}, State::kOpen, false});
  return id;
}

Disposition AttemptTracker::OnPart(AttemptId id) {
  const Record* record = FindRecord(id);
  const Disposition disposition = DispositionFor(record);
  if (disposition == Disposition::kAccept && winner_ == 0) {
    winner_ = id.number;
    MarkOthersLost(id.number);
  }
  return disposition;
}

Disposition AttemptTracker::OnEnd(AttemptId id) {
  const Disposition disposition = OnPart(id);
  if (disposition == Disposition::kAccept) {
    FindRecord(id)->state = State::kEnded;
    ended_ = true;
  }
  return disposition;
}

Disposition AttemptTracker::OnFailure(AttemptId id) {
  Record* record = FindRecord(id);
  const Disposition disposition = DispositionFor(record);
  if (disposition != Disposition::kAccept) return disposition;
  record->state = State::kFailed;
  if (winner_ == id.number) winner_ = 0;
  return disposition;
}

void AttemptTracker::Close() {
  MarkOthersLost(0);
  ended_ = true;
}

std::vector<AttemptInfo> AttemptTracker::TakeAttemptsToCancel() {
  std::vector<AttemptInfo> lost;
  for (Record& record : records_) {
    if (record.state != State::kLost || record.handed_out) continue;
    record.handed_out = true;
    lost.push_back(record.attempt);
  }
  return lost;
}

uint32_t AttemptTracker::open() const {
  return static_cast<uint32_t>(std::count_if(
      records_.begin(), records_.end(), [](const Record& record) { return record.state == State::kOpen; }));
}

std::optional<AttemptId> AttemptTracker::winner() const {
  if (winner_ == 0) return std::nullopt;
  return AttemptId{request_, winner_};
}

const AttemptInfo* AttemptTracker::Find(AttemptId id) const {
  if (id.request != request_ || id.number == 0 || id.number > records_.size()) return nullptr;
  return &records_[id.number - 1].attempt;
}

uint32_t AttemptTracker::AttemptsOn(uint64_t replica) const {
  return static_cast<uint32_t>(std::count_if(records_.begin(), records_.end(), [&](const Record& record) {
    return record.attempt.replica == replica;
  }));
}

AttemptTracker::Record* AttemptTracker::FindRecord(AttemptId id) {
  if (id.request != request_ || id.number == 0 || id.number > records_.size()) return nullptr;
  return &records_[id.number - 1];
}

Disposition AttemptTracker::DispositionFor(const Record* record) const {
  if (record == nullptr) return Disposition::kUnknownAttempt;
  if (record->state == State::kEnded) return Disposition::kDuplicate;
  return record->state == State::kOpen ? Disposition::kAccept : Disposition::kLate;
}

void AttemptTracker::MarkOthersLost(uint32_t winner) {
  for (Record& record : records_) {
    if (record.state == State::kOpen && record.attempt.id.number != winner) record.state = State::kLost;
  }
}

}  // namespace cornelplank::retry
