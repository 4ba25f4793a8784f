#include "libs/serving/internal/request_proxy.h"

#include <algorithm>

#include "libs/serving/internal/proxied_request.h"
#include "libs/serving/internal/request_identity.h"

namespace cornelplank::serving {
namespace {

// Retry-After while this VM has no configuration: a VM gets its first one within this time of its start.
constexpr std::chrono::milliseconds kNoConfigRetryAfter{500};

// Greatest time for which requests wait for a confirmation of the configuration: a few round trips to the
// store.
constexpr std::chrono::milliseconds kConfirmationWait{500};
constexpr std::chrono::milliseconds kConfirmationPoll{10};

// Time between checks for silent replicas: a tenth of the shortest target latencies in use.
constexpr std::chrono::milliseconds kSilenceCheckInterval{50};

}  // namespace

retry::ExtraAttemptBudget& RequestProxy::RetryBudget(const std::string& service) {
  return budgets_.try_emplace(service, kSecondSendRatio, second_send_burst_).first->second;
}

void RequestProxy::SetSecondSendBurst(double burst) {
  second_send_burst_ = burst;
  for (auto& [service, budget] : budgets_) budget.SetBurst(burst);
}

net::Task<> RequestProxy::AwaitConfirmedConfig() {
  const base::TimePoint begin = deps_.clock.Now();
  const ConfigFreshness& freshness = deps_.registry.config_freshness();
  while (freshness.Assess(deps_.clock.Now()) == ConfigFreshness::State::kUnconfirmed) {
    if (deps_.clock.Now() - begin >= kConfirmationWait) break;
    co_await net::Sleep(deps_.loop, kConfirmationPoll);
  }
}

net::Task<> RequestProxy::AwaitFinalDenial(base::TimePoint received_at, const net::ResponseWriter& writer) {
  using State = ConfigFreshness::State;
  const ConfigFreshness& freshness = deps_.registry.config_freshness();
  const uint64_t version = deps_.registry.config()->version;
  while (!writer.ClientGone() && deps_.registry.config()->version == version) {
    const base::TimePoint now = deps_.clock.Now();
    const State state = freshness.Assess(now);
    const bool settled = freshness.MayDeny(now) || state == State::kOutdated || state == State::kIsolated;
    if (settled || now - received_at >= kConfirmationWait) break;
    co_await net::Sleep(deps_.loop, kConfirmationPoll);
  }
}

bool RequestProxy::MayAcceptKeys(base::TimePoint now) const {
  const ConfigFreshness& freshness = deps_.registry.config_freshness();
  if (!freshness.MayPlaceBoundRequests(now)) return false;
  if (!key_age_bound_) return true;
  const auto age = freshness.Age(now);
  return age && *age <= *key_age_bound_;
}

net::Task<> RequestProxy::Deny(const RequestInfo& request, const RoutingConfig& config, unsigned status,
                               net::ResponseWriter& writer) {
  const base::TimePoint now = deps_.clock.Now();
  const ConfigFreshness& freshness = deps_.registry.config_freshness();
  const base::Duration age = freshness.Age(now).value_or(base::Duration::zero());
  const bool final = freshness.MayDeny(now);
  base::LogEvent(status == 404 ? "no_route" : "unknown_key")
      .Text("request", request.id)
      .Number("status", final ? status : 503)
      .Number("config", static_cast<int64_t>(config.version))
      .Number("newest", static_cast<int64_t>(freshness.newest_heard()))
      .Text("state", ConfigStateName(freshness.Assess(now)))
      .Time("age_ms", age)
      .Time("behind_ms", freshness.TimeBehind(now));
  if (final) {
    ++counters_.denied;
    counters_.max_denial_age = std::max(counters_.max_denial_age, age);
    co_await writer.Send(deps_.codec.MakeLocalResponse(status, request.id, std::nullopt), "");
  } else {
    ++counters_.refused;
    co_await writer.Send(deps_.codec.MakeLocalResponse(503, request.id, ConfigFreshness::kRetryAfter), "");
  }
}

net::Task<> RequestProxy::Handle(net::Request& request, net::ResponseWriter& writer) {
  ++counters_.requests;
  const base::TimePoint received_at = deps_.clock.Now();
  co_await AwaitConfirmedConfig();
  std::string problem;
  const auto client = deps_.codec.DecodeRequest(request, &problem);
  auto config = deps_.registry.SharedConfig();
  if (!client) {
    base::LogEvent("request_rejected").Text("reason", problem).Number("status", 400);
    co_await writer.Send(deps_.codec.MakeLocalResponse(400, "", std::nullopt), "");
    co_return;
  }
  if (!config) {
    ++counters_.refused;
    base::LogEvent("refused").Text("request", client->id).Text("reason", "no_configuration");
    co_await writer.Send(deps_.codec.MakeLocalResponse(503, client->id, kNoConfigRetryAfter), "");
    co_return;
  }
  const RouteConfig* route = config->FindRoute(client->host, client->path);
  const auto allowed = [&] { return route && IdentifyByKey(*config, *route, client->key).allowed; };
  if (!allowed()) {
    co_await AwaitFinalDenial(received_at, writer);
    config = deps_.registry.SharedConfig();
    route = config->FindRoute(client->host, client->path);
  }
  if (!allowed()) {
    co_await Deny(*client, *config, route == nullptr ? 404 : 401, writer);
    co_return;
  }
  if (route->kind == RequestKind::kStream && client->unreadable_event_id) {
    // Placed as a new request, it might be answered from the beginning, or by another software version.
    base::LogEvent("request_rejected")
        .Text("request", client->id)
        .Text("reason", "the id of the last event can't be read")
        .Number("status", 400);
    co_await writer.Send(deps_.codec.MakeLocalResponse(400, client->id, std::nullopt), "");
    co_return;
  }
  const std::string service = route->PickService(base::Hash64(client->id));
  RetryBudget(service).OnRequest();
  ProxiedRequest proxied(*this, config, *route, service, *client, request, writer, received_at, std::nullopt);
  co_await proxied.Run();
}

net::ResponseHead RequestProxy::MakeUndecodedRefusal(const net::Request& request,
                                                     std::chrono::milliseconds retry_after) const {
  std::string problem;
  const auto client = deps_.codec.DecodeRequest(request, &problem);
  return deps_.codec.MakeLocalResponse(503, client ? client->id : "", retry_after);
}

net::ResponseHead RequestProxy::MakeRefusal(const net::Request& request,
                                            std::chrono::milliseconds retry_after) {
  ++counters_.requests;
  ++counters_.refused;
  return MakeUndecodedRefusal(request, retry_after);
}

net::ResponseHead RequestProxy::MakeHopRefusal(const net::Request& request,
                                               std::chrono::milliseconds retry_after) const {
  net::ResponseHead head = MakeUndecodedRefusal(request, retry_after);
  deps_.codec.MarkNotRun(&head, false);
  return head;
}

void RequestProxy::EndRequests() {
  ended_ = true;
  base::LogEvent("requests_ended").Number("active", static_cast<int64_t>(active_requests_->size()));
  for (ProxiedRequest* proxied : *active_requests_) proxied->CancelAttempt();
}

net::Task<> RequestProxy::RunSilenceChecks() {
  while (true) {
    co_await net::Sleep(deps_.loop, kSilenceCheckInterval);
    const base::TimePoint now = deps_.clock.Now();
    for (ProxiedRequest* proxied : *active_requests_) proxied->CheckSilence(now);
  }
}

net::Task<> RequestProxy::ServeHop(net::Request& request, net::ResponseWriter& writer) {
  const base::TimePoint received_at = deps_.clock.Now();
  co_await AwaitConfirmedConfig();
  const auto parameters = deps_.codec.DecodeHop(request);
  std::string problem;
  const auto client = deps_.codec.DecodeRequest(request, &problem);
  const auto config = deps_.registry.SharedConfig();
  const RouteConfig* route = client && config ? config->FindRoute(client->host, client->path) : nullptr;
  // The VM that forwarded the request may have chosen the service by an older configuration, or by a newer
  // one.
  const bool service_replaced = parameters && route != nullptr && !route->Offers(parameters->service) &&
                                deps_.registry.config_freshness().MayDeny(deps_.clock.Now());
  const bool unknown_tenant = parameters && route != nullptr &&
                              !IdentifyByName(*config, *route, parameters->tenant.value_or("")).allowed;
  if (!parameters || route == nullptr || service_replaced || unknown_tenant) {
    base::LogEvent("hop_refused")
        .Text("request", client ? client->id : "")
        .Text("reason", !parameters        ? "no_hop_terms"
                        : !client          ? problem
                        : service_replaced ? "service_replaced"
                        : unknown_tenant   ? "unknown_tenant"
                                           : "no_route");
    auto head = deps_.codec.MakeLocalResponse(503, client ? client->id : "", kNoConfigRetryAfter);
    deps_.codec.MarkNotRun(&head, false);
    co_await writer.Send(head, "");
    co_return;
  }
  ProxiedRequest proxied(*this, config, *route, parameters->service, *client, request, writer, received_at,
                         *parameters);
  co_await proxied.Run();
}

}  // namespace cornelplank::serving
