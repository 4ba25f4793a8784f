#include "libs/admission/internal/admission_controller.h"

#include <algorithm>

namespace cornelplank::admission {

std::string_view AdmissionCodeName(AdmissionCode code) {
  switch (code) {
    case AdmissionCode::kNone:
      return "none";
    case AdmissionCode::kUnknownPool:
      return "no-capacity-here";
    case AdmissionCode::kUnknownClass:
      return "class-unknown";
    case AdmissionCode::kNotLent:
      return "not-lent";
    case AdmissionCode::kLendingSuspended:
      return "home-only";
    case AdmissionCode::kQueueFull:
      return "queue-full";
    case AdmissionCode::kWaitPastDeadline:
      return "wait-past-deadline";
    case AdmissionCode::kDeadline:
      return "deadline-exceeded";
    case AdmissionCode::kDuplicateId:
      return "duplicate-id";
  }
  return "none";
}

AdmissionController::AdmissionController(const AdmissionConfig& config, double node_fraction,
                                         const AdmissionLimits& limits)
    : config_(config), node_fraction_(node_fraction), limits_(limits) {
  ApplyConfig(latest_);
}

void AdmissionController::SetConfig(const AdmissionConfig& config, base::TimePoint now) {
  config_ = config;
  ApplyConfig(Advance(now));
}

void AdmissionController::SetFraction(double node_fraction, base::TimePoint now) {
  node_fraction_ = node_fraction;
  ApplyConfig(Advance(now));
}

void AdmissionController::SetLendingSuspended(bool lending_suspended, base::TimePoint now) {
  if (lending_suspended_ == lending_suspended) return;
  lending_suspended_ = lending_suspended;
  ApplyConfig(Advance(now));
}

void AdmissionController::ApplyConfig(base::TimePoint now) {
  for (const auto& [name, pool_config] : config_.pools) pools_[name];
  for (auto& [name, pool] : pools_) {
    const auto found = config_.pools.find(name);
    const PoolConfig pool_config = found == config_.pools.end() ? PoolConfig{} : found->second;
    pool.Configure(config_, pool_config.owner, pool_config.zone_slots * node_fraction_, lending_suspended_);
    for (const auto& [key, flow] : pool.flows()) {
      if (flow.queues.waiting() == 0) continue;
      if (pool.slots() == 0) {
        RefuseWaiting(flow, AdmissionCode::kUnknownPool, now);
      } else if (!flow.configured) {
        RefuseWaiting(flow, AdmissionCode::kUnknownClass, now);
      } else if (!pool.IsAvailableTo(flow)) {
        RefuseWaiting(flow, lending_suspended_ ? AdmissionCode::kLendingSuspended : AdmissionCode::kNotLent,
                      now);
      }
    }
    Schedule(&pool, now);
  }
}

AdmissionDecision AdmissionController::Submit(const WorkItem& item, base::TimePoint now) {
  now = Advance(now);
  const auto refused = [&](AdmissionCode code) {
    return AdmissionDecision{AdmissionDecisionKind::kRefused, Refusal{item.id, code, base::Duration{0}}};
  };
  if (records_.contains(item.id)) return refused(AdmissionCode::kDuplicateId);
  const auto found = pools_.find(item.pool);
  if (found == pools_.end() || found->second.slots() == 0) return refused(AdmissionCode::kUnknownPool);
  Pool* pool = &found->second;
  Flow* flow = pool->FindFlow(FlowKey{item.partner, item.priority_class});
  if (flow == nullptr) return refused(AdmissionCode::kUnknownClass);
  if (!pool->IsAvailableTo(*flow)) {
    return refused(lending_suspended_ ? AdmissionCode::kLendingSuspended : AdmissionCode::kNotLent);
  }

  pool->Observe(now);
  Record& record = records_[item.id];
  record = Record{item, pool, flow, pool->FindCause(*flow), now, now, 0, false, false};
  if (now >= item.deadline) {
    return AdmissionDecision{AdmissionDecisionKind::kRefused, Refuse(item.id, AdmissionCode::kDeadline, now)};
  }
  flow->queues.Push(item.id, item.client, item.cost, now);
  deadlines_.insert({item.deadline, item.id});
  Schedule(pool, now);
  if (record.running) {
    return AdmissionDecision{
        RemoveGrant(item.id) ? AdmissionDecisionKind::kGranted : AdmissionDecisionKind::kQueued, {}};
  }

  if (flow->queues.waiting() > flow->config.max_queue) {
    const uint64_t victim = flow->queues.NewestOfLongestQueue();
    const Refusal refusal = Refuse(victim, AdmissionCode::kQueueFull, now);
    if (victim == item.id) return AdmissionDecision{AdmissionDecisionKind::kRefused, refusal};
    refusals_.push_back(refusal);
  }
  if (!flow->config.may_wait && now + pool->EstimateWait(*flow, item.client) >= item.deadline) {
    return AdmissionDecision{AdmissionDecisionKind::kRefused,
                             Refuse(item.id, AdmissionCode::kWaitPastDeadline, now)};
  }
  return AdmissionDecision{AdmissionDecisionKind::kQueued, {}};
}

std::optional<Grant> AdmissionController::NextGrant(base::TimePoint now) {
  Advance(now);
  while (!granted_.empty()) {
    const Grant grant = granted_.front();
    granted_.pop_front();
    if (records_.contains(grant.id)) return grant;
  }
  return std::nullopt;
}

std::vector<Refusal> AdmissionController::TakeRefusals(base::TimePoint now) {
  Advance(now);
  return std::exchange(refusals_, {});
}

std::vector<uint64_t> AdmissionController::TakeCancellations(base::TimePoint now) {
  now = Advance(now);
  std::vector<uint64_t> ids;
  for (auto& [name, pool] : pools_) {
    for (const Pool::Victim& victim : pool.Reclaim(limits_.reclaim_after, now)) {
      records_.at(victim.id).cancelling = true;
      displacements_.Add(victim.cause->key, victim.flow->key, Displacement::kCancelled);
      ids.push_back(victim.id);
    }
  }
  return ids;
}

void AdmissionController::Finish(uint64_t id, base::TimePoint now) {
  now = Advance(now);
  const auto found = records_.find(id);
  if (found == records_.end()) return;
  const Record& record = found->second;
  Pool* pool = record.pool;
  pool->Observe(now);
  if (record.running) {
    pool->OnFinish(record.flow, record.item.client, record.start_order, record.cancelling,
                   now - record.started, now);
  } else {
    record.flow->queues.Remove(id, record.item.client, now);
    deadlines_.erase({record.item.deadline, id});
  }
  records_.erase(found);
  Schedule(pool, now);
}

void AdmissionController::Tick(base::TimePoint now) {
  now = Advance(now);
  for (auto& [name, pool] : pools_) {
    pool.Observe(now);
    Schedule(&pool, now);
  }
}

std::vector<AdmissionController::FlowStatus> AdmissionController::Status() const {
  std::vector<FlowStatus> status;
  for (const auto& [name, pool] : pools_) {
    for (const auto& [key, flow] : pool.flows()) {
      status.push_back(FlowStatus{name, key, flow.guaranteed, flow.running(), flow.queues.waiting()});
    }
  }
  return status;
}

size_t AdmissionController::Slots(const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.slots();
}

// Refuses waiting items whose deadline has passed. Returns the latest time of any call, so that time never
// runs backwards inside the controller.
base::TimePoint AdmissionController::Advance(base::TimePoint now) {
  latest_ = std::max(latest_, now);
  while (!deadlines_.empty() && deadlines_.begin()->first <= latest_) {
    refusals_.push_back(Refuse(deadlines_.begin()->second, AdmissionCode::kDeadline, latest_));
  }
  return latest_;
}

void AdmissionController::Schedule(Pool* pool, base::TimePoint now) {
  while (const auto next = pool->PopNext(now)) {
    const auto [flow, id] = *next;
    Record& record = records_.at(id);
    deadlines_.erase({record.item.deadline, id});
    record.running = true;
    record.started = now;
    record.start_order = next_start_order_++;
    pool->OnStart(flow, id, record.start_order, record.item.cancellable);
    const base::Duration waited = now - record.submitted;
    const bool borrowed = static_cast<double>(flow->running()) > flow->guaranteed;
    if (waited > base::Duration{0}) {
      displacements_.Add(record.cause, flow->key, Displacement::kDelayed, waited);
    }
    granted_.push_back(Grant{id, borrowed, waited});
  }
}

// Refuses an item that is not running: counts the displacement and erases the item.
Refusal AdmissionController::Refuse(uint64_t id, AdmissionCode code, base::TimePoint now) {
  const auto found = records_.find(id);
  const Record& record = found->second;
  const auto wait = record.pool->EstimateWait(*record.flow, record.item.client);
  const auto retry_after = std::clamp(wait, limits_.min_retry_after, limits_.max_retry_after);
  displacements_.Add(record.cause, record.flow->key, Displacement::kRefused);
  record.flow->queues.Remove(id, record.item.client, now);
  deadlines_.erase({record.item.deadline, id});
  records_.erase(found);
  return Refusal{id, code, retry_after};
}

void AdmissionController::RefuseWaiting(const Flow& flow, AdmissionCode code, base::TimePoint now) {
  std::vector<uint64_t> ids;
  for (const auto& [id, record] : records_) {
    if (record.flow == &flow && !record.running) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const uint64_t id : ids) refusals_.push_back(Refuse(id, code, now));
}

bool AdmissionController::RemoveGrant(uint64_t id) {
  const auto found =
      std::find_if(granted_.begin(), granted_.end(), [&](const Grant& grant) { return grant.id == id; });
  if (found == granted_.end()) return false;
  granted_.erase(found);
  return true;
}

}  // namespace cornelplank::admission
