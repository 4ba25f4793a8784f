#include "libs/serving/internal/request_proxy.h"

#include "libs/serving/internal/proxied_request.h"

namespace cornelplank::serving {
namespace {

// A VM that has no configuration yet gets one within this time of its start.
constexpr std::chrono::milliseconds kNoConfigRetry{500};

// Interval of the search for silent replicas; a tenth of the shortest target latencies.
constexpr std::chrono::milliseconds kSilenceSweep{50};

}  // namespace

retry::ExtraAttemptBudget& RequestProxy::Budget(const std::string& service) {
  return budgets_.try_emplace(service, kSecondSendRatio, burst_).first->second;
}

void RequestProxy::SetSecondSendBurst(double burst) {
  burst_ = burst;
  for (auto& [service, budget] : budgets_) budget.SetBurst(burst);
}

net::Task<> RequestProxy::Handle(net::Request& request, net::ResponseWriter& writer) {
  ++counters_.requests;
  std::string problem;
  const auto client = parts_.dialect.DecodeRequest(request, &problem);
  const auto config = parts_.table.SharedConfig();
  if (!client) {
    base::LogEvent("request_rejected").Text("reason", problem).Number("status", 400);
    co_await writer.Send(parts_.dialect.MakeLocalResponse(400, "", std::nullopt), "");
    co_return;
  }
  if (!config) {
    ++counters_.refused;
    base::LogEvent("refused").Text("request", client->id).Text("reason", "no_configuration");
    co_await writer.Send(parts_.dialect.MakeLocalResponse(503, client->id, kNoConfigRetry), "");
    co_return;
  }
  const RouteConfig* route = config->FindRoute(client->host, client->path);
  if (route == nullptr) {
    base::LogEvent("no_route")
        .Text("request", client->id)
        .Number("config", static_cast<int64_t>(config->version));
    co_await writer.Send(parts_.dialect.MakeLocalResponse(404, client->id, std::nullopt), "");
    co_return;
  }
  const std::string service = route->PickService(base::Hash64(client->id));
  Budget(service).OnRequest();
  ProxiedRequest exchange(*this, config, *route, service, *client, request, writer, std::nullopt);
  co_await exchange.Run();
}

net::Task<> RequestProxy::RunSilenceChecks() {
  while (true) {
    co_await net::Sleep(parts_.loop, kSilenceSweep);
    const base::TimePoint now = parts_.clock.Now();
    for (ProxiedRequest* exchange : *exchanges_) exchange->CheckSilence(now);
  }
}

net::Task<> RequestProxy::ServeHop(net::Request& request, net::ResponseWriter& writer) {
  const auto terms = parts_.dialect.DecodeHop(request);
  std::string problem;
  const auto client = parts_.dialect.DecodeRequest(request, &problem);
  const auto config = parts_.table.SharedConfig();
  const RouteConfig* route = client && config ? config->FindRoute(client->host, client->path) : nullptr;
  if (!terms || route == nullptr) {
    base::LogEvent("hop_refused")
        .Text("request", client ? client->id : "")
        .Text("reason", !terms    ? "no_hop_terms"
                        : !client ? problem
                                  : "no_route");
    auto head = parts_.dialect.MakeLocalResponse(503, client ? client->id : "", kNoConfigRetry);
    parts_.dialect.MarkNotRun(&head);
    co_await writer.Send(head, "");
    co_return;
  }
  ProxiedRequest exchange(*this, config, *route, terms->service, *client, request, writer, *terms);
  co_await exchange.Run();
}

}  // namespace cornelplank::serving
