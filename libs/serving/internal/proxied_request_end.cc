#include <algorithm>
#include <cstdio>

#include "libs/serving/internal/proxied_request.h"

namespace cornelplank::serving {
namespace {

// Bounds of Retry-After for refused requests, except those that admission control refuses.
constexpr std::chrono::milliseconds kMinRetryAfter{200};
constexpr std::chrono::milliseconds kMaxRetryAfter{2000};
// Greatest random addition to Retry-After for requests that replicas leave no room for at present.
constexpr std::chrono::milliseconds kBlockedRetrySpread{1000};
// Greatest random addition to Retry-After while all replicas of a service without queue are full: a slot
// becomes free every few milliseconds.
constexpr std::chrono::milliseconds kFullRetrySpread{100};
// Retry-After while this VM stops: other VMs take the request at once.
constexpr std::chrono::milliseconds kStoppingRetryAfter{20};
// Retry-After for a stream that can't go on: the client can begin anew at once.
constexpr std::chrono::milliseconds kLostStreamRetryAfter{20};

/// Adds the SoftwareKey of a stream to a log line.
void LogSoftware(base::LogEvent& line, uint64_t software) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(software));
  line.Text("software", text);
}

}  // namespace

base::Duration ProxiedRequest::RetryAfter() const {
  if (refusal_reason_ == RefusalReason::kOverloaded) {
    return AdaptiveAdmission::RetryAfter(proxy_.random_.Unit());
  }
  if (refusal_reason_ == RefusalReason::kCrashingPrompt) return quarantine_left_;
  if (refusal_reason_ == RefusalReason::kConfigOutdated || refusal_reason_ == RefusalReason::kKeysOutdated ||
      refusal_reason_ == RefusalReason::kUnknownKey) {
    return ConfigFreshness::kRetryAfter;
  }
  if (refusal_reason_ == RefusalReason::kQuotaExceeded ||
      refusal_reason_ == RefusalReason::kQuotaUnavailable) {
    return quota_retry_after_;
  }
  if (refusal_reason_ == RefusalReason::kStopping) return kStoppingRetryAfter;
  if (refusal_reason_ == RefusalReason::kNoLinks) {
    return kMinRetryAfter +
           std::chrono::duration_cast<base::Duration>(kBlockedRetrySpread * proxy_.random_.Unit());
  }
  if (refusal_reason_ == RefusalReason::kTurnedAway && hop_retry_after_) {
    return std::min<base::Duration>(*hop_retry_after_, kMaxRetryAfter);
  }
  if (refusal_reason_ == RefusalReason::kSoftwareUnknown || refusal_reason_ == RefusalReason::kSoftwareGone) {
    return kLostStreamRetryAfter;
  }
  if (refusal_reason_ == RefusalReason::kFull) {
    return ReplicaRegistry::kFullTime +
           std::chrono::duration_cast<base::Duration>(kFullRetrySpread * proxy_.random_.Unit());
  }
  const bool pushed_back = refusal_reason_ == RefusalReason::kPushedBack;
  if (pushed_back || refusal_reason_ == RefusalReason::kLimited ||
      refusal_reason_ == RefusalReason::kNoRoom) {
    const auto wait = deps_.placer.TimeToBlockedReplica(service_, software_, priority_, deps_.registry,
                                                        deps_.hops, deps_.clock.Now());
    // The spread keeps clients from returning at the same time.
    const base::Duration time =
        wait.value_or(base::Duration::zero()) +
        std::chrono::duration_cast<base::Duration>(kBlockedRetrySpread * proxy_.random_.Unit());
    // The replicas push back every VM, while another VM may have a part of a limit when this one has none.
    const base::Duration most = pushed_back ? time : base::Duration(kMaxRetryAfter);
    return std::clamp<base::Duration>(time, kMinRetryAfter, std::max<base::Duration>(most, kMinRetryAfter));
  }
  const base::Duration wait = std::max<base::Duration>(expected_first_byte_ / 2, kMinRetryAfter);
  return std::min<base::Duration>(wait, kMaxRetryAfter);
}

unsigned ProxiedRequest::RefusalStatus() const {
  if (refusal_reason_ == RefusalReason::kQuotaExceeded) return 429;
  const bool unknown_key = refusal_reason_ == RefusalReason::kUnknownKey;
  // The VM that forwarded a request answers its client. Clients don't retry after 401.
  if (unknown_key && !hop_ && deps_.registry.config_freshness().MayDeny(deps_.clock.Now())) return 401;
  return 503;
}

net::Task<> ProxiedRequest::SendLocalResponse(unsigned status, bool not_run) {
  std::optional<base::Duration> retry_after;
  if (status == 503 || status == 429) retry_after = RetryAfter();
  auto head = deps_.codec.MakeLocalResponse(status, request_info_.id, retry_after);
  if (hop_ && not_run) deps_.codec.MarkNotRun(&head, progress_.sends > 0);
  co_await writer_.Send(head, "");
}

net::Task<> ProxiedRequest::Finish(NextStep step) {
  ReportMissedTarget();
  ReturnCharge();
  switch (step) {
    case NextStep::kDone:
      ++proxy_.counters_.answered;
      proxy_.completion_times_.Observe(route_.name, deps_.clock.Now() - received_at_);
      NotifyObserver("answered");
      if (base::AllowRoutineLogLine()) LogRequestEnd("answered", 200);
      break;
    case NextStep::kForwardErrorResponse:
      ++proxy_.counters_.answered;
      NotifyObserver("answered");
      if (base::AllowRoutineLogLine()) LogRequestEnd("answered", held_error_->head.status);
      co_await writer_.Send(held_error_->head, held_error_->body, std::move(held_error_->charge));
      break;
    case NextStep::kRefuse: {
      if (turned_away_ &&
          (refusal_reason_ == RefusalReason::kNoReplica || refusal_reason_ == RefusalReason::kNotAllowed)) {
        refusal_reason_ = RefusalReason::kTurnedAway;
      }
      const unsigned status = RefusalStatus();
      ++(status == 401 ? proxy_.counters_.denied : proxy_.counters_.refused);
      if (!hop_ && refusal_reason_ == RefusalReason::kSoftwareUnknown) {
        ++proxy_.counters_.resumptions_of_unknown;
      } else if (!hop_ && refusal_reason_ == RefusalReason::kSoftwareGone) {
        ++proxy_.counters_.resumptions_of_gone;
      }
      LogRequestEnd("refused", status);
      NotifyObserver("refused");
      co_await SendLocalResponse(status, true);
      break;
    }
    case NextStep::kFail:
      ++proxy_.counters_.failed;
      LogRequestEnd("failed", 502);
      NotifyObserver("failed");
      co_await SendLocalResponse(502, false);
      break;
    case NextStep::kTimeOut:
      ++proxy_.counters_.failed;
      LogRequestEnd("timed_out", 504);
      NotifyObserver("timed_out");
      co_await SendLocalResponse(504, false);
      break;
    case NextStep::kAbortResponse:
    case NextStep::kRetry:
      ++proxy_.counters_.failed;
      LogRequestEnd("broken_off", 0);
      NotifyObserver("broken_off");
      break;
  }
}

void ProxiedRequest::LogAttempt(const Placement& placement, AttemptOutcome outcome,
                                const net::HttpCall& call) const {
  base::LogEvent line("attempt_ended");
  line.Text("request", request_info_.id)
      .Text(placement.replica ? "replica" : "region", served_by_)
      .Text("end", AttemptOutcomeName(outcome))
      .Text("fault", net::CallFaultName(call.fault()))
      .Text("detail", call.detail())
      .Number("sends", progress_.sends)
      .Number("answer_begun", prefill_done_ ? 1 : 0)
      .Time("after_ms", deps_.clock.Now() - received_at_);
  if (attempt_software_) LogSoftware(line, *attempt_software_);
  if (placement.replica) line.Text("version", placement.replica->published.software_version);
}

void ProxiedRequest::LogRequestEnd(const char* outcome, unsigned status) const {
  base::LogEvent line(outcome);
  line.Text("request", request_info_.id)
      .Text("route", route_.name)
      .Text("service", service_)
      .Text("by", served_by_)
      .Number("status", status)
      .Number("sends", progress_.sends)
      .Number("config", static_cast<int64_t>(config_->version))
      .Time("expected_ms", expected_first_byte_)
      .Time("total_ms", deps_.clock.Now() - received_at_);
  if (first_byte_at_ != base::TimePoint{}) line.Time("first_ms", first_byte_at_ - received_at_);
  if (forecast_) {
    line.Time("forecast_event_ms", forecast_->first_event.mean);
    if (course_.first_event) line.Time("event_ms", *course_.first_event);
    line.Time("forecast_pause_ms", forecast_->longest_pause.mean);
    if (course_.longest_pause) line.Time("pause_ms", *course_.longest_pause);
    line.Time("forecast_end_ms", forecast_->end.mean).Time("end_ms", course_.end);
  }
  // A stream that has begun can't go on when no replica of its software is left.
  const bool lost_software =
      refusal_reason_ == RefusalReason::kSoftwareUnknown || refusal_reason_ == RefusalReason::kSoftwareGone;
  const bool refused = status == 503 || std::string_view(outcome) == "refused";
  if (lost_software || (refused && refusal_reason_ != RefusalReason::kNone)) {
    line.Text("reason", RefusalReasonName(refusal_reason_));
  }
  if (!tenant_name_.empty()) line.Text("tenant", tenant_name_);
  if (software_) LogSoftware(line, *software_);
  if (ResumesStream()) line.Number("resumed", 1).Text("resumes", request_info_.resumes.value_or(""));
  if (hop_) line.Number("hop", 1);
}

void ProxiedRequest::NotifyObserver(const char* outcome) const {
  if (deps_.observer == nullptr) return;
  const base::TimePoint now = deps_.clock.Now();
  RequestSummary summary;
  summary.outcome = outcome;
  if (summary.outcome == "refused") summary.reason = RefusalReasonName(refusal_reason_);
  summary.priority = priority_;
  summary.tenant = tenant_name_;
  summary.hop = hop_.has_value();
  summary.sends = progress_.sends;
  if (first_byte_at_ != base::TimePoint{}) summary.first_byte = first_byte_at_ - received_at_;
  summary.total = now - received_at_;
  summary.forecast = forecast_;
  summary.course = course_;
  deps_.observer->OnRequestEnd(summary);
}

}  // namespace cornelplank::serving
