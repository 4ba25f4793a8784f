#include "standins/platform/platform_app.h"

#include <algorithm>
#include <map>

#include "standins/common/reply.h"

namespace cornelplank::standins::platform {
namespace {

using nlohmann::json;

// Upper limit for the time that a reader asks a watch to wait.
constexpr std::chrono::milliseconds kMaxWatchWait{30000};
constexpr std::string_view kWeightsPathPrefix = "/v1/weights/";

/// Returns no value for paths that are no reader's endpoint.
std::optional<Endpoint> EndpointOf(const std::string& path) {
  static const std::map<std::string, Endpoint> kPaths = {{"/v1/config/snapshot", Endpoint::kSnapshot},
                                                         {"/v1/config/log", Endpoint::kLog},
                                                         {"/v1/vms", Endpoint::kVms},
                                                         {"/v1/clients", Endpoint::kClients}};
  if (path.starts_with(kWeightsPathPrefix)) return Endpoint::kWeights;
  const auto found = kPaths.find(path);
  if (found == kPaths.end()) return std::nullopt;
  return found->second;
}

http::Response MakeProblemReply(const PlatformReason& reason) {
  switch (reason.code) {
    case PlatformCode::kNoJson:
      return ProblemReply(400, "no-json", reason.detail, "not-run");
    case PlatformCode::kTooLong:
      return ProblemReply(413, "too-long", reason.detail, "not-run");
    case PlatformCode::kInvalid:
      return ProblemReply(400, "invalid", reason.detail, "not-run");
    case PlatformCode::kGone:
      return ProblemReply(410, "gone", reason.detail, "not-run");
    case PlatformCode::kNotFound:
      return ProblemReply(404, "not-found", reason.detail, "not-run");
  }
  return ProblemReply(500, "internal", reason.detail, "unknown");
}

http::Response RateExceeded(const std::string& detail) {
  http::Response response = ProblemReply(429, "rate", detail, "not-run");
  response.headers.emplace("Retry-After", "1");
  return response;
}

http::Response Unavailable() {
  return ProblemReply(503, "unavailable", "the platform is down by a switch", "not-run");
}

}  // namespace

PlatformApp::PlatformApp(const PlatformOptions& options) : core_(options) {}

void PlatformApp::Stop() {
  const Lock lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
}

bool PlatformApp::Publish(const std::string& operator_path, const std::string& text, std::string* problem) {
  const http::Response response = HandleOperatorRequest(operator_path, text);
  if (response.status == 200) return true;
  const auto body = ParseObject(response.body);
  if (body) *problem = MemberText(*body, "detail");
  return false;
}

http::Response PlatformApp::Handle(const http::Request& request) {
  if (const auto endpoint = EndpointOf(request.path)) return HandleRead(*endpoint, request);
  if (request.path.starts_with("/operator/") && request.method == "POST") {
    return HandleOperatorRequest(request.path, request.body);
  }
  if (request.path == "/standin/mode" && request.method == "POST") return SetMode(request);
  if (request.path == "/standin/calls") return ListCalls();
  return ProblemReply(404, "unknown-path", "there is no such path", "not-run");
}

http::Response PlatformApp::HandleRead(Endpoint endpoint, const http::Request& request) {
  if (request.method != "GET") return ProblemReply(405, "read-only", "only reads are served", "not-run");
  Lock lock(mutex_);
  if (!core_.AdmitRead(endpoint, clock_.Now())) {
    return RateExceeded("the read rate is exceeded");
  }
  if (core_.mode(endpoint) == Mode::kNoAnswer) {
    changed_.wait(lock, [&] { return stopping_ || core_.mode(endpoint) != Mode::kNoAnswer; });
  }
  if (stopping_ || core_.mode(endpoint) == Mode::kUnavailable) return Unavailable();
  const PublishedState& visible = core_.VisibleState(endpoint);
  PlatformReason reason;
  switch (endpoint) {
    case Endpoint::kSnapshot: {
      auto snapshot = visible.config.Snapshot(&reason);
      return snapshot ? JsonTextReply(200, std::move(*snapshot)) : MakeProblemReply(reason);
    }
    case Endpoint::kLog:
      return ReadLog(lock, request);
    case Endpoint::kVms:
      return JsonTextReply(200, visible.vms.VisibleAt(clock_.Now()));
    case Endpoint::kClients:
      return JsonTextReply(200, visible.clients.Since(QueryNumber(request, "since", 0)));
    case Endpoint::kWeights:
      return ReadWeights(request);
  }
  return Unavailable();
}

http::Response PlatformApp::ReadLog(Lock& lock, const http::Request& request) {
  const uint64_t after = QueryNumber(request, "after", 0);
  const std::chrono::milliseconds wait{
      std::min<uint64_t>(QueryNumber(request, "wait_ms", 0), kMaxWatchWait.count())};
  CallCounters& calls = core_.calls(Endpoint::kLog);
  ++calls.pending;
  changed_.wait_for(lock, wait, [&] {
    const Mode mode = core_.mode(Endpoint::kLog);
    return stopping_ || mode == Mode::kUnavailable ||
           (mode != Mode::kNoAnswer && core_.VisibleState(Endpoint::kLog).config.head() > after);
  });
  // When kNoAnswer mode begins during a watch, the watch gets no answer either.
  changed_.wait(lock, [&] { return stopping_ || core_.mode(Endpoint::kLog) != Mode::kNoAnswer; });
  --calls.pending;
  if (stopping_ || core_.mode(Endpoint::kLog) == Mode::kUnavailable) return Unavailable();
  PlatformReason reason;
  auto log = core_.VisibleState(Endpoint::kLog).config.LogAfter(after, &reason);
  return log ? JsonTextReply(200, std::move(*log)) : MakeProblemReply(reason);
}

http::Response PlatformApp::ReadWeights(const http::Request& request) {
  const std::string_view name = std::string_view(request.path).substr(kWeightsPathPrefix.size());
  const size_t slash = name.find('/');
  if (slash == std::string_view::npos) {
    return ProblemReply(404, "unknown-path", "expected /v1/weights/MODEL/VERSION", "not-run");
  }
  const auto wanted = static_cast<double>(QueryNumber(request, "bytes", 1 << 20));
  const double granted = core_.GrantWeights(wanted, clock_.Now());
  if (granted < 1) {
    return RateExceeded("the weight store's rate is used up");
  }
  return JsonReply(200, {{"model", name.substr(0, slash)},
                         {"version", name.substr(slash + 1)},
                         {"size_bytes", static_cast<uint64_t>(core_.model_bytes())},
                         {"granted_bytes", static_cast<uint64_t>(granted)}});
}

http::Response PlatformApp::HandleOperatorRequest(const std::string& path, const std::string& body) {
  const Lock lock(mutex_);
  PublishedState& live = core_.live();
  PlatformReason reason{PlatformCode::kNotFound, "there is no such path"};
  json answer;
  if (path == "/operator/config/log") {
    if (const auto seq = live.config.Append(body, &reason)) answer = {{"seq", *seq}};
  } else if (path == "/operator/config/snapshot") {
    if (live.config.SetSnapshot(body, &reason)) answer = {{"head_seq", live.config.head()}};
  } else if (path == "/operator/config/trim") {
    const auto trim = ParseObject(body);
    if (trim && trim->contains("oldest")) {
      live.config.Trim(MemberNumber(*trim, "oldest", 0));
      answer = {{"head_seq", live.config.head()}};
    } else {
      reason = {PlatformCode::kInvalid, "there is no number \"oldest\""};
    }
  } else if (path == "/operator/vms") {
    if (live.vms.Publish(body, clock_.Now(), &reason)) answer = {{"status", "published"}};
  } else if (path == "/operator/clients") {
    if (const auto revision = live.clients.Update(body, &reason)) answer = {{"revision", *revision}};
  }
  changed_.notify_all();
  return answer.is_null() ? MakeProblemReply(reason) : JsonReply(200, answer);
}

http::Response PlatformApp::SetMode(const http::Request& request) {
  static const std::map<std::string, Mode> kModes = {{"ok", Mode::kOk},
                                                     {"unavailable", Mode::kUnavailable},
                                                     {"no-answer", Mode::kNoAnswer},
                                                     {"stale", Mode::kStale}};
  const auto body = ParseObject(request.body);
  if (!body) return ProblemReply(400, "no-json", "the body is no JSON object", "not-run");
  const auto mode = kModes.find(MemberText(*body, "mode"));
  if (mode == kModes.end()) return ProblemReply(400, "invalid", "the mode is unknown", "not-run");
  std::optional<uint64_t> seq;
  if (body->contains("seq")) seq = MemberNumber(*body, "seq", 0);
  const std::string wanted = MemberText(*body, "endpoint");
  json changed = json::array();
  const Lock lock(mutex_);
  for (const Endpoint endpoint : kEndpoints) {
    if (!wanted.empty() && wanted != "all" && wanted != EndpointName(endpoint)) continue;
    core_.SetMode(endpoint, mode->second, seq);
    changed.push_back(EndpointName(endpoint));
  }
  changed_.notify_all();
  if (changed.empty()) return ProblemReply(400, "invalid", "the endpoint is unknown", "not-run");
  return JsonReply(200, {{"mode", mode->first}, {"endpoints", changed}});
}

http::Response PlatformApp::ListCalls() {
  const Lock lock(mutex_);
  json answer = json::object();
  for (const Endpoint endpoint : kEndpoints) {
    const CallCounters& calls = core_.calls(endpoint);
    answer[std::string(EndpointName(endpoint))] = {
        {"calls", calls.calls}, {"refused", calls.refused}, {"pending", calls.pending}};
  }
  return JsonReply(200, answer);
}

}  // namespace cornelplank::standins::platform
