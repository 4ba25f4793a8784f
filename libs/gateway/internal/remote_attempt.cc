#include "libs/gateway/internal/remote_attempt.h"

#include <algorithm>

namespace cornelplank::gateway {

int HttpStatusOfCode(const std::string& code) {
  constexpr int kBadRequest = 400;
  constexpr int kGatewayTimeout = 504;
  constexpr int kConflict = 409;
  constexpr int kUnavailable = 503;
  if (code == "deadline") return kGatewayTimeout;
  if (code == "invalid-request") return kBadRequest;
  if (code.starts_with("ticket-")) return kConflict;
  return kUnavailable;
}

RemoteAttempt::RemoteAttempt(SharedState* shared, AttemptPlace place, std::string peer,
                             std::unique_ptr<rpc::ForwardCall> call,
                             std::optional<routing::InFlightForward> forward, base::TimePoint deadline)
    : shared_(shared),
      place_(std::move(place)),
      peer_(std::move(peer)),
      call_(std::move(call)),
      forward_(std::move(forward)),
      deadline_(deadline) {}

AttemptEvent RemoteAttempt::Next(std::chrono::milliseconds limit) {
  if (shared_->clock.Now() >= deadline_) {
    return Fail({504, "deadline", "no answer from the peer before the deadline",
                 call_->sent() ? base::Outcome::kUnknown : base::Outcome::kNotRun});
  }
  rpc::ForwardEvent event = call_->Next(limit);
  switch (event.kind) {
    case rpc::ForwardEvent::Kind::kHead:
      for (const auto& [name, value] : event.headers) {
        if (name == "Served-By") place_.served_by = value;
        if (name == "Served-Region") place_.region = value;
      }
      return {AttemptEvent::Kind::kHead, event.status, std::move(event.headers)};
    case rpc::ForwardEvent::Kind::kData:
      received_bytes_ += event.data.size();
      return {AttemptEvent::Kind::kData, 0, {}, std::move(event.data)};
    case rpc::ForwardEvent::Kind::kEnd:
      return OnEnd(event.end);
    case rpc::ForwardEvent::Kind::kNothing:
      break;
  }
  return {};
}

AttemptEvent RemoteAttempt::OnEnd(const rpc::ForwardEnd& end) {
  // A broken connection doesn't mean that the peer is down, but a failure to connect counts as a missed
  // answer.
  if (end.code == "peer-unreachable") {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    shared_->fleet.table.RecordMissedCall(peer_, shared_->clock.Now());
  }
  if (end.complete) {
    if (forward_) forward_->Finish(received_bytes_, shared_->clock.Now());
    return {AttemptEvent::Kind::kEnd};
  }
  Failure failure;
  failure.status = HttpStatusOfCode(end.code);
  failure.code = end.code;
  failure.detail = end.detail;
  failure.outcome = end.outcome;
  failure.retry_after = end.retry_after;
  failure.client_error = end.code == "invalid-request";
  return Fail(std::move(failure));
}

AttemptEvent RemoteAttempt::Fail(Failure failure) {
  if (forward_ && !call_->sent()) forward_->Cancel();
  return {AttemptEvent::Kind::kFailed, 0, {}, "", std::move(failure)};
}

}  // namespace cornelplank::gateway
