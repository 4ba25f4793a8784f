#include "libs/serving/internal/placement.h"

#include <algorithm>

namespace cornelplank::serving {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Added to the expected time of replicas that are used only when nothing better is left.
constexpr std::chrono::seconds kEjectedPenalty{5};
constexpr std::chrono::seconds kUnlistedPenalty{3};
constexpr std::chrono::seconds kColdPenalty{1};
// Expected time added at a failure rate of 1.
constexpr std::chrono::milliseconds kFailurePenalty{1500};
// Failures up to this rate are the requests' own (a lookup of something that does not exist).
constexpr double kOrdinaryFailureRate = 0.2;
// Share of an engine's memory that requests may take before further ones wait for it.
constexpr double kMemoryShare = 0.85;

// Routes below this rank leave no more slots free than it does.
constexpr int kLeastUrgentPriority = 5;
// Priority of the requests that are offered to other regions; most deployments rank from 0 to 2.
constexpr int kOrdinaryPriority = 2;
// Of the replicas of a region in order of load, the one whose wait is offered: several VMs act on an offer
// before the next one arrives and fill the replicas before it.
constexpr double kOfferedRank = 0.2;

base::Duration FromMs(double ms) { return std::chrono::duration_cast<base::Duration>(Milliseconds(ms)); }

bool Contains(const std::vector<std::string>& list, std::string_view value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

const char* RefusalReasonName(RefusalReason code) {
  switch (code) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kUnknownService:
      return "unknown_service";
    case RefusalReason::kNoReplica:
      return "no_replica";
    case RefusalReason::kNotAllowed:
      return "not_allowed";
    case RefusalReason::kNoTime:
      return "no_time";
    case RefusalReason::kLate:
      return "engines_late";
    case RefusalReason::kCold:
      return "cold_replicas_only";
  }
  return "unknown";
}

base::Duration Placer::EstimatePrefillTime(double tokens) const {
  return FromMs(tokens / settings_.prefill_tokens_per_ms);
}

base::Duration Placer::WaitAt(const OutstandingWork& work, uint32_t slots, const ServiceConfig& service,
                              const ReplicaRegistry& table) const {
  const double ahead = std::max(0.0, work.requests + 1.0 - slots);
  const double slot_time = Milliseconds(table.ServiceTime(service)).count();
  const double slot_wait = ahead * slot_time / slots;
  if (!service.engine) return FromMs(slot_wait);
  const double memory = kMemoryShare * static_cast<double>(service.engine->memory_tokens);
  const double beyond = memory > 0 ? std::max(0.0, static_cast<double>(work.memory_tokens) - memory) : 0;
  const double memory_wait = memory > 0 ? beyond * slot_time / memory : 0;
  return EstimatePrefillTime(static_cast<double>(work.prefill_tokens)) +
         FromMs(std::max(slot_wait, memory_wait));
}

base::Duration Placer::CrowdingAt(const OutstandingWork& work, uint32_t slots, const ServiceConfig& service,
                                  int priority) const {
  if (!service.engine) return base::Duration::zero();
  const double open_slots = slots * (1 - settings_.reserved_share_per_priority * priority);
  const double beyond = std::max(0.0, work.requests + 1.0 - open_slots);
  return std::chrono::duration_cast<base::Duration>(settings_.crowding_cost * beyond);
}

std::optional<Placement> Placer::ChooseLocal(const PlacementQuery& query, const ServiceConfig& service,
                                             const ReplicaRegistry& table, const HopDirectory& hops,
                                             base::TimePoint now, RefusalReason* code) {
  std::optional<Placement> best;
  const int priority = std::clamp(query.route->priority, 0, kLeastUrgentPriority);
  std::shared_ptr<ReplicaRecord> owner;
  uint64_t owner_weight = 0;
  std::vector<std::shared_ptr<ReplicaRecord>> usable;
  for (const auto& [id, replica] : table.replicas()) {
    if (replica->published.service != query.service || replica->published.region != own_region_) continue;
    if (!table.IsUsable(*replica) || Contains(query.excluded_replicas, id)) continue;
    usable.push_back(replica);
    if (replica->IsCold(now) || replica->IsEjected(now) || replica->unlisted_since) continue;
    const uint64_t weight = base::RendezvousWeight(
        {reinterpret_cast<const char*>(&query.shared_key), sizeof query.shared_key}, id);
    if (!owner || weight > owner_weight) {
      owner = replica;
      owner_weight = weight;
    }
  }
  std::vector<std::string> vms;
  for (const auto& replica : usable) {
    if (replica->IsCold(now)) {
      if (vms.empty()) vms = hops.OwnRegionVms();
      const base::Duration interval =
          ColdStartLimiter::Interval(replica->published.id, own_id_, vms, service.cold_requests_per_second);
      if (interval.count() == 0 || now - replica->last_cold_send < interval) {
        *code = RefusalReason::kCold;
        continue;
      }
    }
    const OutstandingWork work = replica->Total(now);
    const uint32_t slots = std::max<uint32_t>(1, replica->published.slots);
    Placement placement{replica, {}, {}, {}, WaitAt(work, slots, service, table), replica == owner};
    const bool cached =
        query.shared_key != 0 && (replica == owner || replica->LikelyHasPrefix(query.shared_key, now));
    const uint32_t to_read =
        query.prompt_tokens - (cached ? std::min(query.shared_tokens, query.prompt_tokens) : 0);
    placement.expected = placement.wait;
    if (service.engine) placement.expected += EstimatePrefillTime(to_read);
    base::Duration score = placement.expected + CrowdingAt(work, slots, service, priority);
    if (!cached) score += FromMs(query.shared_tokens * settings_.read_again_ms_per_1000 / 1000);
    const double failures = std::max(0.0, replica->failure_rate - kOrdinaryFailureRate);
    score += std::chrono::duration_cast<base::Duration>(kFailurePenalty * failures);
    score += std::chrono::duration_cast<base::Duration>(settings_.jitter * random_.Unit());
    if (replica->IsEjected(now)) score += kEjectedPenalty;
    if (replica->unlisted_since) score += kUnlistedPenalty;
    if (replica->IsCold(now)) score += kColdPenalty;
    placement.cost = score;
    if (!best || placement.cost < best->cost) best = placement;
  }
  return best;
}

std::optional<Placement> Placer::Choose(const PlacementQuery& query, const ReplicaRegistry& table,
                                        const HopDirectory& hops, base::TimePoint now, RefusalReason* code) {
  *code = RefusalReason::kNoReplica;
  const RoutingConfig* config = table.config();
  const ServiceConfig* service = config == nullptr ? nullptr : config->FindService(query.service);
  if (service == nullptr) {
    *code = RefusalReason::kUnknownService;
    return std::nullopt;
  }
  std::optional<Placement> best;
  const bool home = query.route->AllowsRegion(own_region_);
  if (home) {
    best = ChooseLocal(query, *service, table, hops, now, code);
  } else {
    *code = RefusalReason::kNotAllowed;
  }
  if (!query.may_hop) return best;
  for (const RemoteRegion& offer : hops.RemoteRegions(query.service)) {
    if (!query.route->AllowsRegion(offer.region) || Contains(query.excluded_regions, offer.region)) continue;
    base::Duration expected = offer.wait + offer.round_trip + settings_.hop_cost;
    if (service->engine) expected += EstimatePrefillTime(query.prompt_tokens);
    if (best && best->cost <= expected) continue;
    best = Placement{nullptr, offer.region, expected, expected, offer.wait, false};
  }
  return best;
}

std::optional<base::Duration> Placer::EstimateRegionWait(const std::string& service_name,
                                                         const ReplicaRegistry& table,
                                                         base::TimePoint now) const {
  const RoutingConfig* config = table.config();
  const ServiceConfig* service = config == nullptr ? nullptr : config->FindService(service_name);
  if (service == nullptr) return std::nullopt;
  std::vector<base::Duration> waits;
  for (const auto& [id, replica] : table.replicas()) {
    if (replica->published.service != service_name || replica->published.region != own_region_) continue;
    if (!table.IsUsable(*replica) || replica->IsCold(now) || replica->IsEjected(now)) continue;
    const OutstandingWork work = replica->Total(now);
    const uint32_t slots = std::max<uint32_t>(1, replica->published.slots);
    waits.push_back(WaitAt(work, slots, *service, table) +
                    CrowdingAt(work, slots, *service, kOrdinaryPriority));
  }
  if (waits.empty()) return std::nullopt;
  const auto offered =
      waits.begin() + static_cast<ptrdiff_t>(kOfferedRank * static_cast<double>(waits.size()));
  std::nth_element(waits.begin(), offered, waits.end());
  return *offered;
}

}  // namespace cornelplank::serving
