#include "libs/serving/internal/replica_registry.h"

#include <algorithm>

namespace cornelplank::serving {
namespace {

// Weight of one result in the moving average of failures: ten results replace two thirds of the average.
constexpr double kFailureWeight = 0.1;
// Weight of one request in the moving average of service times.
constexpr double kServiceTimeWeight = 0.05;
// Time of a plain request before any was measured; the order of magnitude of ledgers and booking services.
constexpr std::chrono::milliseconds kDefaultServiceTime{50};
// Time of a stream before any was measured: 300 tokens at 5 ms.
constexpr std::chrono::milliseconds kDefaultStreamTime{1500};
// First ejection after a refused connection or a row of failures; doubles to the greatest.
constexpr std::chrono::milliseconds kFirstEjection{300};
constexpr std::chrono::milliseconds kGreatestEjection{2000};
// Failure rate above which a broken answer ejects.
constexpr double kEjectRate = 0.5;
// A replica that refuses connections may restart cold at any moment until then.
constexpr std::chrono::milliseconds kRestartMargin{1500};
// How long a shared part that was read is taken to be in the cache.
constexpr std::chrono::seconds kSharedPartAge{20};
constexpr size_t kSharedPartsKept = 512;

void Subtract(uint64_t* value, uint64_t amount) { *value -= std::min(*value, amount); }

}  // namespace

uint32_t ReplicaKey(std::string_view id) { return static_cast<uint32_t>(base::Hash64(id)); }

OutstandingWork ReplicaRecord::Total(base::TimePoint now) const {
  OutstandingWork total = own;
  for (const auto& [vm, entry] : peers) {
    if (now - entry.second > ReplicaRegistry::kPeerLoadAge) continue;
    total.requests += entry.first.requests;
    total.prefill_tokens += entry.first.prefill_tokens;
    total.memory_tokens += entry.first.memory_tokens;
  }
  return total;
}

bool ReplicaRecord::LikelyHasPrefix(uint64_t shared_key, base::TimePoint now) const {
  const auto part = shared_parts.find(shared_key);
  return part != shared_parts.end() && now - part->second < kSharedPartAge;
}

void ReplicaRegistry::Upsert(const PublishedReplica& facts, base::TimePoint now) {
  auto& entry = replicas_[facts.id];
  const bool restarted = entry && entry->published.incarnation != facts.incarnation;
  if (!entry || restarted) {
    const auto previous = entry;
    entry = std::make_shared<ReplicaRecord>();
    entry->key = ReplicaKey(facts.id);
    by_key_[entry->key] = entry;
    if (restarted) {
      entry->last_cold_send = previous->last_cold_send;
      const ServiceConfig* service = config_ ? config_->FindService(facts.service) : nullptr;
      if (service != nullptr) entry->cold_until = now + service->cold_start;
    }
  }
  entry->published = facts;
  entry->unlisted_since.reset();
  if (facts.cold_remaining.count() > 0) MarkCold(*entry, facts.cold_remaining, now);
}

void ReplicaRegistry::MarkUnlisted(std::string_view id, base::TimePoint now) {
  const auto entry = replicas_.find(id);
  if (entry == replicas_.end() || entry->second->unlisted_since) return;
  entry->second->unlisted_since = now;
}

void ReplicaRegistry::MarkUnlistedExcept(const std::set<std::string>& listed, base::TimePoint now) {
  for (const auto& [id, replica] : replicas_) {
    if (!listed.contains(id)) MarkUnlisted(id, now);
  }
}

void ReplicaRegistry::SetEvacuated(const std::string& zone, bool evacuated, base::TimePoint now) {
  if (evacuated) {
    evacuated_.insert(zone);
    return;
  }
  if (evacuated_.erase(zone) == 0) return;
  // The replicas of an evacuated zone may have become cold shortly before or meanwhile.
  for (const auto& [id, replica] : replicas_) {
    if (replica->published.zone != zone || !config_) continue;
    const ServiceConfig* service = config_->FindService(replica->published.service);
    if (service != nullptr) MarkCold(*replica, service->cold_start, now);
  }
}

void ReplicaRegistry::Tick(base::TimePoint now) {
  std::erase_if(replicas_, [&](const auto& entry) {
    return entry.second->unlisted_since && now - *entry.second->unlisted_since > kUnlistedGrace;
  });
}

std::shared_ptr<ReplicaRecord> ReplicaRegistry::Find(std::string_view id) const {
  const auto entry = replicas_.find(id);
  return entry == replicas_.end() ? nullptr : entry->second;
}

bool ReplicaRegistry::IsUsable(const ReplicaRecord& replica) const {
  return !replica.published.leaving && !evacuated_.contains(replica.published.zone);
}

void ReplicaRegistry::BeginAttempt(ReplicaRecord& replica, const OutstandingWork& work, uint64_t shared_key,
                                   base::TimePoint now) {
  replica.own.requests += work.requests;
  replica.own.prefill_tokens += work.prefill_tokens;
  replica.own.memory_tokens += work.memory_tokens;
  if (replica.IsCold(now)) replica.last_cold_send = now;
  if (shared_key == 0) return;
  replica.shared_parts[shared_key] = now;
  if (replica.shared_parts.size() > kSharedPartsKept) {
    std::erase_if(replica.shared_parts, [&](const auto& part) { return now - part.second > kSharedPartAge; });
    if (replica.shared_parts.size() > kSharedPartsKept) replica.shared_parts.clear();
  }
}

void ReplicaRegistry::OnPrefillDone(ReplicaRecord& replica, uint64_t prefill_tokens) {
  Subtract(&replica.own.prefill_tokens, prefill_tokens);
}

void ReplicaRegistry::EndAttempt(ReplicaRecord& replica, const OutstandingWork& work,
                                 HealthObservation result, base::TimePoint now) {
  replica.own.requests -= std::min(replica.own.requests, work.requests);
  Subtract(&replica.own.prefill_tokens, work.prefill_tokens);
  Subtract(&replica.own.memory_tokens, work.memory_tokens);
  if (result == HealthObservation::kNeutral || result == HealthObservation::kRefused) return;
  const bool failed = result != HealthObservation::kGood;
  replica.failure_rate += kFailureWeight * ((failed ? 1.0 : 0.0) - replica.failure_rate);
  if (!failed) {
    replica.ejection = base::Duration::zero();
    return;
  }
  if (result == HealthObservation::kErrorAnswer) return;
  if (result == HealthObservation::kBroken && replica.failure_rate < kEjectRate) return;
  replica.ejection = std::clamp<base::Duration>(replica.ejection * 2, kFirstEjection, kGreatestEjection);
  replica.ejected_until = now + replica.ejection;
  const ServiceConfig* service = config_ ? config_->FindService(replica.published.service) : nullptr;
  if (result == HealthObservation::kNotConnected && service != nullptr && service->cold_start.count() > 0) {
    replica.cold_until = std::max(replica.cold_until, now + service->cold_start + kRestartMargin);
  }
}

void ReplicaRegistry::MarkCold(ReplicaRecord& replica, std::chrono::milliseconds remaining,
                               base::TimePoint now) {
  replica.cold_until = std::max(replica.cold_until, now + remaining);
}

void ReplicaRegistry::ObserveServiceTime(const std::string& service, base::Duration time) {
  auto& average = service_times_.try_emplace(service, time).first->second;
  average += std::chrono::duration_cast<base::Duration>((time - average) * kServiceTimeWeight);
}

base::Duration ReplicaRegistry::ServiceTime(const ServiceConfig& service) const {
  const auto entry = service_times_.find(service.name);
  if (entry != service_times_.end()) return entry->second;
  return service.engine ? kDefaultStreamTime : kDefaultServiceTime;
}

std::vector<ReplicaWork> ReplicaRegistry::OwnLoads() const {
  std::vector<ReplicaWork> loads;
  for (const auto& [id, replica] : replicas_) {
    if (replica->own.requests > 0) loads.push_back({replica->key, replica->own});
  }
  return loads;
}

void ReplicaRegistry::ReplacePeerLoads(uint32_t vm, const std::vector<ReplicaWork>& loads,
                                       base::TimePoint now) {
  for (const auto& [id, replica] : replicas_) replica->peers.erase(vm);
  for (const ReplicaWork& load : loads) {
    const auto entry = by_key_.find(load.replica);
    if (entry == by_key_.end()) continue;
    if (const auto replica = entry->second.lock()) replica->peers[vm] = {load.work, now};
  }
}

}  // namespace cornelplank::serving
