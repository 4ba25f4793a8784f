#include "libs/serving/internal/request_engine.h"

#include "libs/serving/internal/exchange.h"

namespace cornelplank::serving {
namespace {

// A VM that has no configuration yet gets one within this time of its start.
constexpr std::chrono::milliseconds kNoConfigRetry{500};

// Interval of the search for silent replicas; a tenth of the shortest target latencies.
constexpr std::chrono::milliseconds kSilenceSweep{50};

}  // namespace

retry::ExtraAttemptBudget& RequestEngine::Budget(const std::string& service) {
  return budgets_.try_emplace(service, kSecondSendRatio, burst_).first->second;
}

void RequestEngine::SetSecondSendBurst(double burst) {
  burst_ = burst;
  for (auto& [service, budget] : budgets_) budget.SetBurst(burst);
}

net::Task<> RequestEngine::Handle(net::Request& request, net::ResponseWriter& writer) {
  ++counters_.requests;
  std::string problem;
  const auto client = parts_.dialect.DecodeRequest(request, &problem);
  const auto config = parts_.table.SharedConfig();
  if (!client) {
    base::LogEvent("request_rejected").Text("reason", problem).Number("status", 400);
    co_await writer.Send(parts_.dialect.OwnAnswer(400, "", std::nullopt), "");
    co_return;
  }
  if (!config) {
    ++counters_.refused;
    base::LogEvent("refused").Text("request", client->id).Text("reason", "no_configuration");
    co_await writer.Send(parts_.dialect.OwnAnswer(503, client->id, kNoConfigRetry), "");
    co_return;
  }
  const Route* route = config->Match(client->host, client->path);
  if (route == nullptr) {
    base::LogEvent("no_route")
        .Text("request", client->id)
        .Number("config", static_cast<int64_t>(config->version));
    co_await writer.Send(parts_.dialect.OwnAnswer(404, client->id, std::nullopt), "");
    co_return;
  }
  const std::string service = route->ServiceFor(base::Hash64(client->id));
  Budget(service).OnRequest();
  Exchange exchange(*this, config, *route, service, *client, request, writer, std::nullopt);
  co_await exchange.Run();
}

net::Task<> RequestEngine::WatchSilence() {
  while (true) {
    co_await net::Sleep(parts_.loop, kSilenceSweep);
    const base::TimePoint now = parts_.clock.Now();
    for (Exchange* exchange : *exchanges_) exchange->CheckSilence(now);
  }
}

net::Task<> RequestEngine::ServeHop(net::Request& request, net::ResponseWriter& writer) {
  const auto terms = parts_.dialect.DecodeHop(request);
  std::string problem;
  const auto client = parts_.dialect.DecodeRequest(request, &problem);
  const auto config = parts_.table.SharedConfig();
  const Route* route = client && config ? config->Match(client->host, client->path) : nullptr;
  if (!terms || route == nullptr) {
    base::LogEvent("hop_refused")
        .Text("request", client ? client->id : "")
        .Text("reason", !terms    ? "no_hop_terms"
                        : !client ? problem
                                  : "no_route");
    auto head = parts_.dialect.OwnAnswer(503, client ? client->id : "", kNoConfigRetry);
    parts_.dialect.MarkNotRun(&head);
    co_await writer.Send(head, "");
    co_return;
  }
  Exchange exchange(*this, config, *route, terms->service, *client, request, writer, *terms);
  co_await exchange.Run();
}

}  // namespace cornelplank::serving
