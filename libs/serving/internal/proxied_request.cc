#include "libs/serving/internal/proxied_request.h"

#include <algorithm>

namespace cornelplank::serving {
namespace {

// The answer of a request whose time is up is sent this long before the client gives up, so that it arrives.
constexpr std::chrono::milliseconds kAnswerMargin{30};
// Without a deadline of the client the route's timeout holds; without both, this one.
constexpr std::chrono::seconds kDefaultTimeout{30};
// A connection that idled longer is not used for a request that can't be repeated: its server may have
// closed it, and the request's fate would be unknown.
constexpr std::chrono::milliseconds kFreshIdle{250};
constexpr std::chrono::seconds kAnyIdle{60};
// A resumable stream that pauses for longer is continued elsewhere. Clients wait two seconds at least.
constexpr std::chrono::milliseconds kLeastGapLimit{1000};
constexpr int kGapLimitFactor = 4;
// A hop gets this many times the limits of a replica of the own region: the VM there sees whether the replica
// is silent or only busy, this one doesn't.
constexpr int kHopSilenceFactor = 2;
// Longest pause at which a client still listens, less the time that a second replica takes to continue.
constexpr std::chrono::milliseconds kGreatestGapLimit{1700};
// A replica with work that sends nothing on any connection for this long is silent. Busy engines produce a
// token for each running request every few ten milliseconds.
constexpr std::chrono::milliseconds kReplicaSilence{700};
// Bounds of the time after which a refused client is asked to return.
constexpr std::chrono::milliseconds kLeastRetryAfter{200};
constexpr std::chrono::milliseconds kGreatestRetryAfter{2000};

}  // namespace

ProxiedRequest::ProxiedRequest(RequestProxy& engine, std::shared_ptr<const RoutingConfig> config,
                               const RouteConfig& route, std::string service, const RequestInfo& client,
                               net::Request& request, net::ResponseWriter& writer,
                               std::optional<HopParameters> hop)
    : engine_(engine),
      registry_(engine.exchanges_),
      parts_(engine.parts_),
      config_(std::move(config)),
      route_(route),
      service_(std::move(service)),
      client_(client),
      request_(request),
      writer_(writer),
      hop_(std::move(hop)),
      received_(parts_.clock.Now()),
      last_event_(client.last_event_id) {
  base::Duration limit = route_.timeout.count() > 0 ? base::Duration(route_.timeout) : kDefaultTimeout;
  if (client_.time_left) limit = std::min<base::Duration>(limit, *client_.time_left - kAnswerMargin);
  if (hop_) limit = std::min(limit, hop_->time_left);
  ends_at_ = received_ + limit;
  state_.repeatable = route_.Repeatable();
  // The entry VM that the client reached decides on further sends, since it knows of all of them.
  state_.sends_allowed = hop_ ? 1 : std::max<uint32_t>(1, route_.attempts);
  registry_->insert(this);
}

ProxiedRequest::~ProxiedRequest() { registry_->erase(this); }

PlacementQuery ProxiedRequest::Query() const {
  PlacementQuery query;
  query.route = &route_;
  query.service = service_;
  query.prompt_tokens = client_.prompt_tokens;
  query.shared_tokens = client_.SharedPrefixTokens();
  query.shared_key = client_.SharedPrefixKey();
  query.output_tokens = client_.output_tokens;
  query.may_hop = !hop_;
  query.excluded_replicas = tried_replicas_;
  query.excluded_regions = tried_regions_;
  return query;
}

OutstandingWork ProxiedRequest::WorkOf(const Placement& placement) const {
  OutstandingWork work;
  work.requests = 1;
  const uint32_t shared = client_.SharedPrefixTokens();
  const uint32_t own = client_.prompt_tokens - std::min(shared, client_.prompt_tokens);
  const bool cached = placement.prefix_owner ||
                      placement.replica->LikelyHasPrefix(client_.SharedPrefixKey(), parts_.clock.Now());
  work.prefill_tokens = cached ? own : client_.prompt_tokens;
  work.memory_tokens = own + client_.output_tokens;
  return work;
}

bool ProxiedRequest::MayRepeat() const { return state_.repeatable && state_.sends < state_.sends_allowed; }

base::Duration ProxiedRequest::SilenceLimit() const {
  const int factor = replica_ ? 1 : kHopSilenceFactor;
  if (awaits_first_) return route_.target_latency * factor;
  return std::min<base::Duration>(
      kGreatestGapLimit,
      std::max<base::Duration>(kLeastGapLimit, route_.target_gap * kGapLimitFactor) * factor);
}

void ProxiedRequest::CheckSilence(base::TimePoint now) {
  if (!awaits_bytes_ || !call_ || !MayRepeat() || now - heard_at_ < SilenceLimit()) return;
  if (replica_ && now - std::max(replica_->last_progress, sent_at_) < kReplicaSilence) return;
  // The attempt is ended only for a second one: an answer that comes late is better than none.
  auto& budget = engine_.Budget(service_);
  RefusalReason code = RefusalReason::kNone;
  if (!budget.CanTake() || !parts_.placer.Choose(Query(), parts_.table, parts_.hops, now, &code)) return;
  budget.Take();
  second_send_taken_ = true;
  awaits_bytes_ = false;
  call_->Cancel();
}

bool ProxiedRequest::Admitted() {
  const ServiceConfig* service = config_->FindService(service_);
  if (hop_ || service == nullptr || !service->engine) return true;
  if (!engine_.Gate(service_, route_.priority).Admits(engine_.random_.Unit())) return false;
  gated_ = true;
  return true;
}

void ProxiedRequest::ObserveLateness(bool in_time) {
  if (!gated_) return;
  gated_ = false;
  engine_.Gate(service_, route_.priority).Observe(in_time);
}

void ProxiedRequest::ObserveMissedTarget() {
  if (parts_.clock.Now() - received_ > route_.target_latency) ObserveLateness(false);
}

net::Task<> ProxiedRequest::Run() {
  if (!Admitted()) {
    placement_code_ = RefusalReason::kLate;
    co_await Finish(NextStep::kRefuse);
    co_return;
  }
  while (!writer_.ClientGone()) {
    if (TimeLeft() <= kLeastAttemptTime) {
      co_await Finish(state_.answer_begun   ? NextStep::kBreakOff
                      : state_.may_have_run ? NextStep::kTimeOut
                                            : NextStep::kRefuse);
      co_return;
    }
    auto placement =
        parts_.placer.Choose(Query(), parts_.table, parts_.hops, parts_.clock.Now(), &placement_code_);
    if (placement && placement->expected > TimeLeft() && state_.sends == 0) {
      expected_ = placement->expected;
      placement_code_ = RefusalReason::kNoTime;
      placement.reset();
    }
    if (!placement) {
      co_await Finish(state_.answer_begun   ? NextStep::kBreakOff
                      : held_               ? NextStep::kPassAnswer
                      : state_.may_have_run ? NextStep::kFail
                                            : NextStep::kRefuse);
      co_return;
    }
    expected_ = placement->expected;
    state_.end = co_await Attempt(std::move(*placement));
    if (writer_.ClientGone()) break;
    state_.time_left = TimeLeft();
    state_.answer_begun = writer_.Started();
    auto& budget = engine_.Budget(service_);
    state_.budget_left = second_send_taken_ || budget.CanTake();
    const NextStep step = DecideNext(state_);
    if (step != NextStep::kTryAgain) {
      co_await Finish(step);
      co_return;
    }
    const bool reached_replica =
        state_.end != AttemptOutcome::kNotSent && state_.end != AttemptOutcome::kWrongReplica;
    if (reached_replica) {
      if (!second_send_taken_) budget.Take();
      second_send_taken_ = false;
      ++engine_.counters_.second_sends;
    }
  }
  ++engine_.counters_.client_gone;
  ObserveMissedTarget();
  LogEnd("client_gone", 0);
  ReportEnd("client_gone");
}

net::Task<AttemptOutcome> ProxiedRequest::Attempt(Placement placement) {
  const bool hop = placement.replica == nullptr;
  net::Tcp::endpoint endpoint;
  if (hop) {
    const auto vm = parts_.hops.PickVm(placement.region);
    if (!vm) {
      tried_regions_.push_back(placement.region);
      ++state_.unsent;
      co_return AttemptOutcome::kNotSent;
    }
    endpoint = *vm;
    served_by_ = placement.region;
    ++engine_.counters_.hops;
  } else {
    endpoint = placement.replica->published.address;
    served_by_ = placement.replica->published.id;
    tried_replicas_.push_back(served_by_);
    replica_ = placement.replica;
    work_ = WorkOf(placement);
    parts_.table.BeginAttempt(*replica_, work_, client_.SharedPrefixKey(), parts_.clock.Now());
  }
  prompt_read_ = false;
  awaits_bytes_ = false;
  splitter_.Clear();
  call_ = std::make_shared<net::HttpCall>(parts_.loop, hop ? parts_.peers : parts_.replicas);
  writer_.OnClientGone([this] { call_->Cancel(); });
  AttemptOutcome end = AttemptOutcome::kNotSent;
  const bool repeatable = state_.repeatable;
  if (co_await call_->Connect(endpoint, repeatable ? base::Duration(kAnyIdle) : base::Duration(kFreshIdle))) {
    end = co_await Deliver(*call_, placement);
  } else if (!writer_.ClientGone()) {
    if (hop) parts_.hops.ReportHopFailure(endpoint);
    (hop ? parts_.peers : parts_.replicas).Drop(endpoint);
  }
  if (writer_.ClientGone()) end = AttemptOutcome::kClientGone;
  if (end == AttemptOutcome::kNotSent || end == AttemptOutcome::kWrongReplica) ++state_.unsent;
  if (end == AttemptOutcome::kUnknown || end == AttemptOutcome::kErrorAnswer) state_.may_have_run = true;
  if (hop && end != AttemptOutcome::kComplete) tried_regions_.push_back(placement.region);
  if (end == AttemptOutcome::kComplete || end == AttemptOutcome::kErrorAnswer) {
    call_->Finish();
  } else {
    call_->Cancel();
  }
  FinishAttempt(placement, end);
  if (end != AttemptOutcome::kComplete) LogAttempt(placement, end, *call_);
  writer_.OnClientGone(nullptr);
  co_return end;
}

void ProxiedRequest::FinishAttempt(const Placement& placement, AttemptOutcome end) {
  if (!placement.replica) return;
  if (prompt_read_) work_.prefill_tokens = 0;
  HealthObservation result = HealthObservation::kNeutral;
  switch (end) {
    case AttemptOutcome::kComplete:
      result = HealthObservation::kGood;
      break;
    case AttemptOutcome::kErrorAnswer:
      result = HealthObservation::kErrorAnswer;
      break;
    case AttemptOutcome::kNotSent:
      result = HealthObservation::kNotConnected;
      break;
    case AttemptOutcome::kNotRun:
      result = HealthObservation::kRefused;
      break;
    case AttemptOutcome::kWrongReplica:
      result = HealthObservation::kNotConnected;
      break;
    case AttemptOutcome::kUnknown:
      result = HealthObservation::kBroken;
      break;
    case AttemptOutcome::kClientGone:
      break;
  }
  parts_.table.EndAttempt(*placement.replica, work_, result, parts_.clock.Now());
  replica_.reset();
}

base::Duration ProxiedRequest::RetryAfter() const {
  if (placement_code_ == RefusalReason::kLate) return AdaptiveAdmission::RetryAfter(engine_.random_.Unit());
  const base::Duration wait = std::max<base::Duration>(expected_ / 2, kLeastRetryAfter);
  return std::min<base::Duration>(wait, kGreatestRetryAfter);
}

net::Task<> ProxiedRequest::SendOwn(unsigned status, bool not_run) {
  std::optional<base::Duration> retry_after;
  if (status == 503) retry_after = RetryAfter();
  auto head = parts_.dialect.MakeLocalResponse(status, client_.id, retry_after);
  if (hop_ && not_run) parts_.dialect.MarkNotRun(&head);
  co_await writer_.Send(head, "");
}

net::Task<> ProxiedRequest::Finish(NextStep step) {
  ObserveMissedTarget();
  switch (step) {
    case NextStep::kDone:
      ++engine_.counters_.answered;
      ReportEnd("answered");
      if (base::LogRoutine()) LogEnd("answered", 200);
      break;
    case NextStep::kPassAnswer:
      ++engine_.counters_.answered;
      ReportEnd("answered");
      if (base::LogRoutine()) LogEnd("answered", held_->head.status);
      co_await writer_.Send(held_->head, held_->body);
      break;
    case NextStep::kRefuse:
      ++engine_.counters_.refused;
      LogEnd("refused", 503);
      ReportEnd("refused");
      co_await SendOwn(503, true);
      break;
    case NextStep::kFail:
      ++engine_.counters_.failed;
      LogEnd("failed", 502);
      ReportEnd("failed");
      co_await SendOwn(502, false);
      break;
    case NextStep::kTimeOut:
      ++engine_.counters_.failed;
      LogEnd("timed_out", 504);
      ReportEnd("timed_out");
      co_await SendOwn(504, false);
      break;
    case NextStep::kBreakOff:
    case NextStep::kTryAgain:
      ++engine_.counters_.failed;
      LogEnd("broken_off", 0);
      ReportEnd("broken_off");
      break;
  }
}

void ProxiedRequest::LogAttempt(const Placement& placement, AttemptOutcome end,
                                const net::HttpCall& call) const {
  base::LogEvent("attempt_ended")
      .Text("request", client_.id)
      .Text(placement.replica ? "replica" : "region", served_by_)
      .Text("end", AttemptOutcomeName(end))
      .Text("fault", net::CallFaultName(call.fault()))
      .Text("detail", call.detail())
      .Number("sends", state_.sends)
      .Time("after_ms", parts_.clock.Now() - received_);
}

void ProxiedRequest::LogEnd(const char* outcome, unsigned status) const {
  base::LogEvent line(outcome);
  line.Text("request", client_.id)
      .Text("route", route_.name)
      .Text("service", service_)
      .Text("by", served_by_)
      .Number("status", status)
      .Number("sends", state_.sends)
      .Number("config", static_cast<int64_t>(config_->version))
      .Time("expected_ms", expected_)
      .Time("total_ms", parts_.clock.Now() - received_);
  if (first_byte_at_ != base::TimePoint{}) line.Time("first_ms", first_byte_at_ - received_);
  if (placement_code_ != RefusalReason::kNone && status == 503) {
    line.Text("reason", RefusalReasonName(placement_code_));
  }
  if (hop_) line.Number("hop", 1);
}

void ProxiedRequest::ReportEnd(const char* outcome) const {
  if (parts_.observer == nullptr) return;
  const base::TimePoint now = parts_.clock.Now();
  RequestSummary end;
  end.outcome = outcome;
  if (end.outcome == "refused") end.reason = RefusalReasonName(placement_code_);
  end.priority = route_.priority;
  end.hop = hop_.has_value();
  end.sends = state_.sends;
  if (first_byte_at_ != base::TimePoint{}) end.first_byte = first_byte_at_ - received_;
  end.total = now - received_;
  parts_.observer->OnRequestEnd(end);
}

}  // namespace cornelplank::serving
