#include "libs/serving/internal/proxied_request.h"

namespace cornelplank::serving {
namespace {

bool IsSuccess(unsigned status) { return status >= 200 && status < 300; }

/// Statuses that promise that the request has not run.
bool PromisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsEventStream(const net::ResponseHead& head) {
  const auto type = head.headers.Find("Content-Type");
  return type && type->starts_with("text/event-stream");
}

}  // namespace

net::Task<AttemptOutcome> ProxiedRequest::Deliver(net::HttpCall& call, const Placement& placement) {
  const base::Duration left = TimeLeft();
  if (left <= kLeastAttemptTime) co_return AttemptOutcome::kNotSent;
  sent_at_ = parts_.clock.Now();
  ++state_.sends;
  net::Request outgoing;
  if (placement.replica) {
    AttemptParameters terms{left, placement.replica->published.id, route_.priority, last_event_};
    outgoing = parts_.dialect.EncodeAttempt(request_, terms);
  } else {
    outgoing = parts_.dialect.EncodeHop(request_, {service_, left});
    if (last_event_ && last_event_ != client_.last_event_id) {
      AttemptParameters terms{left, "", route_.priority, last_event_};
      outgoing = parts_.dialect.EncodeHop(parts_.dialect.EncodeAttempt(request_, terms), {service_, left});
    }
  }
  if (!co_await call.Send(outgoing)) co_return AttemptOutcome::kUnknown;
  awaits_first_ = true;
  awaits_bytes_ = true;
  heard_at_ = sent_at_;
  std::optional<net::ResponseHead> head;
  ResponseInfo facts;
  while (true) {
    head = co_await call.ReadHead(std::max<base::Duration>(TimeLeft(), kLeastAttemptTime));
    if (!head) co_return AttemptOutcome::kUnknown;
    facts = parts_.dialect.DecodeResponse(*head);
    if (facts.request_id.empty() || facts.request_id == client_.id) break;
    // A second answer to an earlier request of this connection: it is read to its end and dropped.
    base::LogEvent("crossed_answer").Text("request", client_.id).Text("answers", facts.request_id);
    std::string dropped;
    bool done = false;
    while (!done) {
      dropped.clear();
      if (!co_await call.ReadSome(&dropped, &done, TimeLeft())) co_return AttemptOutcome::kUnknown;
    }
  }
  if (replica_) replica_->last_progress = parts_.clock.Now();
  if (replica_ && facts.cold_remaining) {
    parts_.table.MarkCold(*replica_, *facts.cold_remaining, parts_.clock.Now());
  }
  if (facts.wrong_replica) {
    --state_.sends;
    co_return AttemptOutcome::kWrongReplica;
  }
  if (facts.not_run) co_return AttemptOutcome::kNotRun;
  const bool success = IsSuccess(head->status);
  if (success && (!facts.authentic || facts.encoded || facts.request_id.empty())) {
    co_return AttemptOutcome::kUnknown;
  }
  if (success && IsEventStream(*head)) {
    co_return co_await DeliverStream(call, std::move(*head));
  }
  std::string body;
  bool done = false;
  while (!done) {
    if (!co_await call.ReadSome(&body, &done, TimeLeft())) co_return AttemptOutcome::kUnknown;
  }
  if (facts.encoded) co_return AttemptOutcome::kUnknown;
  net::RemoveHopByHop(&head->headers);
  if (!success) {
    // An answer without the replica's signature comes from an entry VM of another region.
    if (!facts.authentic || (PromisesNotRun(head->status) && !state_.repeatable)) {
      co_return AttemptOutcome::kUnknown;
    }
    held_ = HeldAnswer{std::move(*head), std::move(body)};
    co_return AttemptOutcome::kErrorAnswer;
  }
  if (replica_) parts_.table.ObserveServiceTime(service_, parts_.clock.Now() - sent_at_);
  first_byte_at_ = parts_.clock.Now();
  co_await writer_.Send(*head, body);
  co_return AttemptOutcome::kComplete;
}

net::Task<AttemptOutcome> ProxiedRequest::DeliverStream(net::HttpCall& call, net::ResponseHead head) {
  net::RemoveHopByHop(&head.headers);
  bool done = false;
  while (!done) {
    std::string part;
    const base::Duration left = TimeLeft();
    if (left.count() <= 0) co_return AttemptOutcome::kUnknown;
    awaits_bytes_ = true;
    const bool read = co_await call.ReadSome(&part, &done, left);
    awaits_bytes_ = false;
    if (!read) {
      splitter_.Append(part);
      bool in_order = true;
      co_await PassEvents(head, &in_order);
      co_return AttemptOutcome::kUnknown;
    }
    if (part.empty()) continue;
    heard_at_ = parts_.clock.Now();
    if (replica_) replica_->last_progress = heard_at_;
    splitter_.Append(part);
    bool in_order = true;
    if (!co_await PassEvents(head, &in_order)) {
      co_return in_order ? AttemptOutcome::kClientGone : AttemptOutcome::kUnknown;
    }
  }
  if (!splitter_.Remainder().empty()) {
    if (!co_await BeginStream(head)) co_return AttemptOutcome::kClientGone;
    co_await writer_.Write(splitter_.Remainder());
  }
  if (!co_await BeginStream(head)) co_return AttemptOutcome::kClientGone;
  if (replica_) {
    const base::Duration reading =
        parts_.placer.EstimatePrefillTime(static_cast<double>(work_.prefill_tokens));
    parts_.table.ObserveServiceTime(service_, parts_.clock.Now() - first_event_at_ + reading);
  }
  co_await writer_.End();
  co_return AttemptOutcome::kComplete;
}

net::Task<bool> ProxiedRequest::BeginStream(const net::ResponseHead& head) {
  if (writer_.Started()) co_return !writer_.ClientGone();
  co_return co_await writer_.Begin(head);
}

net::Task<bool> ProxiedRequest::PassEvents(const net::ResponseHead& head, bool* in_order) {
  std::string out;
  while (auto event = splitter_.Next()) {
    if (event->id && last_event_) {
      if (*event->id <= *last_event_) continue;  // passed on before
      const bool consecutive = *event->id == *last_event_ + 1;
      if (!consecutive && ids_consecutive_ && state_.sends > 1) {
        *in_order = false;
        break;
      }
      ids_consecutive_ = ids_consecutive_ && consecutive;
    }
    if (event->id) last_event_ = event->id;
    out += event->text;
  }
  if (out.empty()) co_return *in_order;
  awaits_first_ = false;
  if (!prompt_read_) {
    prompt_read_ = true;
    first_event_at_ = parts_.clock.Now();
    ObserveLateness(first_event_at_ - received_ <= route_.target_latency);
    if (replica_) parts_.table.OnPrefillDone(*replica_, work_.prefill_tokens);
  }
  if (first_byte_at_ == base::TimePoint{}) first_byte_at_ = parts_.clock.Now();
  if (!co_await BeginStream(head)) co_return false;
  co_return co_await writer_.Write(out) && *in_order;
}

}  // namespace cornelplank::serving
