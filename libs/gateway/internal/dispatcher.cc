#include "libs/gateway/internal/dispatcher.h"

#include <algorithm>
#include <cstdio>
#include <thread>
#include <vector>

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortestWait{20};
constexpr milliseconds kLongestWait{500};

milliseconds ToMilliseconds(base::Duration time) { return std::chrono::duration_cast<milliseconds>(time); }

Failure NotRun(int status, std::string code, std::string detail, base::Duration retry_after = {}) {
  return {status, std::move(code), std::move(detail), base::Outcome::kNotRun, ToMilliseconds(retry_after)};
}

Failure FromRouteReason(const routing::RouteReason& reason) {
  constexpr int kForbidden = 403;
  constexpr int kNotFound = 404;
  constexpr int kTimeout = 504;
  constexpr int kUnavailable = 503;
  int status = kUnavailable;
  if (reason.code == routing::RouteCode::kResidency) status = kForbidden;
  if (reason.code == routing::RouteCode::kNotServed) status = kNotFound;
  if (reason.code == routing::RouteCode::kDeadline) status = kTimeout;
  const std::string name(routing::RouteCodeName(reason.code));
  return NotRun(status, "no-route", name, reason.retry_after);
}

routing::RouteRequest ToRouteRequest(const Work& work, const routing::RoutingSnapshot& world,
                                     base::TimePoint now) {
  const bool completion = work.kind == rpc::ForwardKind::kCompletion;
  routing::RouteRequest request = world.Resolve({.partner = work.partner,
                                                 .model = completion ? work.target : "",
                                                 .service = completion ? "" : work.target,
                                                 .residency = work.residency,
                                                 .home = work.home});
  request.idempotent = work.idempotent;
  request.may_wait = work.may_wait;
  request.prefix = work.prefix;
  request.prefix_tokens = work.prefix_tokens;
  request.prompt_tokens = work.prompt_tokens;
  request.output_tokens = work.output_tokens;
  constexpr uint64_t kEventBytes = 120;  // of one token's server-sent event
  request.request_bytes = work.body.size();
  request.response_bytes = work.output_tokens * kEventBytes;
  request.now = now;
  request.deadline = work.deadline;
  return request;
}

/// The route so far; nothing when a visited zone is unknown here or there are too many.
std::optional<routing::HopPath> ToRoute(const Work& work, const routing::RoutingSnapshot& world) {
  std::vector<upstreams::Index> zones;
  for (const std::string& name : work.visited_zones) {
    const auto& all = world.Names().Zones();
    const auto found =
        std::find_if(all.begin(), all.end(), [&name](const auto& zone) { return zone.zone == name; });
    if (found == all.end()) return std::nullopt;
    zones.push_back(static_cast<upstreams::Index>(found - all.begin()));
  }
  return routing::HopPath::FromZones(zones);
}

}  // namespace

std::string RouteReasonText(const routing::ScoreBreakdown& terms) {
  char text[256];
  std::snprintf(text, sizeof text,
                "queue=%.1fms prefill=%.1fms distance=%.1fms link=%.1fms price=%.3f away=%.3f total=%.3f "
                "cached=%u considered=%u%s%s",
                terms.queue_ms, terms.prefill_ms, terms.round_trip_ms, terms.link_ms, terms.price,
                terms.away_score, terms.total, terms.cached_tokens, terms.scored_candidates,
                terms.prefix_owner ? " prefix-owner" : "", terms.borrowed ? " borrowed" : "");
  return text;
}

AttemptPlace Choice::Place() const {
  AttemptPlace place;
  place.zone = decision.zone;
  const auto& zone = view.world->Names().Zones()[decision.zone];
  place.region = zone.region;
  place.is_zone = !is_local();
  place.key = is_local() ? replica().key : base::Hash64(zone.zone);
  place.served_by = is_local() ? replica().id : zone.zone;
  place.reason = RouteReasonText(decision.breakdown);
  place.cost = decision.cost;
  return place;
}

std::optional<Choice> Dispatcher::Choose(const Work& work, const routing::ExcludeSet& excluded,
                                         Failure* failure) const {
  thread_local base::Random random(base::EntropySeed());
  while (true) {
    Choice choice;
    choice.view = core_->View();
    if (!choice.view.world) {
      *failure = NotRun(503, "no-configuration", "this VM has not yet learned a configuration",
                        std::chrono::seconds{1});
      return std::nullopt;
    }
    const routing::RoutingSnapshot& world = *choice.view.world;
    choice.request = ToRouteRequest(work, world, core_->clock.Now());
    const auto route = ToRoute(work, world);
    if (!route) {
      *failure = NotRun(503, "no-route", "loop");
      return std::nullopt;
    }
    choice.request.hop_path = work.here_only ? routing::HopPath::Exhausted() : *route;
    choice.request.excluded = excluded;
    routing::RouteReason reason;
    const auto decision = core_->router.Choose(choice.request, world, random, &reason);
    if (decision) {
      choice.decision = *decision;
      return choice;
    }
    *failure = FromRouteReason(reason);
    const bool wait = reason.code == routing::RouteCode::kWaitForSpare && work.visited_zones.empty();
    if (!wait || core_->clock.Now() + reason.retry_after >= work.deadline) return std::nullopt;
    std::this_thread::sleep_for(std::clamp(ToMilliseconds(reason.retry_after), kShortestWait, kLongestWait));
  }
}

bool Dispatcher::StillInTime(const Work& work, Failure* failure) const {
  if (core_->clock.Now() < work.deadline) return true;
  *failure = NotRun(504, "deadline", "the deadline passed before the request was sent");
  return false;
}

std::optional<Reservation> Dispatcher::Reserve(const Work& work, const Choice& first,
                                               Failure* failure) const {
  Choice choice = first;
  const auto upstream = choice.view.document->upstreams.find(choice.replica().id);
  if (upstream == choice.view.document->upstreams.end()) {
    *failure = NotRun(503, "no-route", "the replica has left the configuration");
    return std::nullopt;
  }
  admission::WorkItem item;
  item.pool = admission::PoolName(upstream->second);
  item.partner = work.partner;
  item.priority_class = work.priority_class;
  item.client = work.client;
  item.deadline = work.deadline;
  item.cancellable = work.idempotent;
  AdmissionGate::Answer answer = core_->admission.Acquire(item);
  if (!answer.slot) {
    *failure = NotRun(429, "not-admitted", std::string(admission::AdmissionCodeName(answer.refusal.code)),
                      answer.refusal.retry_after);
    return std::nullopt;
  }
  if (answer.waited) {
    // The load has changed while it waited; another replica of the same pool may be the better one now.
    Failure ignored;
    const auto again = Choose(work, first.request.excluded, &ignored);
    const bool same_pool =
        again && again->is_local() && again->view.document->upstreams.contains(again->replica().id) &&
        admission::PoolName(again->view.document->upstreams.at(again->replica().id)) == item.pool;
    if (same_pool) choice = *again;
  }
  std::unique_ptr<LimitedCall> limited;
  if (work.kind != rpc::ForwardKind::kCompletion) {
    limited = core_->limits.TryStart(choice.replica().id, choice.replica().slots);
    if (!limited) {
      *failure = NotRun(429, "not-admitted", "replica-limit", std::chrono::seconds{1});
      return std::nullopt;
    }
  }
  upstreams::BeginFailure begin_failure{};
  auto in_flight =
      upstreams::InFlightRequest::Begin(choice.replica().live, core_->clock.Now(), &begin_failure);
  if (!in_flight) {
    const bool leaving = begin_failure == upstreams::BeginFailure::kLeaving;
    *failure = NotRun(503, "replica-gone", leaving ? "the replica is leaving" : "the replica is ejected");
    return std::nullopt;
  }
  LocalTarget target{choice.Place(), choice.replica().id, choice.replica().address,
                     choice.decision.first_token};
  return Reservation{std::move(target), std::move(limited), std::move(answer.slot), std::move(*in_flight)};
}

std::unique_ptr<Attempt> Dispatcher::Open(const Work& work, const Choice& choice, const std::string& attempt,
                                          uint32_t resume_tokens, Failure* failure) const {
  if (!choice.is_local()) return OpenRemote(work, choice, attempt, resume_tokens, failure);
  auto reservation = Reserve(work, choice, failure);
  if (!reservation || !StillInTime(work, failure)) return nullptr;
  return std::make_unique<LocalAttempt>(core_, work, std::move(reservation->target),
                                        std::move(reservation->slot), std::move(reservation->in_flight),
                                        attempt, resume_tokens);
}

std::unique_ptr<Attempt> Dispatcher::OpenRemote(const Work& work, const Choice& choice,
                                                const std::string& attempt, uint32_t resume_tokens,
                                                Failure* failure) const {
  thread_local base::Random random(base::EntropySeed());
  const auto& zone = choice.view.world->Names().Zones()[choice.decision.zone];
  std::vector<membership::VmListEntry> usable;
  {
    const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
    for (const membership::Vm* vm : core_->fleet.table.InZone(zone.zone)) {
      if (vm->usable() && !vm->entry.rpc.empty()) usable.push_back(vm->entry);
    }
  }
  if (usable.empty()) {
    *failure = NotRun(503, "zone-unreachable", "no entry VM of zone " + zone.zone + " is known to answer");
    return nullptr;
  }
  auto forward = choice.view.world->BeginForward(choice.request, choice.decision.zone);
  if (!forward) {
    *failure = NotRun(503, "zone-unreachable", "zone " + zone.zone + " does not answer");
    return nullptr;
  }
  if (!StillInTime(work, failure)) {
    forward->Cancel();
    return nullptr;
  }
  const membership::VmListEntry& vm = usable[random.Below(usable.size())];
  auto request =
      ToForward(work, core_->settings.zone, attempt, resume_tokens, work.deadline - core_->clock.Now());
  auto call = core_->node->Forward(vm.rpc, request);
  return std::make_unique<RemoteAttempt>(core_, choice.Place(), vm.id, std::move(call), std::move(forward),
                                         work.deadline);
}

std::unique_ptr<RemoteAttempt> Dispatcher::Relay(const Work& work, const membership::VmListEntry& vm,
                                                 const std::string& attempt, Failure* failure) const {
  if (!StillInTime(work, failure)) return nullptr;
  AttemptPlace place;
  place.is_zone = true;
  place.key = base::Hash64(vm.zone);
  place.served_by = vm.id;
  place.region = vm.region;
  place.reason = "ticket-owner";
  auto request = ToForward(work, core_->settings.zone, attempt, 0, work.deadline - core_->clock.Now());
  auto call = core_->node->Forward(vm.rpc, request);
  return std::make_unique<RemoteAttempt>(core_, std::move(place), vm.id, std::move(call), std::nullopt,
                                         work.deadline);
}

}  // namespace cornelplank::gateway
