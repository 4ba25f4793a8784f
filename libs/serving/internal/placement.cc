#include "libs/serving/internal/placement.h"

#include <algorithm>

namespace cornelplank::serving {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Penalty at a failure rate of 1; proportional to the rate beyond kOrdinaryFailureRate.
constexpr std::chrono::milliseconds kFailurePenalty{1500};
// Failure rate up to which failures are put down to the requests themselves, such as a lookup of something
// that does not exist.
constexpr double kOrdinaryFailureRate = 0.2;
// Share of an engine's KV cache that requests can fill before further ones wait for free memory.
constexpr double kUsableMemoryShare = 0.85;

// Least urgent priority that counts: routes of a higher number are treated like it.
constexpr int kLeastUrgentPriority = 5;
// Priority for which the wait is reported to other regions; most deployments use 0 to 2.
constexpr int kTypicalPriority = 2;
// The wait that is reported to other regions is this quantile of the waits at the region's replicas. It isn't
// the shortest one because several VMs act on a report before the next one arrives and fill the least loaded
// replicas meanwhile.
constexpr double kAdvertisedQuantile = 0.2;

base::Duration FromMs(double ms) { return std::chrono::duration_cast<base::Duration>(Milliseconds(ms)); }

/// The reason for a refusal when only replicas with this block are left; none for those that take no requests
/// later either.
std::optional<RefusalReason> ReasonOf(SendBlock block) {
  switch (block) {
    case SendBlock::kPushedBack:
      return RefusalReason::kPushedBack;
    case SendBlock::kCold:
      return RefusalReason::kCold;
    case SendBlock::kLimited:
      return RefusalReason::kLimited;
    default:
      return std::nullopt;
  }
}

bool Contains(const std::vector<std::string>& list, std::string_view value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

const char* RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kUnknownService:
      return "unknown_service";
    case RefusalReason::kNoReplica:
      return "no_replica";
    case RefusalReason::kConfigOutdated:
      return "config_outdated";
    case RefusalReason::kNotAllowed:
      return "not_allowed";
    case RefusalReason::kNoTime:
      return "no_time";
    case RefusalReason::kOverloaded:
      return "engines_late";
    case RefusalReason::kCrashingPrompt:
      return "crashing_prompt";
    case RefusalReason::kLimited:
      return "replicas_limited";
    case RefusalReason::kCold:
      return "cold_replicas_only";
    case RefusalReason::kPushedBack:
      return "replicas_pushed_back";
    case RefusalReason::kStopping:
      return "stopping";
  }
  return "unknown";
}

base::Duration Placer::EstimatePrefillTime(double tokens) const {
  return FromMs(tokens / settings_.prefill_tokens_per_ms);
}

base::Duration Placer::EstimateWait(const OutstandingWork& work, uint32_t slots, const ServiceConfig& service,
                                    const ReplicaRegistry& registry) const {
  const double ahead = std::max(0.0, work.requests + 1.0 - slots);
  const double slot_time = Milliseconds(registry.AverageServiceTime(service)).count();
  const double slot_wait = ahead * slot_time / slots;
  if (!service.engine) return FromMs(slot_wait);
  const double memory = kUsableMemoryShare * static_cast<double>(service.engine->memory_tokens);
  const double beyond = memory > 0 ? std::max(0.0, static_cast<double>(work.memory_tokens) - memory) : 0;
  const double memory_wait = memory > 0 ? beyond * slot_time / memory : 0;
  return EstimatePrefillTime(static_cast<double>(work.prefill_tokens)) +
         FromMs(std::max(slot_wait, memory_wait));
}

base::Duration Placer::ReservedSlotCost(const OutstandingWork& work, uint32_t slots,
                                        const ServiceConfig& service, int priority) const {
  if (!service.engine) return base::Duration::zero();
  const double open_slots = slots * (1 - settings_.reserved_share_per_priority * priority);
  const double beyond = std::max(0.0, work.requests + 1.0 - open_slots);
  return std::chrono::duration_cast<base::Duration>(settings_.reserved_slot_cost * beyond);
}

std::optional<Placement> Placer::ChooseLocal(const PlacementQuery& query, const ServiceConfig& service,
                                             const ReplicaRegistry& registry, const HopDirectory& hops,
                                             base::TimePoint now, RefusalReason* reason) {
  std::optional<Placement> best;
  const int priority = std::clamp(query.route->priority, 0, kLeastUrgentPriority);
  std::shared_ptr<TrackedReplica> owner;
  uint64_t owner_weight = 0;
  SendGate gate(registry, hops, own_id_, now);
  std::vector<std::pair<std::shared_ptr<TrackedReplica>, base::Duration>> allowed;  // with their penalties
  for (const auto& [id, replica] : registry.replicas()) {
    if (replica->published.service != query.service || replica->published.region != own_region_) continue;
    if (Contains(query.excluded_replicas, id)) continue;
    const SendPermission permission = gate.Check(*replica, service, priority);
    if (permission.allowed()) {
      allowed.emplace_back(replica, permission.penalty);
    } else if (const auto cause = ReasonOf(permission.block)) {
      *reason = *cause;
    }
    // A replica that may not be sent this request can own its prefix only while the block passes soon.
    const bool lasting = !permission.allowed() && permission.block != SendBlock::kLimited;
    if (lasting || replica->IsCold(now) || replica->IsEjected(now) || replica->unlisted_since) continue;
    if (replica->limit.Confirmed(now)) continue;  // could take only a part of the prefix's requests
    const uint64_t weight = base::RendezvousWeight(
        {reinterpret_cast<const char*>(&query.prefix_key), sizeof query.prefix_key}, id);
    if (!owner || weight > owner_weight) {
      owner = replica;
      owner_weight = weight;
    }
  }
  for (const auto& [replica, penalty] : allowed) {
    const OutstandingWork work = replica->TotalWork(now);
    const uint32_t slots = std::max<uint32_t>(1, replica->published.slots);
    Placement placement{replica, {}, {}, {}, EstimateWait(work, slots, service, registry), replica == owner};
    const bool cached =
        query.prefix_key != 0 && (replica == owner || replica->LikelyHasPrefix(query.prefix_key, now));
    const uint32_t tokens_to_prefill =
        query.prompt_tokens - (cached ? std::min(query.prefix_tokens, query.prompt_tokens) : 0);
    placement.expected = placement.wait;
    if (service.engine) placement.expected += EstimatePrefillTime(tokens_to_prefill);
    base::Duration score = placement.expected + ReservedSlotCost(work, slots, service, priority);
    if (!cached) score += FromMs(query.prefix_tokens * settings_.repeated_prefill_ms_per_1000_tokens / 1000);
    const double failures = std::max(0.0, replica->failure_rate - kOrdinaryFailureRate);
    score += std::chrono::duration_cast<base::Duration>(kFailurePenalty * failures);
    score += std::chrono::duration_cast<base::Duration>(settings_.jitter * random_.Unit());
    if (replica->limit.Confirmed(now)) score += settings_.limited_cost;
    placement.cost = score + penalty;
    if (!best || placement.cost < best->cost) best = placement;
  }
  return best;
}

std::optional<Placement> Placer::Choose(const PlacementQuery& query, const ReplicaRegistry& registry,
                                        const HopDirectory& hops, base::TimePoint now,
                                        RefusalReason* reason) {
  *reason = RefusalReason::kNoReplica;
  const RoutingConfig* config = registry.config();
  const ServiceConfig* service = config == nullptr ? nullptr : config->FindService(query.service);
  if (service == nullptr) {
    *reason = RefusalReason::kUnknownService;
    return std::nullopt;
  }
  std::optional<Placement> best;
  if (!query.config_fresh && query.Bound()) {
    *reason = RefusalReason::kConfigOutdated;
    return std::nullopt;
  }
  if (query.AllowsRegion(own_region_)) {
    best = ChooseLocal(query, *service, registry, hops, now, reason);
  } else {
    *reason = RefusalReason::kNotAllowed;
  }
  if (!query.may_hop) return best;
  for (const RemoteRegion& remote : hops.RemoteRegions(query.service)) {
    if (!query.AllowsRegion(remote.region) || Contains(query.excluded_regions, remote.region)) {
      continue;
    }
    base::Duration expected = remote.wait + remote.round_trip + settings_.hop_cost;
    if (service->engine) expected += EstimatePrefillTime(query.prompt_tokens);
    if (best && best->cost <= expected) continue;
    best = Placement{nullptr, remote.region, expected, expected, remote.wait, false};
  }
  return best;
}

std::optional<base::Duration> Placer::TimeToBlockedReplica(const std::string& service_name, int priority,
                                                           const ReplicaRegistry& registry,
                                                           const HopDirectory& hops,
                                                           base::TimePoint now) const {
  const RoutingConfig* config = registry.config();
  const ServiceConfig* service = config == nullptr ? nullptr : config->FindService(service_name);
  if (service == nullptr) return std::nullopt;
  SendGate gate(registry, hops, own_id_, now);
  std::optional<base::Duration> shortest;
  for (const auto& [id, replica] : registry.replicas()) {
    if (replica->published.service != service_name || replica->published.region != own_region_) continue;
    const auto wait = gate.Check(*replica, *service, priority).wait;
    if (wait) shortest = std::min(shortest.value_or(*wait), *wait);
  }
  return shortest;
}

std::optional<base::Duration> Placer::EstimateRegionWait(const std::string& service_name,
                                                         const ReplicaRegistry& registry,
                                                         base::TimePoint now) const {
  const RoutingConfig* config = registry.config();
  const ServiceConfig* service = config == nullptr ? nullptr : config->FindService(service_name);
  if (service == nullptr) return std::nullopt;
  std::vector<base::Duration> waits;
  for (const auto& [id, replica] : registry.replicas()) {
    if (replica->published.service != service_name || replica->published.region != own_region_) continue;
    if (!SendGate::CheckStanding(*replica, registry, now).allowed()) continue;
    if (replica->IsCold(now) || replica->IsEjected(now)) continue;
    if (replica->limit.PerSecond()) continue;  // what it takes is left to the requests of this region
    const OutstandingWork work = replica->TotalWork(now);
    const uint32_t slots = std::max<uint32_t>(1, replica->published.slots);
    waits.push_back(EstimateWait(work, slots, *service, registry) +
                    ReservedSlotCost(work, slots, *service, kTypicalPriority));
  }
  if (waits.empty()) return std::nullopt;
  const auto advertised =
      waits.begin() + static_cast<ptrdiff_t>(kAdvertisedQuantile * static_cast<double>(waits.size()));
  std::nth_element(waits.begin(), advertised, waits.end());
  return *advertised;
}

}  // namespace cornelplank::serving
