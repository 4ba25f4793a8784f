#include "libs/serving/internal/placement.h"

#include <algorithm>
#include <array>
#include <utility>

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

// Replicas that a VM compares for one request: so many that each replica is compared by about this many VMs
// at the same time, and at least kMinChoices. VMs with the same picture would otherwise all send to the least
// loaded replicas until the next one arrives.
constexpr size_t kChoosersPerReplica = 3;
constexpr size_t kMinChoices = 2;
// Chance that the second replica in a prefix's order holds it: it gets the requests for which the first has
// no room, from all VMs.
constexpr double kSecondOwnerShare = 0.5;

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
    case RefusalReason::kUnknownKey:
      return "unknown_key";
    case RefusalReason::kKeysOutdated:
      return "keys_outdated";
    case RefusalReason::kQuotaExceeded:
      return "quota_exceeded";
    case RefusalReason::kQuotaUnavailable:
      return "quota_unavailable";
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

size_t Placer::SampleChoices(std::vector<Candidate>* candidates, size_t vms,
                             const std::function<bool(const Candidate&)>& always) {
  const size_t count = candidates->size();
  const size_t choices =
      std::max<size_t>(kMinChoices, kChoosersPerReplica * count / std::max<size_t>(vms, 1));
  if (choices >= count) return count;
  const auto sound = [](const Candidate& candidate) { return candidate.penalty.count() == 0; };
  auto rest = std::stable_partition(candidates->begin(), candidates->end(), always);
  const auto rest_end = std::stable_partition(rest, candidates->end(), sound);
  if (rest == rest_end) return count;  // nothing sound is left to draw from
  for (size_t i = 0; i < choices && rest != rest_end; ++i, ++rest) {
    std::iter_swap(rest,
                   rest + static_cast<ptrdiff_t>(random_.Below(static_cast<uint64_t>(rest_end - rest))));
  }
  return static_cast<size_t>(rest - candidates->begin());
}

std::optional<Placement> Placer::ChooseLocal(const PlacementQuery& query, const ServiceConfig& service,
                                             const ReplicaRegistry& registry, const HopDirectory& hops,
                                             base::TimePoint now, RefusalReason* reason) {
  const int priority = std::clamp(query.Priority(), 0, kLeastUrgentPriority);
  std::array<Owner, 2> owners;  // by weight
  SendGate gate(registry, hops, own_id_, now);
  std::vector<Candidate> candidates;
  for (const auto& [id, replica] : registry.replicas()) {
    if (replica->published.service != query.service || replica->published.region != own_region_) continue;
    if (Contains(query.excluded_replicas, id)) continue;
    const SendPermission permission = gate.Check(*replica, service, priority);
    if (permission.allowed()) {
      candidates.push_back({replica, permission.penalty});
    } else if (const auto cause = ReasonOf(permission.block)) {
      *reason = *cause;
    }
    // A replica that may not be sent this request can own its prefix only while the block passes soon.
    const bool lasting = !permission.allowed() && permission.block != SendBlock::kLimited;
    if (lasting || replica->IsCold(now) || replica->IsEjected(now) || replica->unlisted_since) continue;
    if (replica->limit.Confirmed(now)) continue;  // could take only a part of the prefix's requests
    const uint64_t weight = base::RendezvousWeight(
        {reinterpret_cast<const char*>(&query.prefix_key), sizeof query.prefix_key}, id);
    if (!owners[0].replica || weight > owners[0].weight) {
      owners[1] = std::exchange(owners[0], {replica, weight});
    } else if (!owners[1].replica || weight > owners[1].weight) {
      owners[1] = {replica, weight};
    }
  }
  const auto cached_share = [&](const TrackedReplica& replica) {
    if (query.prefix_key == 0) return 0.0;
    if (&replica == owners[0].replica.get() || replica.LikelyHasPrefix(query.prefix_key, now)) return 1.0;
    return &replica == owners[1].replica.get() ? kSecondOwnerShare : 0.0;
  };
  const size_t count = SampleChoices(&candidates, hops.OwnRegionVmCount(), [&](const Candidate& candidate) {
    return cached_share(*candidate.replica) > 0;
  });
  std::optional<Placement> best;
  for (size_t i = 0; i < count; ++i) {
    const Candidate& candidate = candidates[i];
    Placement placement = Price(candidate, query, service, registry, cached_share(*candidate.replica), now);
    placement.prefix_owner = candidate.replica == owners[0].replica;
    if (!best || placement.cost < best->cost) best = std::move(placement);
  }
  return best;
}

Placement Placer::Price(const Candidate& candidate, const PlacementQuery& query, const ServiceConfig& service,
                        const ReplicaRegistry& registry, double cached_share, base::TimePoint now) {
  const TrackedReplica& replica = *candidate.replica;
  const int priority = std::clamp(query.Priority(), 0, kLeastUrgentPriority);
  const OutstandingWork work = replica.TotalWork(now);
  const uint32_t slots = std::max<uint32_t>(1, replica.published.slots);
  const double prefix = std::min(query.prefix_tokens, query.prompt_tokens);
  const double read_again = prefix * (1 - cached_share);
  Placement placement;
  placement.replica = candidate.replica;
  placement.wait = EstimateWait(work, slots, service, registry);
  placement.expected = placement.wait;
  if (service.engine) placement.expected += EstimatePrefillTime(query.prompt_tokens - prefix + read_again);
  base::Duration cost = placement.expected + ReservedSlotCost(work, slots, service, priority);
  cost += FromMs(read_again * settings_.repeated_prefill_ms_per_1000_tokens / 1000);
  const double failures = std::max(0.0, replica.failure_rate - kOrdinaryFailureRate);
  cost += std::chrono::duration_cast<base::Duration>(kFailurePenalty * failures);
  cost += std::chrono::duration_cast<base::Duration>(settings_.jitter * random_.Unit());
  if (replica.limit.Confirmed(now)) cost += settings_.limited_cost;
  placement.cost = cost + candidate.penalty;
  return placement;
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
  if (query.residency.Unknown()) {
    *reason = RefusalReason::kConfigOutdated;
    return std::nullopt;
  }
  if (query.residency.Allows(own_region_)) {
    best = ChooseLocal(query, *service, registry, hops, now, reason);
  } else {
    *reason = RefusalReason::kNotAllowed;
  }
  if (!query.may_hop) return best;
  for (const RemoteRegion& remote : hops.RemoteRegions(query.service)) {
    if (!query.residency.Allows(remote.region) || Contains(query.excluded_regions, remote.region)) continue;
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
