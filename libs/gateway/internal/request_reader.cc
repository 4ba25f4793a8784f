#include "libs/gateway/internal/request_reader.h"

#include <algorithm>
#include <charconv>

#include "libs/gateway/internal/prompt.h"

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kServices = "/v1/services/";
constexpr size_t kMaxHeaderBytes = 8192;

/// Sets `failure`, with the outcome `not-run`, and returns nothing.
std::optional<GatewayRequest> Refuse(Failure* failure, int status, std::string code, std::string detail) {
  *failure = {status, std::move(code), std::move(detail), base::Outcome::kNotRun, milliseconds{0}, true};
  return std::nullopt;
}

/// Returns the time that the request may take, or nothing when its header is invalid.
std::optional<milliseconds> ReadTimeout(const SharedState& shared, const http::Request& http_request,
                                        milliseconds class_deadline) {
  const std::string_view text = http::HeaderValue(http_request.headers, "Request-Timeout-Ms");
  if (text.empty()) return class_deadline.count() > 0 ? class_deadline : shared.settings.default_timeout;
  int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value <= 0) return std::nullopt;
  return std::min(milliseconds{value}, shared.settings.max_timeout);
}

/// Splits /v1/services/NAME/PATH. Returns false when there is no name.
bool ReadServicePath(const http::Request& http_request, GatewayRequest* request) {
  const std::string rest = http_request.path.substr(kServices.size());
  const size_t slash = rest.find('/');
  request->target = rest.substr(0, slash);
  request->path = slash == std::string::npos ? "/" : rest.substr(slash);
  return !request->target.empty();
}

/// Reads the model or service that is asked for, and whether the call is idempotent. Returns false and sets
/// `failure` when it is invalid or unknown.
bool ReadTarget(const http::Request& http_request, const config::Document& document, GatewayRequest* request,
                Failure* failure) {
  if (request->kind == rpc::ForwardKind::kCompletion) {
    if (ParsePrompt(request->body, request)) return true;
    Refuse(failure, 400, "invalid-request", "the body must be a JSON object with a model and messages");
    return false;
  }
  if (request->kind == rpc::ForwardKind::kServiceCall && !ReadServicePath(http_request, request)) {
    Refuse(failure, 404, "unknown-path", "the path must be /v1/services/NAME/PATH");
    return false;
  }
  const auto service = document.services.find(request->target);
  if (service == document.services.end()) {
    Refuse(failure, 404, "unknown-service", "there is no service of this name");
    return false;
  }
  const auto& methods = service->second.idempotent_methods;
  request->idempotent = std::find(methods.begin(), methods.end(), request->method) != methods.end();
  return true;
}

}  // namespace

bool ResolveClass(const config::Document& document, GatewayRequest* request) {
  const auto partner = document.partners.find(request->partner);
  if (partner == document.partners.end()) return false;
  const auto found = partner->second.classes.find(request->priority_class);
  if (found == partner->second.classes.end()) return false;
  request->priority = found->second.priority;
  request->hedge = found->second.hedge;
  request->may_wait = found->second.may_wait;
  return true;
}

std::optional<GatewayRequest> ReadRequest(SharedState* shared, const http::Request& http_request,
                                          Failure* failure) {
  const ServingView view = shared->View();
  if (!view.document) {
    Refuse(failure, 503, "no-configuration", "this VM has not yet learned a configuration");
    failure->retry_after = milliseconds{1000};
    return std::nullopt;
  }
  const std::string_view authorization = http::HeaderValue(http_request.headers, "Authorization");
  const auto client = authorization.starts_with(kBearer)
                          ? shared->clients.Authenticate(authorization.substr(kBearer.size()))
                          : std::nullopt;
  if (!client) return Refuse(failure, 401, "unknown-client", "the bearer key is missing or unknown");
  GatewayRequest request;
  request.request_id = shared->NewRequestId();
  request.client = client->id;
  request.partner = client->partner;
  request.residency = client->residency;
  request.method = http_request.method;
  request.body = http_request.body;
  request.config_seq = view.version.seq;
  const std::string_view home = http::HeaderValue(http_request.headers, "Data-Home");
  request.home = home.empty() ? client->home : std::string(home);
  const auto rule = view.document->residency.find(request.residency);
  const bool permitted =
      request.home == client->home || (rule != view.document->residency.end() &&
                                       routing::IsAllowed(rule->second, client->home, request.home));
  if (!permitted) {
    return Refuse(failure, 403, "home-not-allowed", "the client's residency rule does not allow this home");
  }
  if (!view.document->regions.contains(request.home)) {
    return Refuse(failure, 400, "unknown-region", "the home of the data is no region of the configuration");
  }
  const std::string_view wanted = http::HeaderValue(http_request.headers, "Priority-Class");
  const auto& classes = client->classes;
  if (!wanted.empty() && std::find(classes.begin(), classes.end(), wanted) == classes.end()) {
    return Refuse(failure, 403, "class-not-allowed", "the client may not use this priority class");
  }
  request.priority_class = wanted.empty() ? (classes.empty() ? "" : classes.front()) : std::string(wanted);
  if (!ResolveClass(*view.document, &request)) {
    return Refuse(failure, 403, "class-not-allowed", "the partner has no such priority class");
  }
  const auto& class_config = view.document->partners.at(request.partner).classes.at(request.priority_class);
  const auto timeout = ReadTimeout(*shared, http_request, class_config.deadline);
  if (!timeout) {
    return Refuse(failure, 400, "invalid-request", "Request-Timeout-Ms must be a positive number");
  }
  const base::TimePoint now = shared->clock.Now();
  request.deadline = std::min(now + *timeout, shared->drain.LastAnswer());
  if (http_request.path.starts_with(kServices)) request.kind = rpc::ForwardKind::kServiceCall;
  if (http_request.path == "/v1/tickets") request.kind = rpc::ForwardKind::kMintTicket;
  if (request.kind == rpc::ForwardKind::kServiceCall) {
    request.ticket = http::HeaderValue(http_request.headers, "Idempotency-Key");
    const std::string_view type = http::HeaderValue(http_request.headers, "Content-Type");
    if (!type.empty()) request.headers.emplace_back("Content-Type", type);
  }
  // A call with a ticket may run already, as its client may have sent it before, so it can't be refused as
  // not run. Its owner decides, which may be this VM.
  if (request.ticket.empty() && shared->drain.Refuses(now)) {
    Refuse(failure, 503, "entry-leaving", "this VM is shutting down; another one serves the request");
    failure->client_error = false;
    return std::nullopt;
  }
  size_t header_bytes = 0;
  for (const auto& [name, value] : http_request.headers) header_bytes += name.size() + value.size();
  if (header_bytes > kMaxHeaderBytes) {
    return Refuse(failure, 431, "headers-too-long", "the headers are too long");
  }
  if (request.kind != rpc::ForwardKind::kMintTicket &&
      !ReadTarget(http_request, *view.document, &request, failure)) {
    return std::nullopt;
  }
  return request;
}

}  // namespace cornelplank::gateway
