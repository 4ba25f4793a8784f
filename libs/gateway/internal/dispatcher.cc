#include "libs/gateway/internal/dispatcher.h"

#include <algorithm>
#include <cstdio>
#include <thread>
#include <vector>

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;

// Bounds of one sleep between two attempts to route a request that waits for spare capacity.
constexpr milliseconds kMinSpareWait{20};
constexpr milliseconds kMaxSpareWait{500};

milliseconds ToMilliseconds(base::Duration time) { return std::chrono::duration_cast<milliseconds>(time); }

Failure NotRunFailure(int status, std::string code, std::string detail, base::Duration retry_after = {}) {
  return {status, std::move(code), std::move(detail), base::Outcome::kNotRun, ToMilliseconds(retry_after)};
}

Failure RouteFailure(const routing::RouteReason& reason) {
  constexpr int kForbidden = 403;
  constexpr int kNotFound = 404;
  constexpr int kTimeout = 504;
  constexpr int kUnavailable = 503;
  int status = kUnavailable;
  if (reason.code == routing::RouteCode::kResidency) status = kForbidden;
  if (reason.code == routing::RouteCode::kNotServed) status = kNotFound;
  if (reason.code == routing::RouteCode::kDeadline) status = kTimeout;
  const std::string name(routing::RouteCodeName(reason.code));
  return NotRunFailure(status, "no-route", name, reason.retry_after);
}

routing::RouteRequest ToRouteRequest(const GatewayRequest& request,
                                     const routing::RoutingSnapshot& routing_snapshot, base::TimePoint now) {
  const bool completion = request.kind == rpc::ForwardKind::kCompletion;
  routing::RouteRequest route_request = routing_snapshot.Resolve({.partner = request.partner,
                                                                  .model = completion ? request.target : "",
                                                                  .service = completion ? "" : request.target,
                                                                  .residency = request.residency,
                                                                  .home = request.home});
  route_request.idempotent = request.idempotent;
  route_request.may_wait = request.may_wait;
  route_request.prefix = request.prefix;
  route_request.prefix_tokens = request.prefix_tokens;
  route_request.prompt_tokens = request.prompt_tokens;
  route_request.output_tokens = request.output_tokens;
  constexpr uint64_t kEventBytes = 120;  // size of the server-sent event of one token
  route_request.request_bytes = request.body.size();
  route_request.response_bytes = request.output_tokens * kEventBytes;
  route_request.now = now;
  route_request.deadline = request.deadline;
  return route_request;
}

/// Returns the zones that the request has passed through, or nothing when one of them is not in this VM's
/// configuration or there are more than a route may have.
std::optional<routing::HopPath> ToHopPath(const GatewayRequest& request,
                                          const routing::RoutingSnapshot& routing_snapshot) {
  std::vector<upstreams::Index> zones;
  for (const std::string& name : request.visited_zones) {
    const auto& all = routing_snapshot.Names().Zones();
    const auto found =
        std::find_if(all.begin(), all.end(), [&name](const auto& zone) { return zone.zone == name; });
    if (found == all.end()) return std::nullopt;
    zones.push_back(static_cast<upstreams::Index>(found - all.begin()));
  }
  return routing::HopPath::FromZones(zones);
}

}  // namespace

std::string RouteReasonText(const routing::ScoreBreakdown& score) {
  char text[256];
  std::snprintf(text, sizeof text,
                "queue=%.1fms prefill=%.1fms distance=%.1fms link=%.1fms price=%.3f away=%.3f total=%.3f "
                "cached=%u considered=%u%s%s",
                score.queue_ms, score.prefill_ms, score.round_trip_ms, score.link_ms, score.price,
                score.away_score, score.total, score.cached_tokens, score.scored_candidates,
                score.prefix_owner ? " prefix-owner" : "", score.borrowed ? " borrowed" : "");
  return text;
}

AttemptPlace RouteChoice::Place() const {
  AttemptPlace place;
  place.zone = decision.zone;
  const auto& zone = view.routing_snapshot->Names().Zones()[decision.zone];
  place.region = zone.region;
  place.is_zone = !is_local();
  place.key = is_local() ? replica().key : base::Hash64(zone.zone);
  place.served_by = is_local() ? replica().id : zone.zone;
  place.route_reason = RouteReasonText(decision.breakdown);
  place.cost = decision.cost;
  return place;
}

std::optional<RouteChoice> Dispatcher::ChooseRoute(const GatewayRequest& request,
                                                   const routing::ExcludeSet& excluded,
                                                   Failure* failure) const {
  thread_local base::Random random(base::EntropySeed());
  while (true) {
    RouteChoice choice;
    choice.view = shared_->View();
    if (!choice.view.routing_snapshot) {
      *failure = NotRunFailure(503, "no-configuration", "this VM has not yet learned a configuration",
                               std::chrono::seconds{1});
      return std::nullopt;
    }
    const routing::RoutingSnapshot& routing_snapshot = *choice.view.routing_snapshot;
    choice.route_request = ToRouteRequest(request, routing_snapshot, shared_->clock.Now());
    const auto route = ToHopPath(request, routing_snapshot);
    if (!route) {
      *failure = NotRunFailure(503, "no-route", "loop");
      return std::nullopt;
    }
    choice.route_request.hop_path = request.own_zone_only ? routing::HopPath::Exhausted() : *route;
    choice.route_request.excluded = excluded;
    routing::RouteReason reason;
    const auto decision = shared_->router.Choose(choice.route_request, routing_snapshot, random, &reason);
    if (decision) {
      choice.decision = *decision;
      return choice;
    }
    *failure = RouteFailure(reason);
    const bool wait = reason.code == routing::RouteCode::kWaitForSpare && request.visited_zones.empty();
    if (!wait || shared_->clock.Now() + reason.retry_after >=
                     std::min(request.deadline, shared_->drain.LastAnswer())) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(std::clamp(ToMilliseconds(reason.retry_after), kMinSpareWait, kMaxSpareWait));
  }
}

bool Dispatcher::CheckDeadline(const GatewayRequest& request, Failure* failure) const {
  if (shared_->clock.Now() < request.deadline) return true;
  *failure = NotRunFailure(504, "deadline", "the deadline passed before the request was sent");
  return false;
}

std::optional<Reservation> Dispatcher::ReserveReplica(const GatewayRequest& request, const RouteChoice& first,
                                                      Failure* failure) const {
  RouteChoice choice = first;
  const auto upstream = choice.view.document->upstreams.find(choice.replica().id);
  if (upstream == choice.view.document->upstreams.end()) {
    *failure = NotRunFailure(503, "no-route", "the replica has left the configuration");
    return std::nullopt;
  }
  admission::WorkItem item;
  item.pool = admission::PoolName(upstream->second);
  item.partner = request.partner;
  item.priority_class = request.priority_class;
  item.client = request.client;
  item.deadline = request.deadline;
  item.cancellable = request.idempotent;
  AdmissionGate::Result answer = shared_->admission.Acquire(item);
  if (!answer.slot) {
    *failure =
        NotRunFailure(429, "not-admitted", std::string(admission::AdmissionCodeName(answer.refusal.code)),
                      answer.refusal.retry_after);
    return std::nullopt;
  }
  if (answer.waited) {
    // The load may have changed during the wait, so another replica of the same pool may be the better
    // choice.
    Failure ignored;
    const auto again = ChooseRoute(request, first.route_request.excluded, &ignored);
    const bool same_pool =
        again && again->is_local() && again->view.document->upstreams.contains(again->replica().id) &&
        admission::PoolName(again->view.document->upstreams.at(again->replica().id)) == item.pool;
    if (same_pool) choice = *again;
  }
  std::unique_ptr<LimitedCall> limited;
  if (request.kind != rpc::ForwardKind::kCompletion) {
    limited = shared_->limits.TryStart(choice.replica().id, choice.replica().slots);
    if (!limited) {
      *failure = NotRunFailure(429, "not-admitted", "replica-limit", std::chrono::seconds{1});
      return std::nullopt;
    }
  }
  upstreams::BeginFailure begin_failure{};
  auto in_flight =
      upstreams::InFlightRequest::Begin(choice.replica().live, shared_->clock.Now(), &begin_failure);
  if (!in_flight) {
    const bool leaving = begin_failure == upstreams::BeginFailure::kLeaving;
    *failure =
        NotRunFailure(503, "replica-gone", leaving ? "the replica is leaving" : "the replica is ejected");
    return std::nullopt;
  }
  LocalTarget target{choice.Place(), choice.replica().id, choice.replica().address,
                     choice.decision.first_token};
  return Reservation{std::move(target), std::move(limited), std::move(answer.slot), std::move(*in_flight)};
}

std::unique_ptr<RunningAttempt> Dispatcher::OpenAttempt(const GatewayRequest& request,
                                                        const RouteChoice& choice,
                                                        const std::string& attempt_id, uint32_t resume_tokens,
                                                        Failure* failure) const {
  if (!choice.is_local()) return OpenRemoteAttempt(request, choice, attempt_id, resume_tokens, failure);
  auto reservation = ReserveReplica(request, choice, failure);
  if (!reservation || !CheckDeadline(request, failure)) return nullptr;
  return std::make_unique<LocalAttempt>(shared_, request, std::move(reservation->target),
                                        std::move(reservation->slot), std::move(reservation->in_flight),
                                        attempt_id, resume_tokens);
}

std::unique_ptr<RunningAttempt> Dispatcher::OpenRemoteAttempt(const GatewayRequest& request,
                                                              const RouteChoice& choice,
                                                              const std::string& attempt_id,
                                                              uint32_t resume_tokens,
                                                              Failure* failure) const {
  thread_local base::Random random(base::EntropySeed());
  const auto& zone = choice.view.routing_snapshot->Names().Zones()[choice.decision.zone];
  std::vector<membership::VmListEntry> usable;
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    for (const membership::Vm* vm : shared_->fleet.table.VmsInZone(zone.zone)) {
      if (vm->usable() && !vm->entry.rpc.empty()) usable.push_back(vm->entry);
    }
  }
  if (usable.empty()) {
    *failure =
        NotRunFailure(503, "zone-unreachable", "no entry VM of zone " + zone.zone + " is known to answer");
    return nullptr;
  }
  auto forward = choice.view.routing_snapshot->BeginForward(choice.route_request, choice.decision.zone);
  if (!forward) {
    *failure = NotRunFailure(503, "zone-unreachable", "zone " + zone.zone + " does not answer");
    return nullptr;
  }
  if (!CheckDeadline(request, failure)) {
    forward->Cancel();
    return nullptr;
  }
  const membership::VmListEntry& vm = usable[random.Below(usable.size())];
  auto forward_request = ToForward(request, shared_->settings.zone, attempt_id, resume_tokens,
                                   request.deadline - shared_->clock.Now());
  auto call = shared_->node->Forward(vm.rpc, forward_request);
  return std::make_unique<RemoteAttempt>(shared_, choice.Place(), vm.id, std::move(call), std::move(forward),
                                         request.deadline);
}

std::unique_ptr<RemoteAttempt> Dispatcher::RelayToVm(const GatewayRequest& request,
                                                     const membership::VmListEntry& vm,
                                                     const std::string& attempt_id, Failure* failure) const {
  if (!CheckDeadline(request, failure)) return nullptr;
  AttemptPlace place;
  place.is_zone = true;
  place.key = base::Hash64(vm.zone);
  place.served_by = vm.id;
  place.region = vm.region;
  place.route_reason = "ticket-owner";
  auto forward_request =
      ToForward(request, shared_->settings.zone, attempt_id, 0, request.deadline - shared_->clock.Now());
  auto call = shared_->node->Forward(vm.rpc, forward_request);
  return std::make_unique<RemoteAttempt>(shared_, std::move(place), vm.id, std::move(call), std::nullopt,
                                         request.deadline);
}

}  // namespace cornelplank::gateway
