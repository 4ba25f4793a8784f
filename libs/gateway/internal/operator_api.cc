#include "libs/gateway/internal/operator_api.h"

#include <openssl/crypto.h>

#include <nlohmann/json.hpp>

#include "libs/gateway/internal/client_api.h"
#include "libs/gateway/internal/request_reader.h"
#include "libs/gateway/internal/state_dump.h"

namespace cornelplank::gateway {
namespace {

using nlohmann::json;

http::Response JsonResponse(const json& body) {
  http::Response response;
  response.headers["Content-Type"] = "application/json";
  response.body = body.dump(2, ' ', false, json::error_handler_t::replace);
  return response;
}

/// Compares in constant time, so that the response time tells nothing about the token.
bool IsOperatorToken(std::string_view given, const std::string& token) {
  constexpr std::string_view kBearer = "Bearer ";
  if (!given.starts_with(kBearer)) return false;
  given.remove_prefix(kBearer.size());
  return given.size() == token.size() && CRYPTO_memcmp(given.data(), token.data(), token.size()) == 0;
}

std::string QueryValue(const http::Request& http_request, const char* key) {
  const auto found = http_request.query.find(key);
  return found == http_request.query.end() ? "" : found->second;
}

}  // namespace

http::Response OperatorApi::Handle(const http::Request& http_request) const {
  if (!IsOperatorToken(http::HeaderValue(http_request.headers, "Authorization"),
                       shared_->settings.operators_token)) {
    return FailureResponse(
        {401, "unknown-operator", "the token is missing or wrong", base::Outcome::kNotRun});
  }
  if (http_request.method == "GET" && http_request.path == "/status") {
    return JsonResponse(DumpStatus(shared_));
  }
  if (http_request.method == "GET" && http_request.path == "/dump") return Dump();
  if (http_request.method == "GET" && http_request.path == "/explain") return Explain(http_request);
  if (http_request.method == "GET" && http_request.path == "/metrics") {
    http::Response response;
    response.headers["Content-Type"] = "text/plain; version=0.0.4";
    response.body = shared_->metrics.Text();
    return response;
  }
  return FailureResponse({404, "unknown-path", "there is no such path or method", base::Outcome::kNotRun});
}

http::Response OperatorApi::Dump() const {
  return JsonResponse({{"status", DumpStatus(shared_)},
                       {"config", DumpConfig(shared_)},
                       {"vms", DumpVms(shared_)},
                       {"replicas", DumpReplicas(shared_)},
                       {"admission", DumpAdmission(shared_)},
                       {"tickets", DumpTickets(shared_)},
                       {"retries", DumpRetries(shared_)},
                       {"orders", {{"pending", poller_->pending_orders()}}}});
}

/// Asks the router where a request with the given client, class, home and model or service would go now.
/// Sends nothing.
http::Response OperatorApi::Explain(const http::Request& http_request) const {
  const ServingView view = shared_->View();
  if (!view.document) {
    return FailureResponse({503, "no-configuration", "this VM has no configuration", base::Outcome::kNotRun});
  }
  GatewayRequest request;
  request.client = QueryValue(http_request, "client");
  const auto client = shared_->clients.Find(request.client);
  if (!client) {
    return FailureResponse({404, "unknown-client", "there is no such client", base::Outcome::kNotRun});
  }
  request.partner = client->partner;
  request.residency = client->residency;
  request.priority_class = QueryValue(http_request, "class");
  if (request.priority_class.empty() && !client->classes.empty()) {
    request.priority_class = client->classes.front();
  }
  request.home = QueryValue(http_request, "home").empty() ? client->home : QueryValue(http_request, "home");
  const std::string service = QueryValue(http_request, "service");
  request.kind = service.empty() ? rpc::ForwardKind::kCompletion : rpc::ForwardKind::kServiceCall;
  request.target = service.empty() ? QueryValue(http_request, "model") : service;
  const bool known_class = ResolveClass(*view.document, &request);
  if (!known_class) {
    return FailureResponse(
        {404, "class-not-allowed", "the partner has no such class", base::Outcome::kNotRun});
  }
  request.may_wait = false;  // /explain reports the decision at once instead of waiting for capacity
  request.prompt_tokens = request.output_tokens = 232;
  request.deadline = shared_->clock.Now() + shared_->settings.default_timeout;
  Failure failure;
  const auto choice = dispatcher_->ChooseRoute(request, {}, &failure);
  json answer = {{"client", request.client},
                 {"partner", request.partner},
                 {"class", request.priority_class},
                 {"home", request.home},
                 {"residency", request.residency},
                 {"home_only", view.home_only},
                 {"config_version", view.version.number}};
  if (choice) {
    const AttemptPlace place = choice->Place();
    const routing::Rejections& left_out = choice->decision.breakdown.rejections;
    const auto first_token =
        std::chrono::duration_cast<std::chrono::milliseconds>(choice->decision.first_token);
    answer["route"] = {{"to", place.served_by},  {"kind", place.is_zone ? "zone" : "upstream"},
                       {"region", place.region}, {"first_token_ms", first_token.count()},
                       {"cost", place.cost},     {"terms", place.route_reason}};
    answer["left_out"] = {{"residency", left_out.residency},     {"loop", left_out.loop},
                          {"unreachable", left_out.unreachable}, {"not_served", left_out.not_served},
                          {"leaving", left_out.leaving},         {"ejected", left_out.ejected},
                          {"excluded", left_out.excluded},       {"share", left_out.share}};
  } else {
    answer["refusal"] = {{"code", failure.code}, {"detail", failure.detail}, {"outcome", "not-run"}};
  }
  return JsonResponse(answer);
}

}  // namespace cornelplank::gateway
