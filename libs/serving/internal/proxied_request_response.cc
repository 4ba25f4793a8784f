#include "libs/serving/internal/proxied_request.h"

namespace cornelplank::serving {
namespace {

// Greatest size of an answer that is held in memory as a whole, of the bytes of answers to earlier requests
// that are read and dropped, and of one event. A faulty replica may send bytes without end.
constexpr size_t kMaxBodyBytes = 4 << 20;
constexpr size_t kMaxDroppedBytes = 4 << 20;
constexpr size_t kMaxEventBytes = 256 << 10;
// Events whose time is measured together: a VM that waits for its processor sees some at the same moment.
constexpr uint32_t kWindowEvents = 4;

// Bytes that one read of a response adds at most, and the first step of a response without a stated length.
constexpr size_t kReadBytes = 4096;
constexpr size_t kFirstStepBytes = 8192;

bool IsSuccess(unsigned status) { return status >= 200 && status < 300; }

/// Whether clients may conclude from the status that the request has not run.
bool IndicatesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsEventStream(const net::ResponseHead& head) {
  const auto type = head.headers.Find("Content-Type");
  return type && type->starts_with("text/event-stream");
}

}  // namespace

void ProxiedRequest::RecordReplicaStatements(const ResponseInfo& info) {
  // A response of another replica at this address says nothing about the one that was expected.
  if (!replica_ || info.wrong_replica) return;
  const base::TimePoint now = deps_.clock.Now();
  if (info.leaving) deps_.registry.RecordLeaving(*replica_, now);
  if (info.push_back) deps_.registry.RecordPushBack(*replica_, *info.push_back, now);
  if (info.load) deps_.registry.RecordLoad(*replica_, *info.load, now);
}

void ProxiedRequest::RecordEvents(uint32_t count) {
  pace::ServicePace* pace = replica_ ? deps_.registry.FindPace(service_) : nullptr;
  const ServiceConfig* service = config_->FindService(service_);
  if (pace == nullptr || service == nullptr || !service->engine) return;
  const base::TimePoint now = deps_.clock.Now();
  if (prefill_done_) longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  last_event_at_ = now;
  if (!prefill_done_) {
    replica_->pace.OnFirstEvent(pace, prefill_ahead_, now - sent_at_, now);
    window_at_ = now;
    window_events_ = 0;
    longest_pause_ = base::Duration::zero();
    return;
  }
  window_events_ += count;
  if (window_events_ < kWindowEvents) return;
  replica_->pace.OnTokens(pace, window_events_ * service->engine->stride, now - window_at_, now);
  window_at_ = now;
  window_events_ = 0;
}

void ProxiedRequest::RecordCourse(const Placement& placement, AttemptOutcome outcome) {
  pace::ServicePace* pace = placement.replica ? deps_.registry.FindPace(service_) : nullptr;
  // The rest of a stream is shorter than the forecast says.
  if (pace == nullptr || !placement.forecast || progress_.sends != 1) return;
  const bool whole = outcome == AttemptOutcome::kComplete;
  const ServiceConfig* service = config_->FindService(service_);
  const bool engine = service != nullptr && service->engine;
  if (!whole && !prefill_done_) return;
  forecast_ = placement.forecast;
  pace::Course& course = course_;
  if (prefill_done_) course.first_event = first_event_at_ - sent_at_;
  if (engine && longest_pause_.count() > 0) course.longest_pause = longest_pause_;
  course.end = deps_.clock.Now() - sent_at_;
  course.whole = whole;
  pace::Calibrate(pace, *placement.forecast, course);
}

net::Request ProxiedRequest::EncodeOutgoing(const Placement& placement, base::Duration left) const {
  const std::optional<std::string> tenant = TenantToSend();
  if (placement.replica) {
    return deps_.codec.EncodeAttempt(
        request_, {left, placement.replica->published.id, priority_, last_event_id_, tenant});
  }
  const HopParameters hop{service_, left, tenant, software_};
  if (last_event_id_ && last_event_id_ != request_info_.last_event_id) {
    const AttemptParameters parameters{left, "", priority_, last_event_id_, tenant};
    return deps_.codec.EncodeHop(deps_.codec.EncodeAttempt(request_, parameters), hop);
  }
  return deps_.codec.EncodeHop(request_, hop);
}

net::Task<AttemptOutcome> ProxiedRequest::SendAndRelay(net::HttpCall& call, const Placement& placement) {
  const base::Duration left = TimeLeft();
  if (left <= kMinAttemptTime) co_return AttemptOutcome::kNotSent;
  sent_at_ = deps_.clock.Now();
  ++progress_.sends;
  if (!co_await call.Send(EncodeOutgoing(placement, left))) co_return AttemptOutcome::kUnknown;
  awaiting_first_event_ = true;
  awaiting_bytes_ = true;
  last_bytes_at_ = sent_at_;
  std::optional<net::ResponseHead> head;
  ResponseInfo info;
  size_t dropped_bytes = 0;
  while (true) {
    head = co_await call.ReadHead(std::max<base::Duration>(TimeLeft(), kMinAttemptTime));
    if (!head) co_return AttemptOutcome::kUnknown;
    info = deps_.codec.DecodeResponse(*head);
    RecordReplicaStatements(info);
    if (info.request_id.empty() || info.request_id == request_info_.id) break;
    // A second response to an earlier request of this connection: read it to its end and drop it.
    base::LogEvent("crossed_answer").Text("request", request_info_.id).Text("answers", info.request_id);
    std::string dropped;
    bool done = false;
    while (!done) {
      dropped.clear();
      if (!co_await call.ReadSome(&dropped, &done, TimeLeft())) co_return AttemptOutcome::kUnknown;
      dropped_bytes += dropped.size();
      if (dropped_bytes > kMaxDroppedBytes) co_return AttemptOutcome::kUnknown;
    }
  }
  if (info.request_id.empty() && call.Reused()) {
    // A repetition of an earlier response would look the same.
    base::LogEvent("response_without_id")
        .Text("request", request_info_.id)
        .Number("status", static_cast<int64_t>(head->status));
    co_return AttemptOutcome::kUnknown;
  }
  if (!replica_) attempt_software_ = info.software;
  // Only entry VMs may state the software, to each other.
  const bool states_software = hop_ && replica_ && route_.kind == RequestKind::kStream;
  deps_.codec.StateSoftware(&*head, states_software ? attempt_software_ : std::nullopt);
  if (replica_) replica_->last_progress = deps_.clock.Now();
  if (replica_ && info.cold_remaining) {
    deps_.registry.MarkCold(*replica_, *info.cold_remaining, deps_.clock.Now());
  }
  if (info.wrong_replica) {
    --progress_.sends;
    co_return AttemptOutcome::kWrongReplica;
  }
  // A response that states no limit shows that there is none any more only if the replica has signed it.
  if (replica_ && (info.rate_limit || info.has_signature)) {
    deps_.registry.RecordLimit(*replica_, info.rate_limit, deps_.clock.Now());
  }
  if (replica_ && (info.rejection_limit || info.has_signature)) {
    deps_.registry.RecordRejectionLimit(*replica_, info.rejection_limit, deps_.clock.Now());
  }
  if (info.not_run) {
    turned_away_ = true;
    if (!replica_) hop_retry_after_ = info.push_back;
    if (!replica_ && info.unsent) {
      --progress_.sends;
      co_return AttemptOutcome::kNotSent;
    }
    if (replica_ && head->status == 503) {
      deps_.registry.RecordFull(*replica_, deps_.clock.Now());
      replica_->rejection_limit.OnRejected(deps_.clock.Now());
    }
    co_return AttemptOutcome::kNotRun;
  }
  const bool success = IsSuccess(head->status);
  if (success && (!info.has_signature || info.encoded || info.request_id.empty())) {
    co_return AttemptOutcome::kUnknown;
  }
  // A VM of an older release doesn't know to which software a stream is bound.
  if (success && software_ && attempt_software_ != software_) co_return AttemptOutcome::kUnknown;
  if (success && IsEventStream(*head)) {
    co_return co_await RelayStream(call, std::move(*head));
  }
  // The rest of a stream can't come from a response that is no stream.
  if (success && writer_.Started()) co_return AttemptOutcome::kUnknown;
  HeldResponse response;
  if (!co_await ReadWholeBody(call, &response)) co_return AttemptOutcome::kUnknown;
  if (info.encoded) co_return AttemptOutcome::kUnknown;
  net::RemoveHopByHop(&head->headers);
  if (!success) {
    // A response without the replica's signature comes from an entry VM of another region. A status that
    // indicates "not run" is not forwarded here, since the replica did not state that it did not run the
    // request and the request must not run again.
    if (!info.has_signature || (IndicatesNotRun(head->status) && !progress_.repeatable)) {
      co_return AttemptOutcome::kUnknown;
    }
    response.head = std::move(*head);
    held_error_ = std::move(response);
    co_return AttemptOutcome::kErrorResponse;
  }
  if (replica_) {
    const base::TimePoint now = deps_.clock.Now();
    deps_.registry.ObserveServiceTime(service_, now - sent_at_);
    const ServiceConfig* service = config_->FindService(service_);
    pace::ServicePace* pace = deps_.registry.FindPace(service_);
    if (pace != nullptr && service != nullptr && !service->engine) {
      replica_->pace.OnAnswer(pace, now - sent_at_, now);
    }
  }
  if (deps_.quarantine != nullptr) deps_.quarantine->RecordAnswer(shared_parts_, deps_.clock.Now());
  first_byte_at_ = deps_.clock.Now();
  co_await writer_.Send(*head, response.body, std::move(response.charge));
  co_return AttemptOutcome::kComplete;
}

net::Task<bool> ProxiedRequest::AcquireMemory(net::MemoryAccount::Charge& charge, size_t bytes) {
  awaiting_bytes_ = false;
  const bool acquired = co_await writer_.memory()->Acquire(charge, bytes, TimeLeft());
  last_bytes_at_ = deps_.clock.Now();
  awaiting_bytes_ = true;
  co_return acquired;
}

net::Task<bool> ProxiedRequest::ReadWholeBody(net::HttpCall& call, HeldResponse* response) {
  response->charge = net::MemoryAccount::Charge(writer_.memory());
  std::string& body = response->body;
  const auto length = call.BodyLength();
  if (length && *length > kMaxBodyBytes) co_return false;
  bool done = false;
  while (!done) {
    if (body.size() + kReadBytes > response->charge.bytes()) {
      // Without a stated length, a body beyond the first step may have the greatest one. The room takes
      // memory only as bytes arrive.
      const size_t most = length                              ? static_cast<size_t>(*length)
                          : body.size() < kFirstStepBytes / 2 ? kFirstStepBytes
                                                              : kMaxBodyBytes;
      if (!co_await AcquireMemory(response->charge, most + kReadBytes)) co_return false;
      body.reserve(most);
    }
    if (!co_await call.ReadSome(&body, &done, TimeLeft())) co_return false;
    if (body.size() > kMaxBodyBytes) co_return false;
  }
  co_return true;
}

net::Task<AttemptOutcome> ProxiedRequest::RelayStream(net::HttpCall& call, net::ResponseHead head) {
  net::RemoveHopByHop(&head.headers);
  net::MemoryAccount::Charge charge(writer_.memory());
  charge.Resize(kFirstStepBytes);
  bool done = false;
  while (!done) {
    // Whole events are kept a second time while they are written.
    const size_t wanted = 2 * (splitter_.Remainder().size() + kReadBytes);
    if (wanted > charge.bytes()) {
      if (!co_await AcquireMemory(charge, wanted)) co_return AttemptOutcome::kUnknown;
    }
    std::string part;
    const base::Duration left = TimeLeft();
    if (left.count() <= 0) co_return AttemptOutcome::kUnknown;
    awaiting_bytes_ = true;
    const bool read = co_await call.ReadSome(&part, &done, left);
    awaiting_bytes_ = false;
    if (!read) {
      splitter_.Append(part);
      bool in_order = true;
      co_await RelayEvents(head, &in_order);
      co_return AttemptOutcome::kUnknown;
    }
    if (part.empty()) continue;
    last_bytes_at_ = deps_.clock.Now();
    if (replica_) replica_->last_progress = last_bytes_at_;
    splitter_.Append(part);
    bool in_order = true;
    if (!co_await RelayEvents(head, &in_order)) {
      co_return in_order ? AttemptOutcome::kClientGone : AttemptOutcome::kUnknown;
    }
    if (splitter_.Remainder().size() > kMaxEventBytes) co_return AttemptOutcome::kUnknown;
  }
  // A stream without a length ends with its connection, also when it was broken off inside or before an
  // event.
  if (!splitter_.Remainder().empty() || (call.EndsWithConnection() && !prefill_done_)) {
    broke_off_ = true;
    co_return AttemptOutcome::kUnknown;
  }
  if (!co_await StartStream(head)) co_return AttemptOutcome::kClientGone;
  if (replica_) {
    const base::Duration reading =
        deps_.placer.EstimatePrefillTime(static_cast<double>(work_.prefill_tokens));
    deps_.registry.ObserveServiceTime(service_, deps_.clock.Now() - first_event_at_ + reading);
  }
  co_await writer_.End();
  co_return AttemptOutcome::kComplete;
}

net::Task<bool> ProxiedRequest::StartStream(const net::ResponseHead& head) {
  if (writer_.Started()) co_return !writer_.ClientGone();
  co_return co_await writer_.Begin(head);
}

net::Task<bool> ProxiedRequest::RelayEvents(const net::ResponseHead& head, bool* in_order) {
  std::string out;
  uint32_t events = 0;
  while (auto event = splitter_.Next()) {
    if (event->id && last_event_id_) {
      if (*event->id <= *last_event_id_) continue;  // the client has it already
      const bool consecutive = *event->id == *last_event_id_ + 1;
      if (!consecutive && ids_consecutive_ && progress_.sends > 1) {
        *in_order = false;
        break;
      }
      ids_consecutive_ = ids_consecutive_ && consecutive;
    }
    if (event->id) last_event_id_ = event->id;
    out += event->text;
    ++events;
  }
  if (out.empty()) co_return *in_order;
  awaiting_first_event_ = false;
  RecordEvents(events);
  if (!prefill_done_) {
    prefill_done_ = true;
    first_event_at_ = deps_.clock.Now();
    RecordOrigin();
    ReportTimeliness(first_event_at_ - received_at_ <= route_.target_latency);
    if (replica_) deps_.registry.OnPrefillDone(*replica_, work_.prefill_tokens);
    if (deps_.quarantine != nullptr) deps_.quarantine->RecordAnswer(shared_parts_, first_event_at_);
  }
  if (first_byte_at_ == base::TimePoint{}) first_byte_at_ = deps_.clock.Now();
  if (!co_await StartStream(head)) co_return false;
  co_return co_await writer_.Write(out) && *in_order;
}

}  // namespace cornelplank::serving
