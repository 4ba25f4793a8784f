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

std::optional<Work> Refuse(Failure* failure, int status, std::string code, std::string detail) {
  *failure = {status, std::move(code), std::move(detail), base::Outcome::kNotRun, milliseconds{0}, true};
  return std::nullopt;
}

std::optional<milliseconds> ReadTimeout(const Core& core, const http::Request& request,
                                        milliseconds class_deadline) {
  const std::string_view text = http::HeaderValue(request.headers, "Request-Timeout-Ms");
  if (text.empty()) return class_deadline.count() > 0 ? class_deadline : core.settings.default_timeout;
  int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value <= 0) return std::nullopt;
  return std::min(milliseconds{value}, core.settings.max_timeout);
}

/// Splits /v1/services/NAME/PATH. False when there is no name.
bool ReadServicePath(const http::Request& request, Work* work) {
  const std::string rest = request.path.substr(kServices.size());
  const size_t slash = rest.find('/');
  work->target = rest.substr(0, slash);
  work->path = slash == std::string::npos ? "/" : rest.substr(slash);
  return !work->target.empty();
}

bool ReadTarget(const http::Request& request, const config::Document& document, Work* work,
                Failure* failure) {
  if (work->kind == rpc::ForwardKind::kCompletion) {
    if (ReadPrompt(work->body, work)) return true;
    Refuse(failure, 400, "invalid-request", "the body must be a JSON object with a model and messages");
    return false;
  }
  if (work->kind == rpc::ForwardKind::kServiceCall && !ReadServicePath(request, work)) {
    Refuse(failure, 404, "unknown-path", "the path must be /v1/services/NAME/PATH");
    return false;
  }
  const auto service = document.services.find(work->target);
  if (service == document.services.end()) {
    Refuse(failure, 404, "unknown-service", "there is no service of this name");
    return false;
  }
  const auto& methods = service->second.idempotent_methods;
  work->idempotent = std::find(methods.begin(), methods.end(), work->method) != methods.end();
  return true;
}

}  // namespace

bool ResolveClass(const config::Document& document, Work* work) {
  const auto partner = document.partners.find(work->partner);
  if (partner == document.partners.end()) return false;
  const auto found = partner->second.classes.find(work->priority_class);
  if (found == partner->second.classes.end()) return false;
  work->priority = found->second.priority;
  work->hedge = found->second.hedge;
  work->may_wait = found->second.may_wait;
  return true;
}

std::optional<Work> ReadRequest(Core* core, const http::Request& request, Failure* failure) {
  const NodeView view = core->View();
  if (!view.document) {
    Refuse(failure, 503, "no-configuration", "this VM has not yet learned a configuration");
    failure->retry_after = milliseconds{1000};
    return std::nullopt;
  }
  const std::string_view authorization = http::HeaderValue(request.headers, "Authorization");
  const auto client = authorization.starts_with(kBearer)
                          ? core->clients.Authenticate(authorization.substr(kBearer.size()))
                          : std::nullopt;
  if (!client) return Refuse(failure, 401, "unknown-client", "the bearer key is missing or unknown");
  Work work;
  work.request_id = core->NewRequestId();
  work.client = client->id;
  work.partner = client->partner;
  work.residency = client->residency;
  work.method = request.method;
  work.body = request.body;
  work.config_seq = view.version.seq;
  const std::string_view home = http::HeaderValue(request.headers, "Data-Home");
  work.home = home.empty() ? client->home : std::string(home);
  const auto rule = view.document->residency.find(work.residency);
  const bool permitted =
      work.home == client->home ||
      (rule != view.document->residency.end() && routing::IsAllowed(rule->second, client->home, work.home));
  if (!permitted) {
    return Refuse(failure, 403, "home-not-allowed", "the client's residency rule does not allow this home");
  }
  if (!view.document->regions.contains(work.home)) {
    return Refuse(failure, 400, "unknown-region", "the home of the data is no region of the configuration");
  }
  const std::string_view wanted = http::HeaderValue(request.headers, "Priority-Class");
  const auto& classes = client->classes;
  if (!wanted.empty() && std::find(classes.begin(), classes.end(), wanted) == classes.end()) {
    return Refuse(failure, 403, "class-not-allowed", "the client may not use this priority class");
  }
  work.priority_class = wanted.empty() ? (classes.empty() ? "" : classes.front()) : std::string(wanted);
  if (!ResolveClass(*view.document, &work)) {
    return Refuse(failure, 403, "class-not-allowed", "the partner has no such priority class");
  }
  const auto& terms = view.document->partners.at(work.partner).classes.at(work.priority_class);
  const auto timeout = ReadTimeout(*core, request, terms.deadline);
  if (!timeout) {
    return Refuse(failure, 400, "invalid-request", "Request-Timeout-Ms must be a positive number");
  }
  work.deadline = core->clock.Now() + *timeout;
  if (request.path.starts_with(kServices)) work.kind = rpc::ForwardKind::kServiceCall;
  if (request.path == "/v1/tickets") work.kind = rpc::ForwardKind::kMintTicket;
  if (work.kind == rpc::ForwardKind::kServiceCall) {
    work.ticket = http::HeaderValue(request.headers, "Idempotency-Key");
    const std::string_view type = http::HeaderValue(request.headers, "Content-Type");
    if (!type.empty()) work.headers.emplace_back("Content-Type", type);
  }
  size_t header_bytes = 0;
  for (const auto& [name, value] : request.headers) header_bytes += name.size() + value.size();
  if (header_bytes > kMaxHeaderBytes) {
    return Refuse(failure, 431, "headers-too-long", "the headers are too long");
  }
  if (work.kind != rpc::ForwardKind::kMintTicket && !ReadTarget(request, *view.document, &work, failure)) {
    return std::nullopt;
  }
  return work;
}

}  // namespace cornelplank::gateway
