#include "libs/gateway/internal/service_calls.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

#include "libs/gateway/internal/client_api.h"

namespace cornelplank::gateway {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kMaxReplicas = 3;  // asked in a row while no byte has left
constexpr milliseconds kTicketPoll{25};
constexpr milliseconds kForwardStep{200};

ServiceAnswer Failed(Failure failure) {
  ServiceAnswer answer;
  answer.failure = std::move(failure);
  return answer;
}

ServiceAnswer Refused(int status, std::string code, std::string detail,
                      base::Outcome outcome = base::Outcome::kNotRun) {
  return Failed({status, std::move(code), std::move(detail), outcome});
}

tickets::TicketBinding BindingOf(const Work& work) { return {work.partner, work.client, work.target}; }

uint64_t DigestOf(const Work& work) {
  return base::Hash64(work.body, base::Hash64(work.path, base::Hash64(work.method)));
}

http::Response ToResponse(const ServiceAnswer& answer) {
  http::Response response;
  if (answer.answered) {
    response.status = answer.status;
    response.headers["Content-Type"] = answer.content_type;
    response.headers["Served-By"] = answer.place.served_by;
    response.headers["Served-Region"] = answer.place.region;
    response.headers["Route-Reason"] = answer.place.reason;
    response.body = answer.body;
  } else {
    response = FailureResponse(answer.failure);
  }
  if (!answer.ticket.empty()) response.headers["Idempotency-Key"] = answer.ticket;
  return response;
}

}  // namespace

http::Response ServiceCalls::Mint(Work work) {
  const auto body = json::parse(work.body, nullptr, false);
  if (!body.is_object() || !body.contains("service") || !body["service"].is_string()) {
    return FailureResponse({400, "invalid-request", "the body must name a service", base::Outcome::kNotRun});
  }
  work.target = body["service"].get<std::string>();
  const NodeView view = core_->View();
  if (!view.document->services.contains(work.target)) {
    return FailureResponse(
        {404, "unknown-service", "there is no service of this name", base::Outcome::kNotRun});
  }
  Failure failure;
  const auto choice = dispatcher_->Choose(work, {}, &failure);
  ServiceAnswer answer = Failed(failure);
  if (choice && choice->is_local()) answer = MintHere(work);
  if (choice && !choice->is_local()) {
    auto attempt = dispatcher_->OpenRemote(work, *choice, AttemptName(work.request_id, 1), 0, &failure);
    answer = attempt ? Forward(work, std::move(attempt)) : Failed(failure);
  }
  http::Response response = ToResponse(answer);
  response.headers.erase("Idempotency-Key");
  return response;
}

ServiceAnswer ServiceCalls::MintHere(const Work& work) {
  tickets::TicketReason reason;
  std::optional<tickets::MintedTicket> minted;
  {
    const std::lock_guard<std::mutex> lock(core_->tickets.mutex);
    minted = core_->tickets.table.Mint(BindingOf(work), core_->clock.Now(), &reason);
  }
  if (!minted) return Refused(503, std::string(tickets::TicketCodeName(reason.code)), reason.detail);
  ServiceAnswer answer;
  answer.answered = true;
  answer.status = 200;
  answer.content_type = "application/json";
  answer.ticket = minted->text;
  answer.body = json{{"ticket", minted->text},
                     {"expires_in_s", std::chrono::floor<std::chrono::seconds>(minted->expires_in).count()}}
                    .dump();
  answer.place = {0, false, upstreams::kNone, core_->settings.vm, core_->settings.region, "ticket", 0};
  return answer;
}

http::Response ServiceCalls::Call(const Work& work) {
  const ServiceAnswer answer = Route(work);
  core_->metrics.CountRequest(work.partner, work.priority_class,
                              answer.answered ? "ok" : answer.failure.code);
  if (answer.answered) {
    core_->metrics.CountServed(work.partner, answer.place.region, answer.place.region != work.home);
  }
  http::Response response = ToResponse(answer);
  response.headers["Request-Id"] = work.request_id;
  return response;
}

ServiceAnswer ServiceCalls::Route(const Work& work) {
  if (work.idempotent) return RouteLookup(work);
  if (!work.ticket.empty()) return ToOwner(work);
  Failure failure;
  const auto choice = dispatcher_->Choose(work, {}, &failure);
  if (!choice) return Failed(failure);
  if (choice->is_local()) return CallHere(work);
  auto attempt = dispatcher_->OpenRemote(work, *choice, AttemptName(work.request_id, 1), 0, &failure);
  return attempt ? Forward(work, std::move(attempt)) : Failed(failure);
}

/// Lookups are repeated on another replica or in another zone until the budget, the deadline or the replicas
/// are used up.
ServiceAnswer ServiceCalls::RouteLookup(const Work& work) {
  const retry::RetryPolicy policy;
  routing::ExcludeSet excluded;
  ServiceAnswer answer;
  {
    const std::lock_guard<std::mutex> lock(core_->retry.mutex);
    core_->retry.retries.OnRequest();
  }
  for (uint32_t attempts = 1;; ++attempts) {
    Failure failure;
    const auto choice = dispatcher_->Choose(work, excluded, &failure);
    if (!choice) return attempts == 1 ? Failed(failure) : answer;
    const AttemptPlace place = choice->Place();
    if (attempts > 1) {
      const retry::RetryCandidate candidate{place.key, 0, choice->decision.first_token};
      retry::RetryQuery query;
      query.idempotent = true;
      query.outcome = answer.failure.outcome;
      query.attempts = attempts - 1;
      query.now = core_->clock.Now();
      query.deadline = work.deadline;
      query.candidates = {&candidate, 1};
      const std::lock_guard<std::mutex> lock(core_->retry.mutex);
      retry::RetryReason reason;
      if (!policy.Decide(query, &core_->retry.retries, &reason)) return answer;
      core_->metrics.CountExtraAttempt("retry");
    }
    if (choice->is_local()) {
      answer = Lookup(work, *choice);
    } else {
      auto attempt =
          dispatcher_->OpenRemote(work, *choice, AttemptName(work.request_id, attempts), 0, &failure);
      answer = attempt ? Forward(work, std::move(attempt)) : Failed(failure);
    }
    if (answer.answered || answer.failure.client_error) return answer;
    place.is_zone ? excluded.AddZone(place.zone) : excluded.AddReplica(place.key);
  }
}

/// Collects the answer of a hop.
ServiceAnswer ServiceCalls::Forward(const Work& work, std::unique_ptr<Attempt> attempt) {
  ServiceAnswer answer;
  while (true) {
    AttemptEvent event = attempt->Next(kForwardStep);
    answer.place = attempt->place();
    switch (event.kind) {
      case AttemptEvent::Kind::kHead:
        answer.status = event.status;
        for (const auto& [name, value] : event.headers) {
          if (name == "Content-Type") answer.content_type = value;
          if (name == "Idempotency-Key") answer.ticket = value;
        }
        break;
      case AttemptEvent::Kind::kData:
        answer.body += event.data;
        break;
      case AttemptEvent::Kind::kEnd:
        answer.answered = true;
        return answer;
      case AttemptEvent::Kind::kFailed:
        answer.failure = std::move(event.failure);
        if (!work.ticket.empty() && answer.ticket.empty()) answer.ticket = work.ticket;
        return answer;
      case AttemptEvent::Kind::kNothing:
        break;
    }
  }
}

/// A call with a ticket runs only at the incarnation that minted it, wherever it arrives.
ServiceAnswer ServiceCalls::ToOwner(const Work& work) {
  tickets::TicketReason reason;
  const auto ticket = tickets::ParseTicket(work.ticket, &reason);
  if (!ticket) return Refused(400, std::string(tickets::TicketCodeName(reason.code)), reason.detail);
  if (ticket->vm == core_->settings.vm) return CallHere(work);
  std::optional<membership::VmListEntry> owner;
  {
    const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
    const membership::Vm* vm = core_->fleet.table.Find(ticket->vm);
    // The VM list may not know the incarnation yet, or lag; the VM itself judges whether the ticket is its
    // own.
    if (vm != nullptr && vm->entry.incarnation <= ticket->incarnation) owner = vm->entry;
  }
  if (!owner) {
    return Refused(409, "ticket-owner-gone", "the VM that minted the ticket is not known any more",
                   base::Outcome::kUnknown);
  }
  Failure failure;
  auto relay = dispatcher_->Relay(work, *owner, AttemptName(work.request_id, 1), &failure);
  // The client may have sent the ticket through another VM as well, so this VM can't say `not-run`.
  if (!relay) {
    failure.outcome = base::Outcome::kUnknown;
    return Failed(failure);
  }
  ServiceAnswer answer = Forward(work, std::move(relay));
  const bool lost = answer.failure.code.starts_with("peer-") || answer.failure.code == "deadline";
  if (!answer.answered && lost) answer.failure.outcome = tickets::OutcomeOfFailedRelay({});
  return answer;
}

ServiceAnswer ServiceCalls::CallHere(const Work& work) {
  Work here = work;
  here.here_only = true;
  if (!work.idempotent) {
    if (!work.ticket.empty()) return RunTicket(here, false);
    ServiceAnswer minted = MintHere(work);
    if (!minted.answered) return minted;
    here.ticket = minted.ticket;
    return RunTicket(here, true);
  }
  Failure failure;
  const auto choice = dispatcher_->Choose(here, {}, &failure);
  if (!choice) return Failed(failure);
  return Lookup(here, *choice);
}

tickets::SendConditions ServiceCalls::Gate(const Work& work) const {
  tickets::SendConditions gate;
  gate.deadline = work.deadline;
  gate.call_config_seq = work.config_seq;
  gate.own_config_seq = core_->View().version.seq;
  bool replaced = false;
  {
    const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
    replaced = core_->fleet.table.OwnReplaced();
  }
  gate.now = core_->clock.Now();
  gate.incarnation_status = core_->standing.Now(gate.now, replaced);
  return gate;
}

ServiceAnswer ServiceCalls::RunTicket(const Work& work, bool implicit) {
  tickets::TicketAnswer begun;
  {
    const tickets::SendConditions gate = Gate(work);
    const std::lock_guard<std::mutex> lock(core_->tickets.mutex);
    begun = core_->tickets.table.Begin(work.ticket, BindingOf(work), DigestOf(work), gate);
  }
  ServiceAnswer answer;
  if (begun.decision == tickets::TicketDecision::kStart) {
    answer = SendOnce(work, begun.send);
  } else if (begun.decision == tickets::TicketDecision::kInProgress) {
    answer = AwaitTicket(work);
  } else {
    answer = FromTicket(begun);
  }
  if (implicit) answer.ticket = work.ticket;
  return answer;
}

ServiceAnswer ServiceCalls::FromTicket(const tickets::TicketAnswer& ticket) const {
  const std::string code(tickets::TicketCodeName(ticket.code));
  if (ticket.decision == tickets::TicketDecision::kReplay && ticket.result) {
    ServiceAnswer answer;
    answer.answered = true;
    answer.status = ticket.result->status;
    answer.content_type = ticket.result->content_type;
    answer.body = ticket.result->body;
    answer.place = {0, false, upstreams::kNone, core_->settings.vm, core_->settings.region, "replay", 0};
    return answer;
  }
  const int status = ticket.code == tickets::TicketCode::kDeadline ? 504 : 409;
  return Refused(status, code, "the ticket is not runnable", ticket.outcome);
}

/// Another call on the same ticket is out; its result is this call's result as well.
ServiceAnswer ServiceCalls::AwaitTicket(const Work& work) {
  tickets::TicketAnswer answer;
  do {
    std::this_thread::sleep_for(kTicketPoll);
    const std::lock_guard<std::mutex> lock(core_->tickets.mutex);
    answer = core_->tickets.table.Lookup(work.ticket, BindingOf(work), DigestOf(work), core_->clock.Now());
  } while (answer.decision == tickets::TicketDecision::kInProgress && core_->clock.Now() < work.deadline);
  return FromTicket(answer);
}

/// Sends a call that must not be repeated. Another replica is tried only while no byte has left.
ServiceAnswer ServiceCalls::SendOnce(const Work& work, tickets::SendId send) {
  routing::ExcludeSet excluded;
  Failure failure;
  for (int i = 0; i < kMaxReplicas; ++i) {
    Failure refusal;
    const auto choice = dispatcher_->Choose(work, excluded, &refusal);
    if (choice && !choice->is_local()) refusal.code = "no-route";
    auto reservation =
        choice && choice->is_local() ? dispatcher_->Reserve(work, *choice, &refusal) : std::nullopt;
    if (!reservation) {
      if (i == 0) failure = refusal;
      break;
    }
    http::ExchangeState state;
    // The wait for a slot may have been long, or this process may have been paused since Begin.
    const tickets::TicketCode gate = tickets::CheckSendConditions(Gate(work));
    if (gate != tickets::TicketCode::kNone) {
      failure = {503, std::string(tickets::TicketCodeName(gate)), "refused just before the send"};
      break;
    }
    auto response = Exchange(work, *reservation, &state, &failure);
    if (response) {
      ServiceAnswer answer;
      answer.answered = true;
      answer.status = response->status;
      answer.content_type = http::HeaderValue(response->headers, "Content-Type");
      answer.body = std::move(response->body);
      answer.place = reservation->target.place;
      const std::lock_guard<std::mutex> lock(core_->tickets.mutex);
      core_->tickets.table.Complete(send, {answer.status, answer.content_type, answer.body},
                                    core_->clock.Now());
      return answer;
    }
    if (state.connected) {
      const std::lock_guard<std::mutex> lock(core_->tickets.mutex);
      core_->tickets.table.MarkUnknown(send, core_->clock.Now());
      failure.outcome = base::Outcome::kUnknown;
      return Failed(failure);
    }
    excluded.AddReplica(choice->replica().key);
  }
  const std::lock_guard<std::mutex> lock(core_->tickets.mutex);
  core_->tickets.table.Abandon(send, core_->clock.Now());
  failure.outcome = base::Outcome::kNotRun;
  return Failed(failure);
}

ServiceAnswer ServiceCalls::Lookup(const Work& work, const Choice& choice) {
  Failure failure;
  const auto reservation = dispatcher_->Reserve(work, choice, &failure);
  if (!reservation) return Failed(failure);
  http::ExchangeState state;
  auto response = Exchange(work, *reservation, &state, &failure);
  if (!response) return Failed(failure);
  ServiceAnswer answer;
  answer.answered = true;
  answer.status = response->status;
  answer.content_type = http::HeaderValue(response->headers, "Content-Type");
  answer.body = std::move(response->body);
  answer.place = reservation->target.place;
  return answer;
}

/// One exchange with a service's replica. A 503 is no answer of the service: it is reported as a failure,
/// with outcome `unknown` because its bytes have left.
std::optional<http::Response> ServiceCalls::Exchange(const Work& work, const Reservation& reservation,
                                                     http::ExchangeState* state, Failure* failure) {
  constexpr int kUnavailable = 503;
  const auto left = std::chrono::duration_cast<milliseconds>(work.deadline - core_->clock.Now());
  http::ClientRequest request;
  request.method = work.method;
  request.url = "http://" + reservation.target.address + work.path;
  for (const auto& [name, value] : work.headers) request.headers[name] = value;
  request.headers["Request-Id"] = work.request_id;
  request.headers["Request-Timeout-Ms"] = std::to_string(std::max<int64_t>(1, left.count()));
  if (!work.ticket.empty()) request.headers["Idempotency-Key"] = work.ticket;
  request.body = work.body;
  request.connect_timeout = core_->settings.connect_limit;
  request.timeout = left;
  request.progress_timeout = core_->settings.progress_limit;
  // Lookups too: a kept connection may have gone silent while it was idle.
  request.single_use_connection = true;
  ReplicaReport report(core_, reservation.target.upstream, reservation.in_flight.IsProbe());
  http::HttpReason reason;
  auto response = core_->http->Send(request, &reason, state);
  if (response) report.Head(response->status, response->headers);
  if (response && response->status != kUnavailable) {
    report.Success();
    if (reservation.limited) reservation.limited->SetResult(admission::CallResult::kOk);
    return response;
  }
  const bool leaving = response && http::HeaderValue(response->headers, "Engine-State") == "leaving";
  if (!leaving) report.Failed();
  const bool overloaded = (response && !leaving) || reason.code == http::HttpCode::kTimeout;
  if (overloaded && reservation.limited) reservation.limited->SetResult(admission::CallResult::kOverloaded);
  failure->status = !response && reason.code == http::HttpCode::kTimeout ? 504 : 503;
  failure->code = response ? "upstream-refused" : "upstream-broken";
  failure->detail = response ? "status 503" : reason.detail;
  failure->outcome = state->connected ? base::Outcome::kUnknown : base::Outcome::kNotRun;
  return std::nullopt;
}

}  // namespace cornelplank::gateway
