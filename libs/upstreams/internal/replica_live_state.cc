#include "libs/upstreams/internal/replica_live_state.h"

#include <algorithm>

namespace cornelplank::upstreams {

bool ReplicaLiveState::ProbeDue(base::TimePoint now) const {
  const int64_t retry_at = retry_at_.load(std::memory_order_acquire);
  return retry_at != 0 && Count(now) >= retry_at && !probing_.load(std::memory_order_relaxed);
}

LastReportedLoad ReplicaLiveState::Load() const {
  const uint64_t load = load_.load(std::memory_order_relaxed);
  return LastReportedLoad{static_cast<uint32_t>(load >> 32U), static_cast<uint32_t>(load & 0xffffffffU),
                          own_included_.load(std::memory_order_relaxed),
                          base::TimePoint{base::Duration{measured_.load(std::memory_order_relaxed)}}};
}

double ReplicaLiveState::RampShare(base::TimePoint now) const {
  const int64_t from = ramp_from_.load(std::memory_order_relaxed);
  if (from == 0) return 1;
  const double elapsed = static_cast<double>(Count(now) - from);
  const double whole = static_cast<double>(base::Duration{kRampTime}.count());
  return std::clamp(elapsed / whole, kRampStartShare, 1.0);
}

void ReplicaLiveState::SetLeaving(LeavingSource source, bool leaving) {
  if (leaving) {
    leaving_.fetch_or(source, std::memory_order_seq_cst);
  } else {
    leaving_.fetch_and(static_cast<uint8_t>(~source), std::memory_order_seq_cst);
  }
}

void ReplicaLiveState::Eject(base::TimePoint retry_at) {
  retry_at_.store(std::max<int64_t>(Count(retry_at), 1), std::memory_order_release);
}

void ReplicaLiveState::SetLoad(const LastReportedLoad& load) {
  load_.store(static_cast<uint64_t>(load.running) << 32U | load.queued, std::memory_order_relaxed);
  own_included_.store(load.own_included, std::memory_order_relaxed);
  measured_.store(Count(load.measured), std::memory_order_relaxed);
}

PrefixCacheSummary& ReplicaLiveState::MutableCache() {
  PrefixCacheSummary* cache = cache_.load(std::memory_order_acquire);
  if (cache == nullptr) {
    cache = new PrefixCacheSummary;
    cache_.store(cache, std::memory_order_release);
  }
  return *cache;
}

std::optional<BeginFailure> ReplicaLiveState::Begin(base::TimePoint now, bool* probe) {
  *probe = false;
  in_flight_.fetch_add(1, std::memory_order_seq_cst);
  std::optional<BeginFailure> failure;
  if (Leaving()) {
    failure = BeginFailure::kLeaving;
  } else if (const int64_t retry_at = retry_at_.load(std::memory_order_acquire); retry_at != 0) {
    bool idle = false;
    if (Count(now) >= retry_at && probing_.compare_exchange_strong(idle, true)) {
      *probe = true;
    } else {
      failure = BeginFailure::kEjected;
    }
  }
  if (failure) in_flight_.fetch_sub(1, std::memory_order_seq_cst);
  return failure;
}

void ReplicaLiveState::End(bool probe) {
  in_flight_.fetch_sub(1, std::memory_order_seq_cst);
  if (probe) probing_.store(false, std::memory_order_release);
}

std::optional<InFlightRequest> InFlightRequest::Begin(std::shared_ptr<ReplicaLiveState> live,
                                                      base::TimePoint now, BeginFailure* failure) {
  bool probe = false;
  if (const auto cause = live->Begin(now, &probe)) {
    if (failure != nullptr) *failure = *cause;
    return std::nullopt;
  }
  return InFlightRequest(std::move(live), probe);
}

}  // namespace cornelplank::upstreams
