#include "libs/serving/internal/proxied_request.h"

#include <algorithm>
#include <utility>

namespace cornelplank::serving {
namespace {

// A local response is sent this long before the client's deadline, so that it still arrives in time.
constexpr std::chrono::milliseconds kResponseMargin{30};
// Limit for requests without a deadline of the client on routes without a timeout.
constexpr std::chrono::seconds kDefaultTimeout{30};
// A request that must not be repeated is not sent over a connection that was idle for longer: the server may
// have closed it, and it would be unknown whether the request ran.
constexpr std::chrono::milliseconds kMaxIdleUnrepeatable{250};
constexpr std::chrono::seconds kMaxIdleRepeatable{60};
// A resumable stream is continued by another replica after a pause of the route's target gap times the
// factor, but not before the minimum. Clients wait for two seconds at least.
constexpr std::chrono::milliseconds kMinGapLimit{1000};
constexpr int kGapLimitFactor = 4;
// Factor on the limits of silence when another region serves the request. The VM there can tell whether the
// replica is silent or only busy; this VM can't.
constexpr int kHopSilenceFactor = 2;
// Longest pause after which a client still listens, less the time that another replica takes to continue.
constexpr std::chrono::milliseconds kMaxGapLimit{1700};
// A replica with outstanding work counts as silent when no response of it makes progress for this long. Busy
// engines produce a token for each running request every few tens of milliseconds.
constexpr std::chrono::milliseconds kReplicaSilence{700};

}  // namespace

ProxiedRequest::ProxiedRequest(RequestProxy& proxy, std::shared_ptr<const RoutingConfig> config,
                               const RouteConfig& route, std::string service, const RequestInfo& info,
                               net::Request& request, net::ResponseWriter& writer,
                               base::TimePoint received_at, std::optional<HopParameters> hop)
    : proxy_(proxy),
      active_requests_(proxy.active_requests_),
      deps_(proxy.deps_),
      config_(std::move(config)),
      route_(route),
      service_(std::move(service)),
      request_info_(info),
      request_(request),
      writer_(writer),
      hop_(std::move(hop)),
      received_at_(received_at),
      last_event_id_(info.last_event_id),
      shared_parts_(info.SharedParts()),
      identity_(Identify(*config_, route_)),
      priority_(identity_.tenant == nullptr ? route_.priority
                                            : identity_.tenant->priority.value_or(route_.priority)) {
  base::Duration limit = route_.timeout.count() > 0 ? base::Duration(route_.timeout) : kDefaultTimeout;
  if (request_info_.time_left) {
    limit = std::min<base::Duration>(limit, *request_info_.time_left - kResponseMargin);
  }
  if (hop_) limit = std::min(limit, hop_->time_left);
  deadline_ = received_at_ + limit;
  if (identity_.tenant != nullptr) tenant_name_ = identity_.tenant->name;
  progress_.repeatable = route_.Repeatable();
  // Only the entry VM that received the request from the client retries, since it knows of all attempts.
  progress_.max_sends = hop_ ? 1 : std::max<uint32_t>(1, route_.attempts);
  active_requests_->insert(this);
}

ProxiedRequest::~ProxiedRequest() { active_requests_->erase(this); }

PlacementQuery ProxiedRequest::MakePlacementQuery() const {
  PlacementQuery query;
  query.route = &route_;
  query.priority = priority_;
  query.residency = Residency();
  query.service = service_;
  query.prompt_tokens = request_info_.prompt_tokens;
  query.prefix_tokens = request_info_.SharedPrefixTokens();
  query.prefix_key = request_info_.SharedPrefixKey();
  query.max_output_tokens = request_info_.max_output_tokens;
  query.time_left = TimeLeft();
  query.elapsed = deps_.clock.Now() - received_at_;
  query.may_run_already = progress_.sends > 0;
  query.may_hop = !hop_;
  query.may_borrow = !turned_away_;
  query.software = software_;
  query.excluded_replicas = tried_replicas_;
  query.excluded_regions = tried_regions_;
  return query;
}

RequestIdentity ProxiedRequest::Identify(const RoutingConfig& config, const RouteConfig& route) const {
  if (hop_) return IdentifyByName(config, route, hop_->tenant.value_or(""));
  return IdentifyByKey(config, route, request_info_.key);
}

RequestIdentity ProxiedRequest::NewestIdentity() const {
  const RoutingConfig* newest = deps_.registry.config();
  if (newest == nullptr || newest == config_.get()) return identity_;
  const RouteConfig* route = newest->FindRoute(request_info_.host, request_info_.path);
  return Identify(*newest, route == nullptr ? route_ : *route);
}

DataResidency ProxiedRequest::Residency() const {
  DataResidency residency;
  residency.SetConfigFresh(deps_.registry.config_freshness().MayPlaceBoundRequests(deps_.clock.Now()));
  residency.Restrict(route_.home_regions);
  if (identity_.tenant != nullptr) residency.Restrict(identity_.tenant->home_regions);
  const RoutingConfig* newest = deps_.registry.config();
  if (newest == nullptr || newest == config_.get()) return residency;
  const RouteConfig* route = newest->FindRoute(request_info_.host, request_info_.path);
  if (route != nullptr) residency.Restrict(route->home_regions);
  const RequestIdentity identity = NewestIdentity();
  if (identity.tenant != nullptr) residency.Restrict(identity.tenant->home_regions);
  return residency;
}

bool ProxiedRequest::CheckIdentity() {
  const RequestIdentity identity = NewestIdentity();
  if (!identity.allowed) {
    refusal_reason_ = RefusalReason::kUnknownKey;
    return false;
  }
  // A VM that forwards a request has checked its key.
  if (identity.tenant != nullptr && !hop_ && !proxy_.MayAcceptKeys(deps_.clock.Now())) {
    refusal_reason_ = RefusalReason::kKeysOutdated;
    return false;
  }
  tenant_name_ = identity.tenant == nullptr ? "" : identity.tenant->name;
  return true;
}

std::optional<std::string> ProxiedRequest::TenantToSend() const {
  const RoutingConfig* newest = deps_.registry.config();
  if (!config_->tenants && (newest == nullptr || !newest->tenants)) return std::nullopt;
  return tenant_name_;
}

OutstandingWork ProxiedRequest::EstimateWork(const Placement& placement) const {
  OutstandingWork work;
  work.requests = 1;
  const uint32_t shared = request_info_.SharedPrefixTokens();
  const uint32_t own = request_info_.prompt_tokens - std::min(shared, request_info_.prompt_tokens);
  const bool cached = placement.prefix_owner ||
                      placement.replica->LikelyHasPrefix(request_info_.SharedPrefixKey(), deps_.clock.Now());
  work.prefill_tokens = cached ? own : request_info_.prompt_tokens;
  work.memory_tokens = own + request_info_.max_output_tokens;
  return work;
}

bool ProxiedRequest::MayRetry() const {
  return progress_.repeatable && progress_.sends < progress_.max_sends;
}

base::Duration ProxiedRequest::SilenceLimit() const {
  const int factor = replica_ ? 1 : kHopSilenceFactor;
  if (awaiting_first_event_) return route_.target_latency * factor;
  return std::min<base::Duration>(
      kMaxGapLimit, std::max<base::Duration>(kMinGapLimit, route_.target_gap * kGapLimitFactor) * factor);
}

void ProxiedRequest::CheckSilence(base::TimePoint now) {
  if (!awaiting_bytes_ || !call_ || !MayRetry() || now - last_bytes_at_ < SilenceLimit()) return;
  if (replica_ && now - std::max(replica_->last_progress, sent_at_) < kReplicaSilence) return;
  // The attempt is cancelled only if another one can replace it: a late response is better than none.
  auto& budget = proxy_.RetryBudget(service_);
  RefusalReason reason = RefusalReason::kNone;
  if (!budget.CanTake() || !CheckIdentity() || !CheckSoftware() ||
      !deps_.placer.Choose(MakePlacementQuery(), deps_.registry, deps_.hops, now, &reason) ||
      !ReserveQuota(now)) {
    return;
  }
  budget.Take();
  second_send_reserved_ = true;
  awaiting_bytes_ = false;
  call_->Cancel();
}

void ProxiedRequest::CancelAttempt() {
  awaiting_bytes_ = false;
  if (call_) call_->Cancel();
}

bool ProxiedRequest::OutlastsVm() const {
  if (!proxy_.stops_at_) return false;
  const base::Duration expected = proxy_.completion_times_.Upper(route_.name).value_or(TimeLeft());
  return deps_.clock.Now() + std::min(expected, TimeLeft()) > *proxy_.stops_at_;
}

NextStep ProxiedRequest::LastStep() const {
  if (writer_.Started()) return NextStep::kAbortResponse;
  if (held_error_) return NextStep::kForwardErrorResponse;
  return progress_.may_have_run ? NextStep::kFail : NextStep::kRefuse;
}

bool ProxiedRequest::IsQuarantined() {
  // The VM that forwarded a request has checked it. Between two sends there is one check, since a check that
  // lets a request with a condemned part pass makes it the trial.
  if (deps_.quarantine == nullptr || shared_parts_.empty() || hop_) return false;
  if (checked_sends_ == progress_.sends) return false;
  checked_sends_ = progress_.sends;
  const uint64_t order_key = shared_parts_.back();
  const auto refusal =
      deps_.quarantine->Check(shared_parts_, deps_.hops.OwnRank(order_key), deps_.clock.Now());
  if (!refusal) return false;
  refusal_reason_ = RefusalReason::kCrashingPrompt;
  quarantine_left_ = refusal->retry_after;
  return true;
}

bool ProxiedRequest::CrashedBeforeAnswer(AttemptOutcome outcome) const {
  const bool lost = call_->fault() == net::CallFault::kLost || broke_off_;
  return outcome == AttemptOutcome::kUnknown && !prefill_done_ && lost;
}

bool ProxiedRequest::TryAdmit() {
  const ServiceConfig* service = config_->FindService(service_);
  // A stream that is resumed has been admitted, and its replicas have worked on it.
  if (hop_ || ResumesStream() || service == nullptr || !service->engine) return true;
  if (!proxy_.Admission(service_, priority_).Admits(proxy_.random_.Unit())) return false;
  timeliness_pending_ = true;
  return true;
}

void ProxiedRequest::ReportTimeliness(bool in_time) {
  if (!timeliness_pending_) return;
  timeliness_pending_ = false;
  // It may have waited behind a lost link, which says nothing about the replicas' load.
  if (!in_time && received_at_ <= deps_.registry.links().lost_at()) return;
  proxy_.Admission(service_, priority_).Observe(in_time);
}

void ProxiedRequest::ReportMissedTarget() {
  if (deps_.clock.Now() - received_at_ > route_.target_latency) ReportTimeliness(false);
}

net::Task<> ProxiedRequest::Run() {
  try {
    co_await RunToEnd();
  } catch (...) {
    // Not in the destructor, which also runs with the loop's when the registry is gone.
    Abandon();
    throw;
  }
}

void ProxiedRequest::Abandon() {
  writer_.OnClientGone(nullptr);
  CancelAttempt();
  if (replica_) {
    if (prefill_done_) work_.prefill_tokens = 0;
    deps_.registry.EndAttempt(*replica_, work_, HealthObservation::kNeutral, deps_.clock.Now());
    replica_.reset();
  }
  SettleCharge(true);
  ReturnCharge();
  ++proxy_.counters_.failed;
  ReportMissedTarget();
  LogRequestEnd("failed", writer_.Started() ? 0 : 500);
  NotifyObserver("failed");
}

net::Task<> ProxiedRequest::RunToEnd() {
  if (ResumesStream() || (hop_ && hop_->software)) {
    const bool bound = co_await BindToOrigin();
    if (writer_.CheckClient() && !bound) {
      co_await Finish(NextStep::kRefuse);
      co_return;
    }
  }
  if (!TryAdmit()) {
    refusal_reason_ = RefusalReason::kOverloaded;
    co_await Finish(NextStep::kRefuse);
    co_return;
  }
  while (!writer_.ClientGone()) {
    bool may_send = CheckIdentity();
    if (may_send) {
      may_send = co_await AcquireQuota();
    }
    if (writer_.ClientGone()) break;
    if (TimeLeft() <= kMinAttemptTime) {
      co_await Finish(progress_.response_started ? NextStep::kAbortResponse
                      : progress_.may_have_run   ? NextStep::kTimeOut
                                                 : NextStep::kRefuse);
      co_return;
    }
    std::optional<Placement> placement;
    // The configuration may have changed during the wait for the quota.
    if (may_send && CheckIdentity() && CheckSoftware() && !IsQuarantined()) {
      placement = deps_.placer.Choose(MakePlacementQuery(), deps_.registry, deps_.hops, deps_.clock.Now(),
                                      &refusal_reason_);
    }
    const bool untried = progress_.sends == 0 && !turned_away_;
    if (placement && !placement->forecast && placement->expected > TimeLeft() && untried) {
      expected_first_byte_ = placement->expected;
      refusal_reason_ = RefusalReason::kNoTime;
      placement.reset();
    }
    if (proxy_.ended_ || (placement && untried && OutlastsVm())) {
      refusal_reason_ = RefusalReason::kStopping;
      placement.reset();
    }
    if (!placement) {
      co_await Finish(LastStep());
      co_return;
    }
    expected_first_byte_ = placement->expected;
    progress_.last_outcome = co_await RunAttempt(std::move(*placement));
    if (writer_.ClientGone()) break;
    if (proxy_.ended_ && progress_.last_outcome != AttemptOutcome::kComplete) {
      refusal_reason_ = RefusalReason::kStopping;
      co_await Finish(LastStep());
      co_return;
    }
    progress_.time_left = TimeLeft();
    progress_.response_started = writer_.Started();
    auto& budget = proxy_.RetryBudget(service_);
    progress_.retry_budget_left = second_send_reserved_ || budget.CanTake();
    // After a hop the crash was seen by the other VM, which tells of it in its heartbeats.
    if (deps_.quarantine != nullptr && progress_.last_outcome == AttemptOutcome::kUnknown && !prefill_done_ &&
        !deps_.quarantine->MayRetryAfterCrash(shared_parts_, deps_.clock.Now())) {
      progress_.retry_budget_left = false;
    }
    const NextStep step = DecideNextStep(progress_);
    if (step != NextStep::kRetry) {
      co_await Finish(step);
      co_return;
    }
    const bool reached_replica = progress_.last_outcome != AttemptOutcome::kNotSent &&
                                 progress_.last_outcome != AttemptOutcome::kWrongReplica;
    if (reached_replica) {
      if (!second_send_reserved_) budget.Take();
      second_send_reserved_ = false;
      ++proxy_.counters_.second_sends;
    }
  }
  ReturnCharge();
  ++proxy_.counters_.client_gone;
  ReportMissedTarget();
  LogRequestEnd("client_gone", 0);
  NotifyObserver("client_gone");
}

net::Task<AttemptOutcome> ProxiedRequest::RunAttempt(Placement placement) {
  const bool hop = placement.replica == nullptr;
  net::Tcp::endpoint endpoint;
  if (hop) {
    const auto vm = PickHopTarget(placement.region);
    if (!vm) {
      tried_regions_.push_back(placement.region);
      ++progress_.unsent_attempts;
      co_return AttemptOutcome::kNotSent;
    }
    endpoint = *vm;
    served_by_ = placement.region;
    ++proxy_.counters_.hops;
  } else {
    endpoint = placement.replica->published.address;
    served_by_ = placement.replica->published.id;
    tried_replicas_.push_back(served_by_);
    replica_ = placement.replica;
    work_ = EstimateWork(placement);
    deps_.registry.BeginAttempt(*replica_, work_, request_info_.SharedPrefixKey(), deps_.clock.Now());
    replica_->limit.OnSend(priority_, deps_.clock.Now());
    replica_->rejection_limit.OnSend(replica_->own_work.requests - 1, deps_.clock.Now());
    prefill_ahead_ = replica_->TotalWork(deps_.clock.Now()).prefill_tokens;
  }
  prefill_done_ = false;
  withheld_ = false;
  broke_off_ = false;
  awaiting_bytes_ = false;
  splitter_.Clear();
  attempt_software_.reset();
  call_ = std::make_shared<net::HttpCall>(deps_.loop, hop ? deps_.peer_pool : deps_.replica_pool);
  writer_.OnClientGone([this] { call_->Cancel(); });
  AttemptOutcome outcome = AttemptOutcome::kNotSent;
  const uint32_t sends_before = progress_.sends;
  const bool repeatable = progress_.repeatable;
  if (co_await call_->Connect(
          endpoint, repeatable ? base::Duration(kMaxIdleRepeatable) : base::Duration(kMaxIdleUnrepeatable))) {
    if (replica_ && !call_->Reused()) deps_.registry.links().OnConnected(deps_.clock.Now());
    // The configuration may have changed while the connection was established.
    const std::string region = hop ? placement.region : placement.replica->published.region;
    withheld_ = !CheckIdentity() || !Residency().Allows(region);
    // So may the replica's state; its connection may have taken as long as the replica lets requests pass.
    if (replica_ && !SendGate::CheckStanding(*replica_, deps_.registry, deps_.clock.Now()).allowed()) {
      withheld_ = true;
    }
    if (replica_ && !CheckReplicaSoftware()) withheld_ = true;
    if (!withheld_ && writer_.CheckClient()) {
      attempt_charge_ = std::exchange(charge_, std::nullopt);
      outcome = co_await SendAndRelay(*call_, placement);
    }
  } else if (call_->fault() == net::CallFault::kNoDescriptor) {
    withheld_ = true;  // says nothing about the replica
  } else if (!writer_.ClientGone()) {
    if (hop) deps_.hops.ReportHopFailure(endpoint);
    if (replica_) deps_.registry.links().OnConnectFailed(replica_->key, deps_.clock.Now());
    (hop ? deps_.peer_pool : deps_.replica_pool).CloseIdle(endpoint);
  }
  if (writer_.ClientGone()) outcome = AttemptOutcome::kClientGone;
  SettleCharge(progress_.sends > sends_before && outcome != AttemptOutcome::kNotRun);
  if (outcome == AttemptOutcome::kNotSent || outcome == AttemptOutcome::kWrongReplica) {
    ++progress_.unsent_attempts;
  }
  if (outcome == AttemptOutcome::kUnknown || outcome == AttemptOutcome::kErrorResponse) {
    progress_.may_have_run = true;
  }
  if (hop && outcome != AttemptOutcome::kComplete) OnHopFailed(placement.region, endpoint);
  if (outcome == AttemptOutcome::kComplete || outcome == AttemptOutcome::kErrorResponse) {
    call_->Finish();
  } else {
    call_->Cancel();
  }
  RecordAttempt(placement, outcome);
  if (outcome != AttemptOutcome::kComplete) LogAttempt(placement, outcome, *call_);
  writer_.OnClientGone(nullptr);
  co_return outcome;
}

void ProxiedRequest::RecordAttempt(const Placement& placement, AttemptOutcome outcome) {
  if (!placement.replica) return;
  RecordCourse(placement, outcome);
  if (prefill_done_) work_.prefill_tokens = 0;
  HealthObservation result = HealthObservation::kNeutral;
  switch (outcome) {
    case AttemptOutcome::kComplete:
      result = HealthObservation::kSuccess;
      break;
    case AttemptOutcome::kErrorResponse:
      result = HealthObservation::kErrorResponse;
      break;
    case AttemptOutcome::kNotSent:
      if (!withheld_) result = HealthObservation::kNotConnected;
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
  if (deps_.quarantine != nullptr && !shared_parts_.empty() && CrashedBeforeAnswer(outcome)) {
    deps_.quarantine->RecordCrash(shared_parts_, placement.replica->key, deps_.clock.Now());
  }
  deps_.registry.EndAttempt(*placement.replica, work_, result, deps_.clock.Now());
  replica_.reset();
}

}  // namespace cornelplank::serving
