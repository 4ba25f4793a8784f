#include "libs/serving/internal/replica_registry.h"

#include <algorithm>
#include <limits>

namespace cornelplank::serving {
namespace {

// Weight of one attempt in the moving average of failures: ten attempts replace two thirds of the average.
constexpr double kFailureWeight = 0.1;
// Weight of one request in the moving average of service times.
constexpr double kServiceTimeWeight = 0.05;
// Service time before the first measurement, for services without model engines: the order of magnitude of
// ledger and booking services.
constexpr std::chrono::milliseconds kDefaultServiceTime{50};
// Service time before the first measurement, for model engines: 300 tokens at 5 ms.
constexpr std::chrono::milliseconds kDefaultStreamTime{1500};
// An ejection after a refused connection or repeated failures lasts for the first of these times. Each
// further one without a success in between lasts twice as long as the one before, up to the second.
constexpr std::chrono::milliseconds kFirstEjection{300};
constexpr std::chrono::milliseconds kMaxEjection{2000};
// Failure rate from which a broken response ejects the replica.
constexpr double kEjectionFailureRate = 0.5;
// A replica that refuses connections is down and will be cold after its restart. It is taken to be back up
// within this time.
constexpr std::chrono::milliseconds kColdRestartMargin{1500};
// How long a replica is taken to keep a prompt prefix in its cache after a request with it.
constexpr std::chrono::seconds kPrefixCacheAge{20};
// Bounds the memory for one replica's prefixes; beyond it the old ones are dropped.
constexpr size_t kMaxRecentPrefixes = 512;

// The speed of a replica is part of one heartbeat with loads in kSpeedTurns, which are sent every 200 ms.
constexpr std::chrono::milliseconds kSpeedTurn{200};
constexpr uint64_t kSpeedTurns = 3;

// For how long the load that a replica has stated is taken to last.
constexpr std::chrono::milliseconds kFreshLoadTime{200};

// Clients resume a stream within this many timeouts of its route.
constexpr int kRetentionTimeouts = 2;
constexpr std::chrono::seconds kRetentionWithoutTimeout{60};
constexpr std::chrono::seconds kHistoryInterval{1};

void Subtract(uint64_t* value, uint64_t amount) { *value -= std::min(*value, amount); }

}  // namespace

uint32_t ReplicaKey(std::string_view id) { return static_cast<uint32_t>(base::Hash64(id)); }

OutstandingWork TrackedReplica::TotalWork(base::TimePoint now) const {
  OutstandingWork total = own_work;
  for (const auto* reports : {&peer_work, &group_work}) {
    for (const auto& [reporter, entry] : *reports) {
      if (now - entry.second > ReplicaRegistry::kMaxPeerLoadAge) continue;
      total.requests += entry.first.requests;
      total.prefill_tokens += entry.first.prefill_tokens;
      total.memory_tokens += entry.first.memory_tokens;
    }
  }
  return total;
}

uint32_t TrackedReplica::OccupiedSlots(base::TimePoint now) const {
  const uint32_t reported = TotalWork(now).requests;
  if (!stated_load || now - load_stated_at > kFreshLoadTime) return reported;
  const uint64_t stated = uint64_t{stated_load->running} + stated_load->waiting + sends_since_load;
  return static_cast<uint32_t>(
      std::min<uint64_t>(std::max<uint64_t>(reported, stated), std::numeric_limits<uint32_t>::max()));
}

bool TrackedReplica::LikelyHasPrefix(uint64_t prefix_key, base::TimePoint now) const {
  const auto part = recent_prefixes.find(prefix_key);
  return part != recent_prefixes.end() && now - part->second < kPrefixCacheAge;
}

void ReplicaRegistry::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  config_ = std::move(config);
  if (!config_) return;
  config_freshness_.OnApplied(config_->version);
  base::Duration retention{0};
  std::map<std::string, std::vector<uint64_t>> stream_services;
  for (const RouteConfig& route : config_->routes) {
    if (route.kind == RequestKind::kStream) {
      auto& services = stream_services[route.name];
      for (const auto& entry : route.services) services.push_back(base::Hash64(entry.service));
      std::sort(services.begin(), services.end());
    }
    const base::Duration own = route.timeout.count() > 0 ? base::Duration(route.timeout) * kRetentionTimeouts
                                                         : kRetentionWithoutTimeout;
    retention = std::max(retention, own);
  }
  software_history_.SetRetention(retention.count() > 0 ? retention : kRetentionWithoutTimeout);
  software_history_.SetRoutes(std::move(stream_services));
}

void ReplicaRegistry::NoteSoftware(TrackedReplica& replica, base::TimePoint now) {
  replica.software_settled_at = software_history_.OnListed(replica.service_key, replica.software, now);
}

void ReplicaRegistry::Upsert(const PublishedReplica& published, base::TimePoint now) {
  auto& entry = replicas_[published.id];
  const bool restarted = entry && entry->published.incarnation != published.incarnation;
  if (!entry || restarted) {
    const auto previous = entry;
    entry = std::make_shared<TrackedReplica>();
    entry->key = ReplicaKey(published.id);
    entry->tracked_since = now;
    by_key_[entry->key] = entry;
    // The trouble that makes replicas state this limit is that of a service.
    for (const auto& [id, other] : replicas_) {
      if (other == entry || other->published.service != published.service) continue;
      if (!other->rejection_limit.Confirmed(now)) continue;
      entry->rejection_limit.Assume(*other->rejection_limit.PerSecond());
    }
    if (restarted) {
      entry->last_cold_send = previous->last_cold_send;
      const ServiceConfig* service = config_ ? config_->FindService(published.service) : nullptr;
      if (service != nullptr) entry->cold_until = now + service->cold_start;
    }
    const auto departure = departures_.find(published.id);
    if (departure != departures_.end() && departure->second.incarnation == published.incarnation) {
      entry->said_leaving = true;
    }
  }
  entry->published = published;
  entry->service_key = base::Hash64(published.service);
  entry->software = SoftwareKey(published.service, published.software_version);
  NoteSoftware(*entry, now);
  entry->unlisted_since.reset();
  if (published.cold_remaining.count() > 0) MarkCold(*entry, published.cold_remaining, now);
}

void ReplicaRegistry::MarkUnlisted(std::string_view id, base::TimePoint now, base::TimePoint exit_at) {
  const auto entry = replicas_.find(id);
  if (entry == replicas_.end() || entry->second->unlisted_since) return;
  entry->second->unlisted_since = now;
  entry->second->usable_until = std::min(now + kUnlistedGrace, exit_at);
  base::LogEvent("replica_unlisted")
      .Text("replica", id)
      .Time("usable_ms", std::max<base::Duration>(entry->second->usable_until - now, {}));
}

void ReplicaRegistry::MarkUnlistedExcept(const std::set<std::string>& listed, base::TimePoint now,
                                         base::TimePoint exit_at) {
  for (const auto& [id, replica] : replicas_) {
    if (!listed.contains(id)) MarkUnlisted(id, now, exit_at);
  }
}

void ReplicaRegistry::SetEvacuated(const std::string& zone, bool evacuated, base::TimePoint now) {
  if (evacuated) {
    evacuated_.insert(zone);
    return;
  }
  if (evacuated_.erase(zone) == 0) return;
  // The replicas may have restarted, and be cold, without a notice while their zone was evacuated.
  for (const auto& [id, replica] : replicas_) {
    if (replica->published.zone != zone || !config_) continue;
    const ServiceConfig* service = config_->FindService(replica->published.service);
    if (service != nullptr) MarkCold(*replica, service->cold_start, now);
  }
}

void ReplicaRegistry::Tick(base::TimePoint now) {
  if (now - history_updated_at_ >= kHistoryInterval) {
    history_updated_at_ = now;
    for (const auto& [id, replica] : replicas_) NoteSoftware(*replica, now);
    software_history_.OnAllListed(now);
  }
  std::erase_if(replicas_, [&](const auto& entry) {
    return entry.second->unlisted_since && now > entry.second->usable_until;
  });
  std::erase_if(departures_, [&](const auto& entry) {
    return now - entry.second.stated_at > kDepartureMemory && !replicas_.contains(entry.first);
  });
}

std::shared_ptr<TrackedReplica> ReplicaRegistry::Find(std::string_view id) const {
  const auto entry = replicas_.find(id);
  return entry == replicas_.end() ? nullptr : entry->second;
}

std::shared_ptr<TrackedReplica> ReplicaRegistry::FindSoftware(uint64_t software) const {
  for (const auto& [id, replica] : replicas_) {
    if (replica->software == software) return replica;
  }
  return nullptr;
}

void ReplicaRegistry::BeginAttempt(TrackedReplica& replica, const OutstandingWork& work, uint64_t prefix_key,
                                   base::TimePoint now) {
  replica.own_work.requests += work.requests;
  replica.own_work.prefill_tokens += work.prefill_tokens;
  replica.own_work.memory_tokens += work.memory_tokens;
  ++replica.sends_since_load;
  if (replica.IsCold(now)) replica.last_cold_send = now;
  if (prefix_key == 0) return;
  replica.recent_prefixes[prefix_key] = now;
  if (replica.recent_prefixes.size() > kMaxRecentPrefixes) {
    std::erase_if(replica.recent_prefixes,
                  [&](const auto& part) { return now - part.second > kPrefixCacheAge; });
    if (replica.recent_prefixes.size() > kMaxRecentPrefixes) replica.recent_prefixes.clear();
  }
}

void ReplicaRegistry::OnPrefillDone(TrackedReplica& replica, uint64_t prefill_tokens) {
  Subtract(&replica.own_work.prefill_tokens, prefill_tokens);
}

void ReplicaRegistry::EndAttempt(TrackedReplica& replica, const OutstandingWork& work,
                                 HealthObservation result, base::TimePoint now) {
  replica.own_work.requests -= std::min(replica.own_work.requests, work.requests);
  Subtract(&replica.own_work.prefill_tokens, work.prefill_tokens);
  Subtract(&replica.own_work.memory_tokens, work.memory_tokens);
  if (result == HealthObservation::kNeutral || result == HealthObservation::kRefused) return;
  const bool failed = result != HealthObservation::kSuccess;
  if (failed && links_.lost() && result != HealthObservation::kErrorResponse) return;
  replica.failure_rate += kFailureWeight * ((failed ? 1.0 : 0.0) - replica.failure_rate);
  if (!failed) {
    replica.last_ejection = base::Duration::zero();
    return;
  }
  if (result == HealthObservation::kErrorResponse) return;
  replica.last_failure = now;
  if (result == HealthObservation::kBroken) links_.OnTrouble();
  if (result == HealthObservation::kBroken && replica.failure_rate < kEjectionFailureRate) return;
  replica.last_ejection = std::clamp<base::Duration>(replica.last_ejection * 2, kFirstEjection, kMaxEjection);
  replica.ejected_until = now + replica.last_ejection;
  const ServiceConfig* service = config_ ? config_->FindService(replica.published.service) : nullptr;
  if (result == HealthObservation::kNotConnected && service != nullptr && service->cold_start.count() > 0) {
    replica.presumed_cold_until = now + service->cold_start + kColdRestartMargin;
  }
}

void ReplicaRegistry::ForgetFailuresSince(base::TimePoint since) {
  for (const auto& [id, replica] : replicas_) {
    if (replica->last_failure < since) continue;
    replica->presumed_cold_until = {};
    replica->ejected_until = {};
    replica->last_ejection = base::Duration::zero();
    replica->failure_rate = 0;
  }
}

void ReplicaRegistry::MarkCold(TrackedReplica& replica, base::Duration remaining, base::TimePoint now) {
  replica.cold_until = std::max(replica.cold_until, now + remaining);
}

void ReplicaRegistry::RecordLeaving(TrackedReplica& replica, base::TimePoint now) {
  departures_[replica.published.id] = {replica.published.incarnation, now};
  if (replica.said_leaving) return;
  replica.said_leaving = true;
  base::LogEvent("replica_leaving").Text("replica", replica.published.id).Text("source", "response");
}

void ReplicaRegistry::RecordPushBack(TrackedReplica& replica, base::Duration time, base::TimePoint now) {
  if (now + time <= replica.pushed_back_until) return;
  const bool begins = now >= replica.pushed_back_until;
  replica.pushed_back_until = now + time;
  if (!begins) return;
  base::LogEvent("replica_pushed_back").Text("replica", replica.published.id).Time("for_ms", time);
}

void ReplicaRegistry::OnLimitStated(TrackedReplica& replica, std::optional<double> per_second,
                                    base::TimePoint at, const char* source, base::TimePoint now) {
  if (!replica.limit.OnStated(per_second, at)) return;
  NoteLimitChange("replica_limit", replica, per_second, at, source, now);
}

void ReplicaRegistry::OnRejectionLimitStated(TrackedReplica& replica, std::optional<double> per_second,
                                             base::TimePoint at, const char* source, base::TimePoint now) {
  if (!replica.rejection_limit.OnStated(per_second, at)) return;
  NoteLimitChange("replica_rejection_limit", replica, per_second, at, source, now);
}

void ReplicaRegistry::NoteLimitChange(const char* event, const TrackedReplica& replica,
                                      std::optional<double> per_second, base::TimePoint at,
                                      const char* source, base::TimePoint now) {
  limits_changed_at_ = now;
  base::LogEvent(event)
      .Text("replica", replica.published.id)
      .Text("per_second", per_second ? std::to_string(*per_second) : "none")
      .Text("source", source)
      .Time("age_ms", now - at);
}

void ReplicaRegistry::RecordLimit(TrackedReplica& replica, std::optional<double> per_second,
                                  base::TimePoint now) {
  if (!per_second && !replica.limit.stated_at()) return;
  OnLimitStated(replica, per_second, now, "response", now);
}

void ReplicaRegistry::RecordRejectionLimit(TrackedReplica& replica, std::optional<double> per_second,
                                           base::TimePoint now) {
  const RejectionLimit& known = replica.rejection_limit;
  if (!per_second && !known.stated_at() && !known.PerSecond()) return;
  OnRejectionLimitStated(replica, per_second, now, "response", now);
}

void ReplicaRegistry::MergeLimits(const std::vector<LimitStatement>& statements, base::TimePoint now) {
  for (const LimitStatement& statement : statements) {
    const auto entry = by_key_.find(statement.replica_key);
    const auto replica = entry == by_key_.end() ? nullptr : entry->second.lock();
    const base::TimePoint at = now - statement.age;
    if (!replica || at <= replica->tracked_since) continue;
    OnLimitStated(*replica, statement.per_second, at, "vm", now);
    if (!statement.rejections_known) continue;
    OnRejectionLimitStated(*replica, statement.rejections_per_second, at, "vm", now);
  }
}

std::vector<LimitStatement> ReplicaRegistry::LimitStatements(size_t most, base::TimePoint now) const {
  std::vector<LimitStatement> statements;
  for (const auto& [id, replica] : replicas_) {
    // No value is less than any.
    const auto stated_at = std::max(replica->limit.stated_at(), replica->rejection_limit.stated_at());
    if (!stated_at || now - *stated_at > StatedLimit::kStatementTime) continue;
    statements.push_back(
        {replica->key, replica->limit.PerSecond(), now - *stated_at, replica->rejection_limit.PerSecond()});
  }
  const size_t kept = std::min(most, statements.size());
  std::partial_sort(statements.begin(), statements.begin() + static_cast<ptrdiff_t>(kept), statements.end(),
                    [](const auto& left, const auto& right) { return left.age < right.age; });
  statements.resize(kept);
  return statements;
}

size_t ReplicaRegistry::LimitedCount() const {
  return static_cast<size_t>(std::count_if(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
    return entry.second->limit.PerSecond().has_value();
  }));
}

size_t ReplicaRegistry::RejectionLimitedCount() const {
  return static_cast<size_t>(std::count_if(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
    return entry.second->rejection_limit.PerSecond().has_value();
  }));
}

size_t ReplicaRegistry::LeavingCount() const {
  return static_cast<size_t>(std::count_if(replicas_.begin(), replicas_.end(), [](const auto& entry) {
    return entry.second->published.leaving || entry.second->said_leaving;
  }));
}

size_t ReplicaRegistry::PushedBackCount(base::TimePoint now) const {
  return static_cast<size_t>(std::count_if(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
    return now < entry.second->pushed_back_until;
  }));
}

void ReplicaRegistry::RecordLoad(TrackedReplica& replica, const ReportedLoad& load, base::TimePoint now) {
  replica.stated_load = load;
  replica.load_stated_at = now;
  replica.sends_since_load = 0;
  if (load.running + load.waiting < load.slots) replica.full_until = {};
  if (!load.percent) return;
  paces_.try_emplace(replica.published.service);
  replica.pace.OnStatedSlowdown(*load.percent, now);
}

void ReplicaRegistry::RecordFull(TrackedReplica& replica, base::TimePoint now) {
  const ServiceConfig* service = config_ ? config_->FindService(replica.published.service) : nullptr;
  if (service == nullptr || service->engine || FindPace(service->name) == nullptr) return;
  replica.full_until = now + kFullTime;
}

pace::ServicePace* ReplicaRegistry::FindPace(std::string_view service) {
  const auto entry = paces_.find(service);
  return entry == paces_.end() ? nullptr : &entry->second;
}

const pace::ServicePace* ReplicaRegistry::FindPace(std::string_view service) const {
  const auto entry = paces_.find(service);
  return entry == paces_.end() ? nullptr : &entry->second;
}

void ReplicaRegistry::ObserveServiceTime(const std::string& service, base::Duration time) {
  auto& average = service_times_.try_emplace(service, time).first->second;
  average += std::chrono::duration_cast<base::Duration>((time - average) * kServiceTimeWeight);
}

base::Duration ReplicaRegistry::AverageServiceTime(const ServiceConfig& service) const {
  const auto entry = service_times_.find(service.name);
  if (entry != service_times_.end()) return entry->second;
  return service.engine ? kDefaultStreamTime : kDefaultServiceTime;
}

std::vector<ReplicaWork> ReplicaRegistry::OwnLoads(base::TimePoint now, bool all_speeds) const {
  std::vector<ReplicaWork> loads;
  for (const auto& [id, replica] : replicas_) {
    const pace::PaceReport pace = replica->pace.Report(all_speeds || SendsSpeed(replica->key, now), now);
    // Work behind a lost link may have ended long ago.
    const bool known = !links_.lost() || now - replica->last_progress <= kMaxPeerLoadAge;
    const OutstandingWork work = known ? replica->own_work : OutstandingWork{};
    if (work.requests > 0 || !pace.empty()) {
      loads.push_back({replica->key, work, pace});
    }
  }
  return loads;
}

bool ReplicaRegistry::SendsSpeed(uint32_t replica_key, base::TimePoint now) {
  return (static_cast<uint64_t>(now.time_since_epoch() / kSpeedTurn) + replica_key) % kSpeedTurns == 0;
}

void ReplicaRegistry::MergePaces(const std::vector<ReplicaWork>& loads, base::TimePoint now) {
  bool merged = false;
  for (const ReplicaWork& load : loads) {
    if (load.pace.empty()) continue;
    const auto entry = by_key_.find(load.replica_key);
    const auto replica = entry == by_key_.end() ? nullptr : entry->second.lock();
    if (!replica) continue;
    paces_.try_emplace(replica->published.service);
    replica->pace.Merge(load.pace, now);
    merged = true;
  }
  if (merged) RefreshPaces();
}

void ReplicaRegistry::RefreshPaces() {
  for (auto& [service, pace] : paces_) {
    double sum = 0;
    double known = 0;
    for (const auto& [id, replica] : replicas_) {
      if (replica->published.service != service || !replica->pace.Known()) continue;
      sum += replica->pace.LogUnitMs();
      ++known;
    }
    if (known == 0) continue;
    pace.SetUnit(sum / known);
    for (const auto& [id, replica] : replicas_) {
      if (replica->published.service == service) replica->pace.Refresh(pace);
    }
  }
}

void ReplicaRegistry::ReplacePeerLoads(uint32_t vm, const std::vector<ReplicaWork>& loads,
                                       base::TimePoint now) {
  for (const auto& [id, replica] : replicas_) replica->peer_work.erase(vm);
  for (const ReplicaWork& load : loads) {
    const auto entry = by_key_.find(load.replica_key);
    if (entry == by_key_.end()) continue;
    if (const auto replica = entry->second.lock()) replica->peer_work[vm] = {load.work, now};
  }
}

void ReplicaRegistry::DropPeerLoads(const std::vector<uint32_t>& vms) {
  for (const auto& [id, replica] : replicas_) {
    if (replica->peer_work.empty()) continue;
    for (const uint32_t vm : vms) replica->peer_work.erase(vm);
  }
}

void ReplicaRegistry::ReplaceGroupLoads(uint32_t group, const std::vector<ReplicaWork>& loads,
                                        base::TimePoint at) {
  DropGroupLoads(group);
  for (const ReplicaWork& load : loads) {
    const auto entry = by_key_.find(load.replica_key);
    if (entry == by_key_.end()) continue;
    if (const auto replica = entry->second.lock()) replica->group_work[group] = {load.work, at};
  }
}

void ReplicaRegistry::DropGroupLoads(uint32_t group) {
  for (const auto& [id, replica] : replicas_) replica->group_work.erase(group);
}

void ReplicaRegistry::DropZoneGroupLoads() {
  for (const auto& [id, replica] : replicas_) {
    std::erase_if(replica->group_work, [](const auto& entry) { return entry.first != kRegionGroup; });
  }
}

}  // namespace cornelplank::serving
