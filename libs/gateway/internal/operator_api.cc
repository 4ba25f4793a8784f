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

bool SameToken(std::string_view given, const std::string& token) {
  constexpr std::string_view kBearer = "Bearer ";
  if (!given.starts_with(kBearer)) return false;
  given.remove_prefix(kBearer.size());
  return given.size() == token.size() && CRYPTO_memcmp(given.data(), token.data(), token.size()) == 0;
}

std::string Query(const http::Request& request, const char* key) {
  const auto found = request.query.find(key);
  return found == request.query.end() ? "" : found->second;
}

}  // namespace

http::Response OperatorApi::Handle(const http::Request& request) const {
  if (!SameToken(http::HeaderValue(request.headers, "Authorization"), core_->settings.operators_token)) {
    return FailureResponse(
        {401, "unknown-operator", "the token is missing or wrong", base::Outcome::kNotRun});
  }
  if (request.method == "GET" && request.path == "/status") return JsonResponse(DumpStatus(core_));
  if (request.method == "GET" && request.path == "/dump") return Dump();
  if (request.method == "GET" && request.path == "/explain") return Explain(request);
  if (request.method == "GET" && request.path == "/metrics") {
    http::Response response;
    response.headers["Content-Type"] = "text/plain; version=0.0.4";
    response.body = core_->metrics.Text();
    return response;
  }
  return FailureResponse({404, "unknown-path", "there is no such path or method", base::Outcome::kNotRun});
}

http::Response OperatorApi::Dump() const {
  return JsonResponse({{"status", DumpStatus(core_)},
                       {"config", DumpConfig(core_)},
                       {"vms", DumpVms(core_)},
                       {"replicas", DumpReplicas(core_)},
                       {"admission", DumpAdmission(core_)},
                       {"tickets", DumpTickets(core_)},
                       {"retries", DumpRetries(core_)},
                       {"orders", {{"pending", poller_->pending_orders()}}}});
}

/// Asks the router where a request would go now; nothing is sent.
http::Response OperatorApi::Explain(const http::Request& request) const {
  const NodeView view = core_->View();
  if (!view.document) {
    return FailureResponse({503, "no-configuration", "this VM has no configuration", base::Outcome::kNotRun});
  }
  Work work;
  work.client = Query(request, "client");
  const auto client = core_->clients.Find(work.client);
  if (!client) {
    return FailureResponse({404, "unknown-client", "there is no such client", base::Outcome::kNotRun});
  }
  work.partner = client->partner;
  work.residency = client->residency;
  work.priority_class = Query(request, "class");
  if (work.priority_class.empty() && !client->classes.empty()) work.priority_class = client->classes.front();
  work.home = Query(request, "home").empty() ? client->home : Query(request, "home");
  const std::string service = Query(request, "service");
  work.kind = service.empty() ? rpc::ForwardKind::kCompletion : rpc::ForwardKind::kServiceCall;
  work.target = service.empty() ? Query(request, "model") : service;
  const bool known_class = ResolveClass(*view.document, &work);
  if (!known_class) {
    return FailureResponse(
        {404, "class-not-allowed", "the partner has no such class", base::Outcome::kNotRun});
  }
  work.may_wait = false;  // the answer is wanted now
  work.prompt_tokens = work.output_tokens = 232;
  work.deadline = core_->clock.Now() + core_->settings.default_timeout;
  Failure failure;
  const auto choice = dispatcher_->Choose(work, {}, &failure);
  json answer = {{"client", work.client},
                 {"partner", work.partner},
                 {"class", work.priority_class},
                 {"home", work.home},
                 {"residency", work.residency},
                 {"home_only", view.home_only},
                 {"config_version", view.version.number}};
  if (choice) {
    const AttemptPlace place = choice->Place();
    const routing::Rejections& left_out = choice->decision.breakdown.rejections;
    const auto first_token =
        std::chrono::duration_cast<std::chrono::milliseconds>(choice->decision.first_token);
    answer["route"] = {{"to", place.served_by},  {"kind", place.is_zone ? "zone" : "upstream"},
                       {"region", place.region}, {"first_token_ms", first_token.count()},
                       {"cost", place.cost},     {"terms", place.reason}};
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
