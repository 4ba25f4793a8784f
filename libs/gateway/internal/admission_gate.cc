#include "libs/gateway/internal/admission_gate.h"

#include <utility>

namespace cornelplank::gateway {

AdmissionSlot::~AdmissionSlot() { gate_->Release(id_); }

AdmissionGate::AdmissionGate(const base::Clock& clock) : clock_(clock), controller_({}, 1.0) {}

AdmissionGate::Result AdmissionGate::Acquire(admission::WorkItem item) {
  std::unique_lock<std::mutex> lock(mutex_);
  item.id = next_id_++;
  const uint64_t id = item.id;
  const base::TimePoint deadline = item.deadline;
  ++offered_[{item.partner, item.priority_class}];
  Waiter& waiter = waiters_[id];
  const admission::AdmissionDecision decision = controller_.Submit(item, clock_.Now());
  if (decision.kind == admission::AdmissionDecisionKind::kRefused) {
    waiters_.erase(id);
    ApplyDecisions();
    return {nullptr, false, decision.refusal};
  }
  waiter.granted = decision.kind == admission::AdmissionDecisionKind::kGranted;
  ApplyDecisions();
  const bool waited = !waiter.granted && !waiter.refused;
  // The controller's tick refuses the item at its deadline. The extra second is a fallback for a missed tick.
  const auto limit = deadline - clock_.Now() + std::chrono::seconds{1};
  changed_.wait_for(lock, limit, [&waiter] { return waiter.granted || waiter.refused; });
  if (!waiter.granted) {
    admission::Refusal refusal = waiter.refusal;
    if (!waiter.refused) refusal = {id, admission::AdmissionCode::kDeadline};
    controller_.Finish(id, clock_.Now());
    waiters_.erase(id);
    ApplyDecisions();
    return {nullptr, waited, refusal};
  }
  return {std::make_unique<AdmissionSlot>(this, id, waiter.borrowed, waiter.reclaimed), waited, {}};
}

void AdmissionGate::ApplyDecisions() {
  const base::TimePoint now = clock_.Now();
  bool changed = false;
  while (const auto grant = controller_.NextGrant(now)) {
    const auto found = waiters_.find(grant->id);
    if (found == waiters_.end()) continue;
    found->second.granted = true;
    found->second.borrowed = grant->borrowed;
    changed = true;
  }
  for (const admission::Refusal& refusal : controller_.TakeRefusals(now)) {
    const auto found = waiters_.find(refusal.id);
    if (found == waiters_.end()) continue;
    found->second.refused = true;
    found->second.refusal = refusal;
    changed = true;
  }
  for (const uint64_t id : controller_.TakeCancellations(now)) {
    const auto found = waiters_.find(id);
    if (found != waiters_.end()) found->second.reclaimed->store(true, std::memory_order_release);
  }
  if (changed) changed_.notify_all();
}

void AdmissionGate::Release(uint64_t id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  controller_.Finish(id, clock_.Now());
  waiters_.erase(id);
  ApplyDecisions();
}

void AdmissionGate::SetConfig(const admission::AdmissionConfig& config) {
  const std::lock_guard<std::mutex> lock(mutex_);
  controller_.SetConfig(config, clock_.Now());
  ApplyDecisions();
}

void AdmissionGate::SetFraction(double fraction) {
  const std::lock_guard<std::mutex> lock(mutex_);
  controller_.SetFraction(fraction, clock_.Now());
  ApplyDecisions();
}

void AdmissionGate::SetLendingSuspended(bool lending_suspended) {
  const std::lock_guard<std::mutex> lock(mutex_);
  controller_.SetLendingSuspended(lending_suspended, clock_.Now());
  ApplyDecisions();
}

void AdmissionGate::Tick() {
  const std::lock_guard<std::mutex> lock(mutex_);
  controller_.Tick(clock_.Now());
  ApplyDecisions();
}

std::vector<admission::AdmissionController::FlowStatus> AdmissionGate::Status() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return controller_.Status();
}

std::map<admission::DisplacementCounters::Key, admission::DisplacementCounters::Counts>
AdmissionGate::Displacements() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return controller_.displacements().entries();
}

std::map<admission::FlowKey, uint64_t> AdmissionGate::TakeOfferedCounts() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(offered_, {});
}

}  // namespace cornelplank::gateway
