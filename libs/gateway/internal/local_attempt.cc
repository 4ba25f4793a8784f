#include "libs/gateway/internal/local_attempt.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "libs/gateway/internal/prompt.h"

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReclaimCheckInterval{100};  // how often a borrowed slot is checked for reclaim
constexpr size_t kMaxErrorBodyBytes = 64 << 10;     // of an engine's response that is no stream
constexpr milliseconds kCancelTimeout{500};         // for the request that cancels an attempt at its engine
// An engine that has sent no response header after the longer of twice the progress limit and four times the
// estimated time to the first token counts as silent. Nothing else distinguishes a connection that was lost
// while the request was queued from a long queue.
constexpr int kHeadProgressLimits = 2;
constexpr int kHeadEstimates = 4;

http::ClientRequest ToEngineRequest(const SharedState& shared, const GatewayRequest& request,
                                    const LocalTarget& target, const std::string& attempt_id,
                                    uint32_t resume_tokens) {
  const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - shared.clock.Now());
  http::ClientRequest http_request;
  http_request.method = "POST";
  http_request.url = "http://" + target.address + "/v1/chat/completions";
  http_request.headers = {{"Content-Type", "application/json"},
                          {"Request-Id", attempt_id},
                          {"Priority", "u=" + std::to_string(request.priority)},
                          {"Request-Timeout-Ms", std::to_string(std::max<int64_t>(1, left.count()))}};
  http_request.body = AttemptBody(request, resume_tokens);
  http_request.connect_timeout = shared.settings.connect_limit;
  http_request.timeout = left;
  http_request.progress_timeout = shared.settings.progress_limit;
  const auto estimate = std::chrono::duration_cast<milliseconds>(target.first_token);
  http_request.head_timeout =
      std::max(kHeadProgressLimits * shared.settings.progress_limit, kHeadEstimates * estimate);
  http_request.max_body_bytes = 0;  // the stream is passed on as it arrives
  // A reused connection may have been lost without notice while it was idle. At 51 requests/s a new
  // connection for each request costs little.
  http_request.single_use_connection = true;
  return http_request;
}

Failure TransportFailure(const http::HttpReason& reason, const http::ExchangeState& state) {
  Failure failure;
  failure.outcome = state.request_sent ? base::Outcome::kUnknown : base::Outcome::kNotRun;
  failure.code = "upstream-broken";
  if (reason.code == http::HttpErrorCode::kConnect) failure.code = "upstream-unreachable";
  if (reason.code == http::HttpErrorCode::kStalled) failure.code = "upstream-silent";
  if (reason.code == http::HttpErrorCode::kTimeout) {
    failure.code = "deadline";
    failure.status = 504;
  }
  failure.detail = reason.detail;
  return failure;
}

/// The failure for a response with a status other than 200. The problem details in its body say whether the
/// engine ran the request; without them the outcome is `unknown`.
Failure ResponseFailure(int status, const std::string& body) {
  const auto problem = base::ParseJson(body);
  const auto text = [&problem](const char* key) {
    return problem.is_object() && problem.contains(key) && problem[key].is_string()
               ? problem[key].get<std::string>()
               : std::string();
  };
  Failure failure;
  failure.code = "upstream-refused";
  failure.detail = "status " + std::to_string(status) + " " + text("code");
  failure.client_error = status == 400 || status == 413 || status == 422;
  if (failure.client_error) failure.status = status;
  const std::string outcome = text("outcome");
  if (outcome == "not-run") failure.outcome = base::Outcome::kNotRun;
  if (outcome == "ran") failure.outcome = base::Outcome::kRan;
  return failure;
}

}  // namespace

LocalAttempt::LocalAttempt(SharedState* shared, const GatewayRequest& request, LocalTarget target,
                           std::unique_ptr<AdmissionSlot> slot, upstreams::InFlightRequest in_flight,
                           const std::string& attempt_id, uint32_t resume_tokens)
    : shared_(shared),
      target_(std::move(target)),
      attempt_id_(attempt_id),
      prefix_(request.prefix),
      prefix_tokens_(request.prefix_tokens),
      slot_(std::move(slot)),
      in_flight_(std::move(in_flight)),
      report_(shared, target_.upstream, in_flight_.IsProbe()),
      exchange_(shared->http->Open(ToEngineRequest(*shared, request, target_, attempt_id, resume_tokens))) {}

LocalAttempt::~LocalAttempt() {
  if (ended_ || !exchange_->state().request_sent) return;
  exchange_.reset();
  // Closing the connection does not stop a request that is still in the engine's queue.
  http::ClientRequest cancel;
  cancel.method = "DELETE";
  cancel.url = "http://" + target_.address + "/v1/requests/" + attempt_id_;
  cancel.connect_timeout = shared_->settings.connect_limit;
  cancel.timeout = kCancelTimeout;
  shared_->http->Send(cancel, nullptr, nullptr);
}

AttemptEvent LocalAttempt::Next(milliseconds limit) {
  if (slot_->reclaimed()) {
    return Fail({503, "reclaimed", "the owner of the capacity needs it back", base::Outcome::kUnknown},
                false);
  }
  http::ExchangeEvent event = exchange_->Next(std::min(limit, kReclaimCheckInterval));
  switch (event.kind) {
    case http::ExchangeEvent::Kind::kHead:
      return OnHead(std::move(event));
    case http::ExchangeEvent::Kind::kData:
      if (error_status_ != 0) {
        error_body_ += event.data;
        if (error_body_.size() <= kMaxErrorBodyBytes) return {};
        return Fail(TransportFailure({http::HttpErrorCode::kBroken, "the error's body is too long"},
                                     exchange_->state()),
                    true);
      }
      return {AttemptEvent::Kind::kData, 0, {}, std::move(event.data)};
    case http::ExchangeEvent::Kind::kEnd:
      return Finish();
    case http::ExchangeEvent::Kind::kFailed:
      return Fail(TransportFailure(event.reason, exchange_->state()), true);
    case http::ExchangeEvent::Kind::kNothing:
      break;
  }
  return {};
}

AttemptEvent LocalAttempt::OnHead(http::ExchangeEvent event) {
  report_.RecordHead(event.status, event.headers);
  if (event.status != 200) {
    error_status_ = event.status;
    return {};
  }
  return {AttemptEvent::Kind::kHead, event.status, {event.headers.begin(), event.headers.end()}};
}

AttemptEvent LocalAttempt::Finish() {
  if (error_status_ != 0) {
    const Failure failure = ResponseFailure(error_status_, error_body_);
    return Fail(failure, error_status_ >= 500 && failure.outcome != base::Outcome::kNotRun);
  }
  ended_ = true;
  report_.RecordSuccess();
  report_.RecordPrefix(prefix_, prefix_tokens_);
  return {AttemptEvent::Kind::kEnd};
}

AttemptEvent LocalAttempt::Fail(Failure failure, bool replica_at_fault) {
  if (replica_at_fault) report_.RecordFailure();
  ended_ = error_status_ != 0;  // otherwise the destructor cancels what may still run
  return {AttemptEvent::Kind::kFailed, 0, {}, "", std::move(failure)};
}

}  // namespace cornelplank::gateway
