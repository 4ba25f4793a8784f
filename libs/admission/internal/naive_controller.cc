#include "libs/admission/internal/naive_controller.h"

#include <algorithm>
#include <utility>

namespace cornelplank::admission {

AdmissionDecision NaiveController::Submit(const WorkItem& item, base::TimePoint now) {
  if (running_.size() < slots_ && queue_.empty()) {
    running_[item.id] = true;
    return {AdmissionDecisionKind::kGranted, {}};
  }
  if (queue_.size() >= max_queue_) {
    return {AdmissionDecisionKind::kRefused, {item.id, AdmissionCode::kQueueFull, std::chrono::seconds(1)}};
  }
  queue_.push_back(Waiting{item.id, now, item.deadline});
  return {AdmissionDecisionKind::kQueued, {}};
}

std::optional<Grant> NaiveController::NextGrant(base::TimePoint now) {
  while (running_.size() < slots_ && !queue_.empty()) {
    const Waiting next = queue_.front();
    queue_.pop_front();
    if (next.deadline <= now) {
      refusals_.push_back({next.id, AdmissionCode::kDeadline, std::chrono::seconds(1)});
      continue;
    }
    running_[next.id] = true;
    return Grant{next.id, false, now - next.submitted};
  }
  return std::nullopt;
}

std::vector<Refusal> NaiveController::TakeRefusals(base::TimePoint) { return std::exchange(refusals_, {}); }

void NaiveController::Finish(uint64_t id, base::TimePoint) {
  if (running_.erase(id) > 0) return;
  std::erase_if(queue_, [&](const Waiting& waiting) { return waiting.id == id; });
}

}  // namespace cornelplank::admission
