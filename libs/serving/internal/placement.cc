#include "libs/serving/internal/placement.h"

#include <algorithm>
#include <array>
#include <map>
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

// The load that a replica states counts half as much as what the VMs report after this time.
constexpr std::chrono::milliseconds kStatedLoadTime{250};
// Requests at a replica, as a multiple of its share by speed, from which its load counts as uneven. The
// reported requests vary by so much by chance and by their age.
constexpr double kEvenEnough = 1.25;
// Load of a region, in requests by slots, from which uneven load counts in full.
constexpr double kBusyLoad = 0.5;
// Share of its slots for which a full replica still counts as free, as the picture of its load is old.
constexpr double kLeastFreeShare = 0.02;
// Part of the expected first event that counts when a prefix is kept at its holder: a response within its
// targets is worth the same whether it begins a little sooner or later, while reading the prefix again takes
// a replica's time.
constexpr double kFirstEventWeight = 0.25;
// Replicas whose costs differ by less than this, and the time of one more prompt, are comparable: so much may
// have come to a replica since the last report.
constexpr std::chrono::milliseconds kComparableCost{50};

// Least urgent priority that counts: routes of a higher number are treated like it.
constexpr int kLeastUrgentPriority = 5;
// Priority for which the wait is reported to other regions; most deployments use 0 to 2.
constexpr int kTypicalPriority = 2;
// The wait that is reported to other regions is this quantile of the waits at the region's replicas. It isn't
// the shortest one because several VMs act on a report before the next one arrives and fill the least loaded
// replicas meanwhile.
constexpr double kAdvertisedQuantile = 0.2;

base::Duration FromMs(double ms) { return std::chrono::duration_cast<base::Duration>(Milliseconds(ms)); }

double ToMs(base::Duration time) { return Milliseconds(time).count(); }

/// The work of a request at a replica that holds the given share of its prefix.
pace::RequestShape ShapeOf(const PlacementQuery& query, const ServiceConfig& service, double cached_share) {
  const double prefix = std::min(query.prefix_tokens, query.prompt_tokens);
  return {query.prompt_tokens - prefix * cached_share, static_cast<double>(query.max_output_tokens),
          service.engine ? std::max<uint32_t>(1, service.engine->stride) : 0};
}

/// The reason for a refusal when only replicas with this block are left; none for those that take no requests
/// later either.
std::optional<RefusalReason> ReasonOf(SendBlock block) {
  switch (block) {
    case SendBlock::kPushedBack:
      return RefusalReason::kPushedBack;
    case SendBlock::kFull:
      return RefusalReason::kFull;
    case SendBlock::kCold:
      return RefusalReason::kCold;
    case SendBlock::kLimited:
      return RefusalReason::kLimited;
    case SendBlock::kNoRoom:
      return RefusalReason::kNoRoom;
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
    case RefusalReason::kNoRoom:
      return "no_room_at_replicas";
    case RefusalReason::kCold:
      return "cold_replicas_only";
    case RefusalReason::kFull:
      return "replicas_full";
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
    case RefusalReason::kTurnedAway:
      return "turned_away";
    case RefusalReason::kSoftwareUnknown:
      return "software_unknown";
    case RefusalReason::kNoLinks:
      return "no_links";
    case RefusalReason::kSoftwareGone:
      return "software_gone";
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

bool Placer::Serves(const TrackedReplica& replica, std::string_view service,
                    std::optional<uint64_t> software) const {
  return replica.published.service == service && replica.published.region == own_region_ &&
         (!software || replica.software == *software);
}

std::optional<Placement> Placer::ChooseLocal(const PlacementQuery& query, const ServiceConfig& service,
                                             const ReplicaRegistry& registry, const HopDirectory& hops,
                                             base::TimePoint now, RefusalReason* reason) {
  const int priority = std::clamp(query.Priority(), 0, kLeastUrgentPriority);
  std::array<Owner, 2> owners;  // by weight
  SendGate gate(registry, hops, own_id_, now);
  const auto new_software_penalty = NewSoftwarePenalty(query, service, registry, gate, priority, now);
  std::vector<Candidate> candidates;
  for (const auto& [id, replica] : registry.replicas()) {
    if (!Serves(*replica, query.service, query.software)) continue;
    if (Contains(query.excluded_replicas, id)) continue;
    const bool new_software = replica->HasNewSoftware(now);
    if (new_software && !new_software_penalty) continue;
    const SendPermission permission = gate.Check(*replica, service, priority, query.may_borrow);
    if (permission.allowed()) {
      const base::Duration penalty = new_software ? *new_software_penalty : base::Duration::zero();
      candidates.push_back({replica, permission.penalty + penalty});
    } else if (const auto cause = ReasonOf(permission.block)) {
      *reason = *cause;
    }
    // A replica that may not be sent this request can own its prefix only while the block passes soon.
    const bool lasting = !permission.allowed() && permission.block != SendBlock::kLimited &&
                         permission.block != SendBlock::kNoRoom;
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
  if (const pace::ServicePace* pace = registry.FindPace(query.service)) {
    paced_choices_.clear();
    for (const Candidate& candidate : candidates) {
      PacedChoice& choice = paced_choices_.emplace_back();
      choice.candidate = &candidate;
      choice.cached_share = cached_share(*candidate.replica);
    }
    auto placement = ChoosePaced(query, service, *pace, now, reason);
    if (placement) placement->prefix_owner = placement->replica == owners[0].replica;
    return placement;
  }
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

void Placer::Predict(const PlacementQuery& query, const ServiceConfig& service, const pace::ServicePace& pace,
                     base::TimePoint now, PacedChoice* choice) {
  const TrackedReplica& replica = *choice->candidate->replica;
  const OutstandingWork work = replica.TotalWork(now);
  choice->load = {static_cast<double>(work.requests), static_cast<double>(work.prefill_tokens),
                  std::max<uint32_t>(1, replica.published.slots)};
  if (replica.stated_load) {
    const double age = std::chrono::duration<double>(now - replica.load_stated_at) / kStatedLoadTime;
    const double trust = 1 / (1 + age * age);
    const ReportedLoad& stated = *replica.stated_load;
    const double requests = static_cast<double>(stated.running) + stated.waiting + replica.sends_since_load;
    choice->load.requests += trust * (requests - choice->load.requests);
  }
  choice->capacity = choice->load.slots / replica.pace.TimeFactor(now);
  choice->forecast =
      pace::Estimate(replica.pace, pace, choice->load, ShapeOf(query, service, choice->cached_share), now);
}

void Placer::PricePaced(const PlacementQuery& query, const ServiceConfig& service, double even_load,
                        base::TimePoint now, PacedChoice* choice) const {
  const TrackedReplica& replica = *choice->candidate->replica;
  const RouteConfig& route = *query.route;
  const pace::Forecast& forecast = choice->forecast;
  const double slots = choice->load.slots;
  const double late_pause_ms = ToMs(settings_.late_pause_cost);
  OutstandingWork work;
  work.requests = static_cast<uint32_t>(choice->load.requests);
  // Without an engine a slow replica is as good as a fast one while the response is in time.
  double cost =
      ToMs(service.engine ? forecast.first_event.mean : forecast.wait) + LatenessCost(forecast, query);
  cost += ToMs(ReservedSlotCost(work, choice->load.slots, service,
                                std::clamp(query.Priority(), 0, kLeastUrgentPriority)));
  cost += kFailurePenalty.count() * std::max(0.0, replica.failure_rate - kOrdinaryFailureRate);
  if (replica.limit.Confirmed(now)) cost += ToMs(settings_.limited_cost);
  cost += ToMs(choice->candidate->penalty);
  choice->cost_alone_ms = cost;
  if (service.engine && route.target_gap.count() > 0) {
    const double chance = forecast.longest_pause.ChanceBeyond(route.target_gap);
    // The streams that run there meet the same pauses, and this request's prompt beside them.
    const double longer = forecast.longest_pause.ChanceBeyond(route.target_gap - forecast.added_pause);
    const double streams = std::min(choice->load.requests, slots);
    cost += late_pause_ms * (chance + streams * (longer - chance));
  }
  const double prefix = std::min(query.prefix_tokens, query.prompt_tokens);
  cost += prefix * (1 - choice->cached_share) * settings_.repeated_prefill_ms_per_1000_tokens / 1000;
  // Uneven load matters the more the busier the region is.
  const double share = std::max(even_load * choice->capacity, 1.0);
  const double excess = std::max(0.0, choice->load.requests - kEvenEnough * share) / share;
  cost += ToMs(settings_.uneven_cost) * excess * std::min(1.0, even_load / kBusyLoad);
  choice->cost_ms = cost;
  const double room = std::max(slots - choice->load.requests, kLeastFreeShare * slots);
  choice->free = room / replica.pace.TimeFactor(now) / replica.pace.Slowdown(now);
}

double Placer::LatenessCost(const pace::Forecast& forecast, const PlacementQuery& query) const {
  double cost = 0;
  if (query.route->target_latency.count() > 0) {
    cost += ToMs(settings_.late_first_event_cost) *
            forecast.first_event.ChanceBeyond(query.route->target_latency - query.elapsed);
  }
  if (query.time_left) cost += ToMs(settings_.late_end_cost) * forecast.end.ChanceBeyond(*query.time_left);
  return cost;
}

const Placer::PacedChoice* Placer::Draw(bool cached, double band_ms) {
  const auto matches = [&](const PacedChoice& choice) { return (choice.cached_share == 1) == cached; };
  const PacedChoice* cheapest = nullptr;
  for (const PacedChoice& choice : paced_choices_) {
    if (matches(choice) && (cheapest == nullptr || choice.cost_ms < cheapest->cost_ms)) cheapest = &choice;
  }
  if (cheapest == nullptr) return nullptr;
  const auto weight = [&](const PacedChoice& choice) {
    const double above = (choice.cost_ms - cheapest->cost_ms) / band_ms;
    return matches(choice) && above < 1 ? choice.free * (1 - above) : 0;
  };
  double total = 0;
  for (const PacedChoice& choice : paced_choices_) total += weight(choice);
  double left = total * random_.Unit();
  for (const PacedChoice& choice : paced_choices_) {
    const double own = weight(choice);
    if (own > 0 && left < own) return &choice;
    left -= own;
  }
  return cheapest;
}

std::optional<Placement> Placer::ChoosePaced(const PlacementQuery& query, const ServiceConfig& service,
                                             const pace::ServicePace& pace, base::TimePoint now,
                                             RefusalReason* reason) {
  if (paced_choices_.empty()) return std::nullopt;
  double requests = 0;
  double capacity = 0;
  bool in_time = query.may_run_already || !query.time_left;
  for (PacedChoice& choice : paced_choices_) {
    Predict(query, service, pace, now, &choice);
    requests += choice.load.requests;
    capacity += choice.capacity;
    if (!in_time) in_time = choice.forecast.end.Optimistic() <= *query.time_left;
  }
  if (!in_time) {
    *reason = RefusalReason::kNoTime;
    return std::nullopt;
  }
  for (PacedChoice& choice : paced_choices_) {
    PricePaced(query, service, requests / capacity, now, &choice);
  }
  const double band_ms = ToMs(kComparableCost) + query.prompt_tokens / pace.PrefillTokensPerMs();
  const PacedChoice* chosen = Draw(false, band_ms);
  if (query.prefix_key != 0) {
    const double prefix = std::min(query.prefix_tokens, query.prompt_tokens);
    const double read_ms_per_token =
        1 / pace.PrefillTokensPerMs() + settings_.repeated_prefill_ms_per_1000_tokens / 1000;
    const double read_ms = prefix * read_ms_per_token;
    // What the request meets at a replica and costs others, without the time that passes within its targets
    // and without the price of reading the prefix again.
    const auto burden_ms = [&](const PacedChoice& choice) {
      const double read_again = service.engine ? prefix * (1 - choice.cached_share) : 0;
      return choice.cost_ms - read_again * settings_.repeated_prefill_ms_per_1000_tokens / 1000 -
             (1 - kFirstEventWeight) * ToMs(choice.forecast.first_event.mean);
    };
    // The random part keeps VMs from leaving a holder all at the same moment.
    const double margin_ms = read_ms + band_ms * random_.Unit();
    const auto is_kept = [&](const PacedChoice* holder) {
      return holder != nullptr && (chosen == nullptr || burden_ms(*holder) <= burden_ms(*chosen) + margin_ms);
    };
    const PacedChoice* second = nullptr;
    for (const PacedChoice& choice : paced_choices_) {
      if (choice.cached_share > 0 && choice.cached_share < 1) second = &choice;
    }
    const PacedChoice* first = Draw(true, band_ms);
    if (is_kept(first)) {
      chosen = first;
    } else if (is_kept(second)) {
      chosen = second;
    }
  }
  if (chosen == nullptr) return std::nullopt;
  Placement placement;
  placement.replica = chosen->candidate->replica;
  placement.wait = chosen->forecast.wait;
  placement.expected = chosen->forecast.first_event.mean;
  placement.cost = FromMs(chosen->cost_alone_ms);
  placement.forecast = chosen->forecast;
  return placement;
}

std::optional<base::Duration> Placer::PriceHop(const RemoteRegion& remote, const PlacementQuery& query,
                                               const ServiceConfig& service, const pace::ServicePace& pace,
                                               base::TimePoint now) const {
  pace::Forecast forecast =
      pace::Estimate(pace::ReplicaPace(), pace, pace::ReplicaLoad(), ShapeOf(query, service, 0), now);
  const base::Duration longer = remote.wait + remote.round_trip;
  const base::Duration soonest = forecast.end.Optimistic() + longer;
  if (query.time_left && !query.may_run_already && soonest > *query.time_left) return std::nullopt;
  forecast.first_event.mean += longer;
  forecast.end.mean += longer;
  return forecast.first_event.mean + settings_.hop_cost + FromMs(LatenessCost(forecast, query));
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
  // Regions with a replica of the software that the request is bound to. What they report as their wait says
  // nothing of these replicas.
  std::map<std::string_view, base::Duration> penalties;
  if (query.software) {
    bool listed = false;
    for (const auto& [id, replica] : registry.replicas()) {
      if (replica->software != *query.software) continue;
      listed = true;
      if (!SendGate::CheckStanding(*replica, registry, now).allowed()) continue;
      base::Duration penalty{0};
      if (replica->IsCold(now)) penalty += SendGate::kColdPenalty;
      if (replica->unlisted_since) penalty += SendGate::kUnlistedPenalty;
      const auto known = penalties.try_emplace(replica->published.region, penalty).first;
      known->second = std::min(known->second, penalty);
    }
    if (!listed) {
      *reason = RefusalReason::kSoftwareGone;
      return std::nullopt;
    }
  }
  const bool links_lost = registry.links().lost();
  if (links_lost && !query.may_hop) {
    *reason = RefusalReason::kNoLinks;
    return std::nullopt;
  }
  if (!query.residency.Allows(own_region_)) {
    *reason = RefusalReason::kNotAllowed;
  } else if (links_lost) {
    *reason = RefusalReason::kNoLinks;
    if (hops.OwnRegionHasLinks()) best = PlaceInOwnRegion(query, registry, now);
    if (best) return best;
  } else {
    best = ChooseLocal(query, *service, registry, hops, now, reason);
  }
  if (!query.may_hop) return best;
  const pace::ServicePace* pace = registry.FindPace(query.service);
  for (const RemoteRegion& remote : hops.RemoteRegions(query.service)) {
    if (!query.residency.Allows(remote.region) || Contains(query.excluded_regions, remote.region)) continue;
    const auto bound = penalties.find(remote.region);
    if (query.software && bound == penalties.end()) continue;
    base::Duration expected = remote.wait + remote.round_trip + settings_.hop_cost;
    if (pace != nullptr) {
      const auto price = PriceHop(remote, query, *service, *pace, now);
      if (!price) continue;
      expected = *price;
    } else if (service->engine) {
      expected += EstimatePrefillTime(query.prompt_tokens);
    }
    const base::Duration cost = expected + (query.software ? bound->second : base::Duration::zero());
    if (best && best->cost <= cost) continue;
    best = Placement{nullptr, remote.region, expected, cost, remote.wait, false, std::nullopt};
  }
  return best;
}

std::optional<base::Duration> Placer::TimeToBlockedReplica(const std::string& service_name,
                                                           std::optional<uint64_t> software, int priority,
                                                           const ReplicaRegistry& registry,
                                                           const HopDirectory& hops,
                                                           base::TimePoint now) const {
  const RoutingConfig* config = registry.config();
  const ServiceConfig* service = config == nullptr ? nullptr : config->FindService(service_name);
  if (service == nullptr) return std::nullopt;
  SendGate gate(registry, hops, own_id_, now);
  std::optional<base::Duration> shortest;
  for (const auto& [id, replica] : registry.replicas()) {
    if (!Serves(*replica, service_name, software)) continue;
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
    if (!Serves(*replica, service_name, std::nullopt)) continue;
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
