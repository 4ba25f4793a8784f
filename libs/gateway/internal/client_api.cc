#include "libs/gateway/internal/client_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "libs/gateway/internal/completion_run.h"
#include "libs/gateway/internal/request_reader.h"

namespace cornelplank::gateway {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kEntryListLifetime{30};  // after which clients ask for the list again

/// Response body that streams a completion to the client. When the completion fails, the body ends with an
/// error event, without the terminal event, and the connection is closed without the terminating chunk.
class CompletionBody final : public http::BodySource {
 public:
  explicit CompletionBody(std::unique_ptr<CompletionRun> run)
      : run_(std::move(run)), pending_(run_->TakeOutput()) {}

  std::optional<size_t> Read(char* buffer, size_t capacity) override {
    if (pending_.empty() && !Refill()) return std::nullopt;
    const size_t count = std::min(capacity, pending_.size());
    std::copy_n(pending_.begin(), count, buffer);
    pending_.erase(0, count);
    return count;
  }

 private:
  /// Fetches more output. Returns false when the connection is to be broken off.
  bool Refill() {
    if (failed_) return false;
    if (run_->ended()) return true;  // without more output: the body is complete
    if (run_->Advance()) {
      pending_ = run_->TakeOutput();
      return true;
    }
    failed_ = true;
    pending_ = run_->TakeOutput() + http::FormatSse({"error", http::ProblemJson(ToProblem(run_->failure()))});
    return true;
  }

  std::unique_ptr<CompletionRun> run_;
  std::string pending_;
  bool failed_ = false;
};

void AddRouteHeaders(const CompletionRun& run, http::Response* response) {
  response->headers["Request-Id"] = run.request().request_id;
  response->headers["Served-By"] = run.place().served_by;
  response->headers["Served-Region"] = run.place().region;
  response->headers["Route-Reason"] = run.place().route_reason;
}

}  // namespace

http::Problem ToProblem(const Failure& failure) {
  http::Problem problem;
  problem.status = failure.status;
  problem.code = failure.code;
  problem.title = "The request was not answered.";
  problem.detail = failure.detail;
  problem.outcome = failure.outcome;
  if (failure.retry_after.count() > 0) {
    problem.retry_after = std::chrono::ceil<std::chrono::seconds>(failure.retry_after);
  }
  return problem;
}

http::Response FailureResponse(const Failure& failure) { return http::ProblemResponse(ToProblem(failure)); }

http::Response ClientApi::Handle(const http::Request& http_request) {
  http::Response response = Dispatch(http_request);
  response.headers["Config-Version"] = std::to_string(shared_->View().version.number);
  if (shared_->draining.load(std::memory_order_acquire)) {
    response.headers["Entry-Leaving"] = "1";
    response.headers["Connection"] = "close";
  }
  return response;
}

http::Response ClientApi::Dispatch(const http::Request& http_request) {
  if (http_request.path == "/v1/entry" && http_request.method == "GET") return EntryList(http_request);
  const bool completion = http_request.path == "/v1/chat/completions" && http_request.method == "POST";
  const bool ticket = http_request.path == "/v1/tickets" && http_request.method == "POST";
  const bool service = http_request.path.starts_with("/v1/services/");
  if (!completion && !ticket && !service) {
    return FailureResponse({404, "unknown-path", "there is no such path or method", base::Outcome::kNotRun});
  }
  Failure failure;
  auto request = ReadRequest(shared_, http_request, &failure);
  if (!request) {
    shared_->metrics.CountRequest("", "", failure.code);
    return FailureResponse(failure);
  }
  if (completion) return RunCompletion(std::move(*request));
  return ticket ? services_->MintTicket(std::move(*request)) : services_->HandleCall(*request);
}

http::Response ClientApi::EntryList(const http::Request& http_request) const {
  const auto text = [&http_request](const char* key) {
    const auto found = http_request.query.find(key);
    return found == http_request.query.end() ? std::string() : found->second;
  };
  const ServingView view = shared_->View();
  membership::RegionDistances distances;
  if (view.document) {
    for (const config::Link& link : view.document->links) {
      if (link.a == shared_->settings.region) distances[link.b] = link.one_way;
      if (link.b == shared_->settings.region) distances[link.a] = link.one_way;
    }
  }
  const std::string client = text("client");
  membership::EntryQuery query;
  query.client = client;
  query.zone = shared_->settings.zone;
  query.region = shared_->settings.region;
  query.partner = shared_->settings.partner;
  json entries = json::array();
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    for (const membership::Vm* vm : membership::OrderEntryVms(shared_->fleet.table, query, distances)) {
      entries.push_back({{"http", vm->entry.http}, {"zone", vm->entry.zone}, {"region", vm->entry.region}});
    }
  }
  http::Response response;
  response.headers["Content-Type"] = "application/json";
  response.body = json{{"lifetime_s", kEntryListLifetime.count()}, {"entries", entries}}.dump();
  return response;
}

http::Response ClientApi::RunCompletion(GatewayRequest request) {
  const bool stream = request.stream;
  auto run = std::make_unique<CompletionRun>(shared_, dispatcher_, std::move(request));
  if (!run->Begin()) {
    http::Response response = FailureResponse(run->failure());
    response.headers["Request-Id"] = run->request().request_id;
    return response;
  }
  http::Response response;
  AddRouteHeaders(*run, &response);
  if (stream) {
    response.headers["Content-Type"] = "text/event-stream";
    response.headers["Cache-Control"] = "no-store";
    response.stream = std::make_unique<CompletionBody>(std::move(run));
  } else {
    response.headers["Content-Type"] = "application/json";
    response.body = run->TakeOutput();
  }
  return response;
}

}  // namespace cornelplank::gateway
