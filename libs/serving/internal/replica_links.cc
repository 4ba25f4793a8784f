#include "libs/serving/internal/replica_links.h"

#include <algorithm>

namespace cornelplank::serving {

void ReplicaLinks::OnConnected(base::TimePoint now) {
  failed_.clear();
  trouble_ = false;
  if (lost_) {
    if (series_ == 0 || now - connected_at_ > kRegainPause) {
      series_ = 0;
      series_at_ = now;
    }
    ++series_;
  }
  connected_at_ = now;
}

void ReplicaLinks::OnConnectFailed(uint32_t replica_key, base::TimePoint now) {
  failed_.try_emplace(replica_key, now);
}

base::TimePoint ReplicaLinks::FirstFailure() const {
  base::TimePoint first = base::TimePoint::max();
  for (const auto& [key, at] : failed_) first = std::min(first, at);
  return first;
}

bool ReplicaLinks::Update(size_t replicas, base::TimePoint now) {
  if (lost_) {
    if (series_ < kRegainConnections || now - connected_at_ > kRegainPause) return false;
    if (connected_at_ - series_at_ < hold_) return false;
    lost_ = false;
    regained_at_ = now;
    failed_.clear();
    return true;
  }
  std::erase_if(failed_, [&](const auto& entry) { return now - entry.second > kFailureMemory; });
  // A single replica can't be told from the links to it.
  const size_t needed = std::clamp<size_t>(replicas, 2, kFailedReplicas);
  if (failed_.size() < needed || now - FirstFailure() < kDecisionTime) return false;
  const bool flaps = regained_at_ != base::TimePoint{} && now - regained_at_ < kFlapTime;
  hold_ = flaps ? std::clamp<base::Duration>(hold_ * 2, kMinHold, kMaxHold) : base::Duration::zero();
  lost_ = true;
  began_at_ = FirstFailure();
  lost_at_ = now;
  series_ = 0;
  return true;
}

bool ReplicaLinks::TakeProbeRound(base::TimePoint now) {
  const base::Duration since = now - probed_at_;
  const bool due = lost_                 ? since >= kLostProbeInterval
                   : failed_.size() >= 2 ? since >= kDoubtProbeInterval
                                         : trouble_ && since >= kTroubleProbeInterval;
  if (!due) return false;
  probed_at_ = now;
  trouble_ = false;
  return true;
}

}  // namespace cornelplank::serving
