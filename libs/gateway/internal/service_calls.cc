#include "libs/gateway/internal/service_calls.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

#include "libs/gateway/internal/client_api.h"

namespace cornelplank::gateway {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kMaxReplicasTried = 3;  // for a call with a ticket, while no byte of it was sent
constexpr milliseconds kTicketPollInterval{25};
constexpr milliseconds kForwardPollLimit{200};

ServiceAnswer FailedAnswer(Failure failure) {
  ServiceAnswer answer;
  answer.failure = std::move(failure);
  return answer;
}

ServiceAnswer RefusedAnswer(int status, std::string code, std::string detail,
                            base::Outcome outcome = base::Outcome::kNotRun) {
  return FailedAnswer({status, std::move(code), std::move(detail), outcome});
}

tickets::TicketBinding BindingOf(const GatewayRequest& request) {
  return {request.partner, request.client, request.target};
}

uint64_t RequestDigest(const GatewayRequest& request) {
  return base::Hash64(request.body, base::Hash64(request.path, base::Hash64(request.method)));
}

http::Response ToResponse(const ServiceAnswer& answer) {
  http::Response response;
  if (answer.answered) {
    response.status = answer.status;
    response.headers["Content-Type"] = answer.content_type;
    response.headers["Served-By"] = answer.place.served_by;
    response.headers["Served-Region"] = answer.place.region;
    response.headers["Route-Reason"] = answer.place.route_reason;
    response.body = answer.body;
  } else {
    response = FailureResponse(answer.failure);
  }
  if (!answer.ticket.empty()) response.headers["Idempotency-Key"] = answer.ticket;
  return response;
}

}  // namespace

http::Response ServiceCalls::MintTicket(GatewayRequest request) {
  const auto body = base::ParseJson(request.body);
  if (!body.is_object() || !body.contains("service") || !body["service"].is_string()) {
    return FailureResponse({400, "invalid-request", "the body must name a service", base::Outcome::kNotRun});
  }
  request.target = body["service"].get<std::string>();
  const ServingView view = shared_->View();
  if (!view.document->services.contains(request.target)) {
    return FailureResponse(
        {404, "unknown-service", "there is no service of this name", base::Outcome::kNotRun});
  }
  Failure failure;
  const auto choice = dispatcher_->ChooseRoute(request, {}, &failure);
  ServiceAnswer answer = FailedAnswer(failure);
  if (choice && choice->is_local()) answer = MintLocally(request);
  if (choice && !choice->is_local()) {
    auto attempt =
        dispatcher_->OpenRemoteAttempt(request, *choice, WireAttemptId(request.request_id, 1), 0, &failure);
    answer = attempt ? CollectAnswer(request, std::move(attempt)) : FailedAnswer(failure);
  }
  http::Response response = ToResponse(answer);
  response.headers.erase("Idempotency-Key");
  return response;
}

ServiceAnswer ServiceCalls::MintLocally(const GatewayRequest& request) {
  tickets::TicketReason reason;
  std::optional<tickets::MintedTicket> minted;
  {
    const std::lock_guard<std::mutex> lock(shared_->tickets.mutex);
    minted = shared_->tickets.table.Mint(BindingOf(request), shared_->clock.Now(), &reason);
  }
  if (!minted) return RefusedAnswer(503, std::string(tickets::TicketCodeName(reason.code)), reason.detail);
  ServiceAnswer answer;
  answer.answered = true;
  answer.status = 200;
  answer.content_type = "application/json";
  answer.ticket = minted->text;
  answer.body = json{{"ticket", minted->text},
                     {"expires_in_s", std::chrono::floor<std::chrono::seconds>(minted->expires_in).count()}}
                    .dump();
  answer.place = {0, false, upstreams::kNone, shared_->settings.vm, shared_->settings.region, "ticket", 0};
  return answer;
}

http::Response ServiceCalls::HandleCall(const GatewayRequest& request) {
  const ServiceAnswer answer = RouteCall(request);
  shared_->metrics.CountRequest(request.partner, request.priority_class,
                                answer.answered ? "ok" : answer.failure.code);
  if (answer.answered) {
    shared_->metrics.CountServed(request.partner, answer.place.region, answer.place.region != request.home);
  }
  http::Response response = ToResponse(answer);
  response.headers["Request-Id"] = request.request_id;
  return response;
}

ServiceAnswer ServiceCalls::RouteCall(const GatewayRequest& request) {
  if (request.idempotent) return RouteIdempotentCall(request);
  if (!request.ticket.empty()) return RelayToOwner(request);
  Failure failure;
  const auto choice = dispatcher_->ChooseRoute(request, {}, &failure);
  if (!choice) return FailedAnswer(failure);
  if (choice->is_local()) return CallInZone(request);
  auto attempt =
      dispatcher_->OpenRemoteAttempt(request, *choice, WireAttemptId(request.request_id, 1), 0, &failure);
  return attempt ? CollectAnswer(request, std::move(attempt)) : FailedAnswer(failure);
}

/// Repeats an idempotent call on another replica or in another zone until it is answered, or the retry
/// budget, the time or the targets are used up. Returns the last failure then.
ServiceAnswer ServiceCalls::RouteIdempotentCall(const GatewayRequest& request) {
  const retry::RetryPolicy policy;
  routing::ExcludeSet excluded;
  ServiceAnswer answer;
  {
    const std::lock_guard<std::mutex> lock(shared_->retry.mutex);
    shared_->retry.retries.OnRequest();
  }
  for (uint32_t attempts = 1;; ++attempts) {
    Failure failure;
    const auto choice = dispatcher_->ChooseRoute(request, excluded, &failure);
    if (!choice) return attempts == 1 ? FailedAnswer(failure) : answer;
    const AttemptPlace place = choice->Place();
    if (attempts > 1) {
      const retry::RetryCandidate candidate{place.key, 0, choice->decision.first_token};
      retry::RetryQuery query;
      query.idempotent = true;
      query.outcome = answer.failure.outcome;
      query.attempts = attempts - 1;
      query.now = shared_->clock.Now();
      query.deadline = request.deadline;
      query.candidates = {&candidate, 1};
      const std::lock_guard<std::mutex> lock(shared_->retry.mutex);
      retry::RetryReason reason;
      if (!policy.Decide(query, &shared_->retry.retries, &reason)) return answer;
      shared_->metrics.CountExtraAttempt("retry");
    }
    if (choice->is_local()) {
      answer = CallReplica(request, *choice);
    } else {
      auto attempt = dispatcher_->OpenRemoteAttempt(request, *choice,
                                                    WireAttemptId(request.request_id, attempts), 0, &failure);
      answer = attempt ? CollectAnswer(request, std::move(attempt)) : FailedAnswer(failure);
    }
    if (answer.answered || answer.failure.client_error) return answer;
    place.is_zone ? excluded.AddZone(place.zone) : excluded.AddReplica(place.key);
  }
}

/// Waits for the complete answer of a forwarded request. For a call with a ticket, a failure carries the
/// ticket.
ServiceAnswer ServiceCalls::CollectAnswer(const GatewayRequest& request,
                                          std::unique_ptr<RunningAttempt> attempt) {
  ServiceAnswer answer;
  while (true) {
    AttemptEvent event = attempt->Next(kForwardPollLimit);
    answer.place = attempt->place();
    if (event.kind == AttemptEvent::Kind::kNothing && shared_->clock.Now() >= shared_->drain.LastAnswer()) {
      event = {AttemptEvent::Kind::kFailed,
               0,
               {},
               "",
               {503, "entry-leaving", "this VM has shut down", base::Outcome::kUnknown}};
    }
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
        if (!request.ticket.empty() && answer.ticket.empty()) answer.ticket = request.ticket;
        return answer;
      case AttemptEvent::Kind::kNothing:
        break;
    }
  }
}

/// Forwards a call with a ticket to the VM that minted it: only that incarnation may run the call, whichever
/// VM the client sent it to.
ServiceAnswer ServiceCalls::RelayToOwner(const GatewayRequest& request) {
  tickets::TicketReason reason;
  const auto ticket = tickets::ParseTicket(request.ticket, &reason);
  if (!ticket) return RefusedAnswer(400, std::string(tickets::TicketCodeName(reason.code)), reason.detail);
  if (ticket->vm == shared_->settings.vm) return CallInZone(request);
  std::optional<membership::VmListEntry> owner;
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    const membership::Vm* vm = shared_->fleet.table.Find(ticket->vm);
    // The VM list may lag behind and show an older incarnation. The VM itself checks whether the ticket is
    // its own.
    if (vm != nullptr && vm->entry.incarnation <= ticket->incarnation) owner = vm->entry;
  }
  if (!owner) {
    return RefusedAnswer(409, "ticket-owner-gone", "the VM that minted the ticket is not known any more",
                         base::Outcome::kUnknown);
  }
  Failure failure;
  auto relay = dispatcher_->RelayToVm(request, *owner, WireAttemptId(request.request_id, 1), &failure);
  // The client may have sent the same ticket through another VM too, so the outcome can't be `not-run`.
  if (!relay) {
    failure.outcome = base::Outcome::kUnknown;
    return FailedAnswer(failure);
  }
  ServiceAnswer answer = CollectAnswer(request, std::move(relay));
  const bool lost = answer.failure.code.starts_with("peer-") || answer.failure.code == "deadline";
  if (!answer.answered && lost) answer.failure.outcome = tickets::OutcomeOfFailedRelay({});
  return answer;
}

ServiceAnswer ServiceCalls::CallInZone(const GatewayRequest& request) {
  GatewayRequest local_request = request;
  local_request.own_zone_only = true;
  if (!request.idempotent) {
    if (!request.ticket.empty()) return RunTicket(local_request, false);
    ServiceAnswer minted = MintLocally(request);
    if (!minted.answered) return minted;
    local_request.ticket = minted.ticket;
    return RunTicket(local_request, true);
  }
  Failure failure;
  const auto choice = dispatcher_->ChooseRoute(local_request, {}, &failure);
  if (!choice) return FailedAnswer(failure);
  return CallReplica(local_request, *choice);
}

tickets::SendConditions ServiceCalls::CurrentSendConditions(const GatewayRequest& request) const {
  tickets::SendConditions conditions;
  conditions.deadline = request.deadline;
  conditions.call_config_seq = request.config_seq;
  conditions.own_config_seq = shared_->View().version.seq;
  bool replaced = false;
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    replaced = shared_->fleet.table.IsOwnVmReplaced();
  }
  conditions.now = shared_->clock.Now();
  conditions.incarnation_status = shared_->incarnation_monitor.StatusAt(conditions.now, replaced);
  return conditions;
}

ServiceAnswer ServiceCalls::RunTicket(const GatewayRequest& request, bool implicit) {
  tickets::TicketAnswer begun;
  {
    const tickets::SendConditions conditions = CurrentSendConditions(request);
    const std::lock_guard<std::mutex> lock(shared_->tickets.mutex);
    begun =
        shared_->tickets.table.Begin(request.ticket, BindingOf(request), RequestDigest(request), conditions);
  }
  ServiceAnswer answer;
  if (begun.decision == tickets::TicketDecision::kStart) {
    answer = SendOnce(request, begun.send);
  } else if (begun.decision == tickets::TicketDecision::kInProgress) {
    answer = AwaitTicket(request);
  } else {
    answer = ToServiceAnswer(begun);
  }
  if (implicit) answer.ticket = request.ticket;
  return answer;
}

ServiceAnswer ServiceCalls::ToServiceAnswer(const tickets::TicketAnswer& ticket) const {
  const std::string code(tickets::TicketCodeName(ticket.code));
  if (ticket.decision == tickets::TicketDecision::kReplay && ticket.result) {
    ServiceAnswer answer;
    answer.answered = true;
    answer.status = ticket.result->status;
    answer.content_type = ticket.result->content_type;
    answer.body = ticket.result->body;
    answer.place = {0, false, upstreams::kNone, shared_->settings.vm, shared_->settings.region, "replay", 0};
    return answer;
  }
  const int status = ticket.code == tickets::TicketCode::kDeadline ? 504 : 409;
  return RefusedAnswer(status, code, "the ticket is not runnable", ticket.outcome);
}

/// Waits for the result of another call that runs under the same ticket; it is the result of this call too.
ServiceAnswer ServiceCalls::AwaitTicket(const GatewayRequest& request) {
  tickets::TicketAnswer answer;
  do {
    std::this_thread::sleep_for(kTicketPollInterval);
    const std::lock_guard<std::mutex> lock(shared_->tickets.mutex);
    answer = shared_->tickets.table.Lookup(request.ticket, BindingOf(request), RequestDigest(request),
                                           shared_->clock.Now());
  } while (answer.decision == tickets::TicketDecision::kInProgress &&
           shared_->clock.Now() < std::min(request.deadline, shared_->drain.LastAnswer()));
  return ToServiceAnswer(answer);
}

/// Sends a call with a ticket to a replica of this zone. Another replica is tried only while no byte of the
/// call may have been sent.
ServiceAnswer ServiceCalls::SendOnce(const GatewayRequest& request, tickets::SendId send) {
  routing::ExcludeSet excluded;
  Failure failure;
  for (int i = 0; i < kMaxReplicasTried; ++i) {
    Failure refusal;
    const auto choice = dispatcher_->ChooseRoute(request, excluded, &refusal);
    if (choice && !choice->is_local()) refusal.code = "no-route";
    auto reservation =
        choice && choice->is_local() ? dispatcher_->ReserveReplica(request, *choice, &refusal) : std::nullopt;
    if (!reservation) {
      if (i == 0) failure = refusal;
      break;
    }
    http::ExchangeState state;
    // The wait for a slot may have been long, or this process may have been paused since the ticket was
    // begun.
    const tickets::TicketCode refusal_code = tickets::CheckSendConditions(CurrentSendConditions(request));
    if (refusal_code != tickets::TicketCode::kNone) {
      failure = {503, std::string(tickets::TicketCodeName(refusal_code)), "refused just before the send"};
      break;
    }
    auto response = SendToReplica(request, *reservation, &state, &failure);
    if (response) {
      ServiceAnswer answer;
      answer.answered = true;
      answer.status = response->status;
      answer.content_type = http::HeaderValue(response->headers, "Content-Type");
      answer.body = std::move(response->body);
      answer.place = reservation->target.place;
      const std::lock_guard<std::mutex> lock(shared_->tickets.mutex);
      shared_->tickets.table.Complete(send, {answer.status, answer.content_type, answer.body},
                                      shared_->clock.Now());
      return answer;
    }
    if (state.request_sent) {
      const std::lock_guard<std::mutex> lock(shared_->tickets.mutex);
      shared_->tickets.table.MarkUnknown(send, shared_->clock.Now());
      failure.outcome = base::Outcome::kUnknown;
      return FailedAnswer(failure);
    }
    excluded.AddReplica(choice->replica().key);
  }
  const std::lock_guard<std::mutex> lock(shared_->tickets.mutex);
  shared_->tickets.table.Abandon(send, shared_->clock.Now());
  failure.outcome = base::Outcome::kNotRun;
  return FailedAnswer(failure);
}

ServiceAnswer ServiceCalls::CallReplica(const GatewayRequest& request, const RouteChoice& choice) {
  Failure failure;
  const auto reservation = dispatcher_->ReserveReplica(request, choice, &failure);
  if (!reservation) return FailedAnswer(failure);
  http::ExchangeState state;
  auto response = SendToReplica(request, *reservation, &state, &failure);
  if (!response) return FailedAnswer(failure);
  ServiceAnswer answer;
  answer.answered = true;
  answer.status = response->status;
  answer.content_type = http::HeaderValue(response->headers, "Content-Type");
  answer.body = std::move(response->body);
  answer.place = reservation->target.place;
  return answer;
}

/// Like `http::Client::Send`, but ends when this VM's requests must have their answers.
std::optional<http::Response> ServiceCalls::SendUntilLastAnswer(const http::ClientRequest& request,
                                                                http::HttpReason* reason,
                                                                http::ExchangeState* state) const {
  const auto exchange = shared_->http->Open(request);
  http::Response response;
  while (true) {
    http::ExchangeEvent event = exchange->Next(kForwardPollLimit);
    *state = exchange->state();
    switch (event.kind) {
      case http::ExchangeEvent::Kind::kHead:
        response.status = event.status;
        response.headers = std::move(event.headers);
        break;
      case http::ExchangeEvent::Kind::kData:
        response.body += event.data;
        break;
      case http::ExchangeEvent::Kind::kEnd:
        return response;
      case http::ExchangeEvent::Kind::kFailed:
        *reason = std::move(event.reason);
        return std::nullopt;
      case http::ExchangeEvent::Kind::kNothing:
        if (shared_->clock.Now() < shared_->drain.LastAnswer()) break;
        base::SetReason(reason, http::HttpErrorCode::kTimeout, "this VM has shut down");
        return std::nullopt;
    }
  }
}

/// Sends the call to a replica of a plain service and reports the result to the replica table. Returns
/// nothing and sets `failure` when there is no response or its status is 503. After a 503 the outcome is
/// `unknown`, because the call was sent.
std::optional<http::Response> ServiceCalls::SendToReplica(const GatewayRequest& request,
                                                          const Reservation& reservation,
                                                          http::ExchangeState* state, Failure* failure) {
  constexpr int kUnavailable = 503;
  const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - shared_->clock.Now());
  http::ClientRequest http_request;
  http_request.method = request.method;
  http_request.url = "http://" + reservation.target.address + request.path;
  for (const auto& [name, value] : request.headers) http_request.headers[name] = value;
  http_request.headers["Request-Id"] = request.request_id;
  http_request.headers["Request-Timeout-Ms"] = std::to_string(std::max<int64_t>(1, left.count()));
  if (!request.ticket.empty()) http_request.headers["Idempotency-Key"] = request.ticket;
  http_request.body = request.body;
  http_request.connect_timeout = shared_->settings.connect_limit;
  http_request.timeout = left;
  http_request.progress_timeout = shared_->settings.progress_limit;
  // Also for idempotent calls: a reused connection may have been lost without notice while it was idle.
  http_request.single_use_connection = true;
  ReplicaReporter report(shared_, reservation.target.upstream, reservation.in_flight.IsProbe());
  http::HttpReason reason;
  auto response = SendUntilLastAnswer(http_request, &reason, state);
  if (response) report.RecordHead(response->status, response->headers);
  if (response && response->status != kUnavailable) {
    report.RecordSuccess();
    if (reservation.limited) reservation.limited->SetResult(admission::CallResult::kOk);
    return response;
  }
  const bool leaving = response && http::HeaderValue(response->headers, "Engine-State") == "leaving";
  if (!leaving) report.RecordFailure();
  const bool overloaded = (response && !leaving) || reason.code == http::HttpErrorCode::kTimeout;
  if (overloaded && reservation.limited) reservation.limited->SetResult(admission::CallResult::kOverloaded);
  failure->status = !response && reason.code == http::HttpErrorCode::kTimeout ? 504 : 503;
  failure->code = response ? "upstream-refused" : "upstream-broken";
  failure->detail = response ? "status 503" : reason.detail;
  failure->outcome = state->request_sent ? base::Outcome::kUnknown : base::Outcome::kNotRun;
  return std::nullopt;
}

}  // namespace cornelplank::gateway
