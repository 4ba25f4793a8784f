#include "standins/engine/engine_app.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "standins/common/reply.h"
#include "standins/engine/core/tokens.h"
#include "standins/engine/token_stream.h"

namespace cornelplank::standins::engine {
namespace {

using nlohmann::json;

constexpr std::string_view kRequests = "/v1/requests/";
constexpr std::string_view kKv = "/kv/";
constexpr unsigned kDefaultPriority = 4;
constexpr unsigned kLowestPriority = 7;
constexpr uint64_t kDefaultMaxTokens = 64;
constexpr auto kMaxClockSleep = std::chrono::milliseconds{500};

// Returns the urgency of an RFC 9218 Priority header, "u=N"; kDefaultPriority if it is absent or invalid.
unsigned Urgency(std::string_view header) {
  const size_t at = header.find("u=");
  if (at == std::string_view::npos || at + 2 >= header.size()) return kDefaultPriority;
  const unsigned digit = static_cast<unsigned>(header[at + 2]) - '0';
  return digit <= kLowestPriority ? digit : kDefaultPriority;
}

// Returns the current time in milliseconds, followed by 20 random bits, so that a restarted engine has a
// higher number.
uint64_t NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
  return (static_cast<uint64_t>(milliseconds) << 20) | (base::EntropySeed() >> 44);
}

EngineRequest ParseChat(const http::Request& request, const json& body, base::TimePoint now) {
  EngineRequest parsed;
  parsed.id = http::HeaderValue(request.headers, "Request-Id");
  parsed.model = MemberText(body, "model");
  parsed.prompt = PromptText(body);
  parsed.priority = Urgency(http::HeaderValue(request.headers, "Priority"));
  parsed.seed = MemberNumber(body, "seed", 0);
  parsed.max_tokens = MemberNumber(body, "max_tokens", kDefaultMaxTokens);
  parsed.resume_tokens = MemberNumber(body, "resume_tokens", 0);
  const auto stream = body.find("stream");
  parsed.streamed = stream != body.end() && stream->is_boolean() && stream->get<bool>();
  const uint64_t timeout = ParseNumberOr(http::HeaderValue(request.headers, "Request-Timeout-Ms"), 0);
  if (timeout > 0) parsed.deadline = now + std::chrono::milliseconds{timeout};
  return parsed;
}

}  // namespace

EngineApp::EngineApp(EngineOptions options, uint64_t kv_bytes_per_token)
    : incarnation_(NewIncarnation()),
      kv_bytes_per_token_(kv_bytes_per_token),
      core_(std::move(options), clock_.Now()),
      clock_thread_([this] { RunClock(); }) {}

EngineApp::~EngineApp() {
  Stop();
  clock_thread_.join();
}

void EngineApp::RunClock() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    core_.AdvanceTo(clock_.Now());
    if (core_.crashed()) std::_Exit(3);  // "die-after-tokens": exits without an orderly close
    changed_.notify_all();
    const auto next = core_.NextEvent();
    const base::Duration sleep = next ? *next - clock_.Now() : base::Duration{kMaxClockSleep};
    changed_.wait_for(lock, std::clamp<base::Duration>(sleep, base::Duration{0}, kMaxClockSleep));
  }
}

void EngineApp::Leave() {
  WithCore([](EngineCore& core, base::TimePoint now) {
    core.Leave(now);
    return true;
  });
}

void EngineApp::Stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
}

http::Response EngineApp::Handle(const http::Request& request) {
  const std::string_view path = request.path;
  if (path == "/v1/chat/completions" && request.method == "POST") return HandleChat(request);
  if (path.starts_with(kRequests) && request.method == "DELETE") {
    return CancelRequest(std::string(path.substr(kRequests.size())));
  }
  if (path == "/load") return LoadReply();
  if (path == "/cache-events") return CacheEventsReply(request);
  if (path.starts_with(kKv)) return HandleKv(request, std::string(path.substr(kKv.size())));
  if (path == "/orders") return request.method == "POST" ? SubmitOrder(request) : ListOrders();
  if (path.starts_with("/standin/")) return HandleControl(request);
  return ProblemReply(404, "unknown-path", "there is no such path", "not-run");
}

http::Response EngineApp::HandleControl(const http::Request& request) {
  if (request.path == "/standin/log") return LogReply();
  if (request.path == "/standin/fault" && request.method == "POST") return SetFault(request);
  if (request.path == "/standin/leave" && request.method == "POST") {
    Leave();
    return JsonReply(200, {{"state", "leaving"}});
  }
  return ProblemReply(404, "unknown-path", "there is no such path", "not-run");
}

void EngineApp::AddLoadHeader(http::Response& response, uint64_t cached_tokens) {
  response.headers["Engine-Load"] =
      "running=" + std::to_string(core_.running()) + ", queued=" + std::to_string(core_.queued()) +
      ", slots=" + std::to_string(core_.options().slots) + ", cached=" + std::to_string(cached_tokens);
}

http::Response EngineApp::RefusalReply(const base::Reason<RefusalCode>& reason) {
  http::Response response;
  switch (reason.code) {
    case RefusalCode::kLeaving:
      response = ProblemReply(503, "leaving", reason.detail, "not-run");
      response.headers["Engine-State"] = "leaving";
      break;
    case RefusalCode::kRejected:
      response = ProblemReply(503, "rejected", reason.detail, "not-run");
      break;
    case RefusalCode::kUnknownModel:
      response = ProblemReply(404, "unknown-model", reason.detail, "not-run");
      break;
    case RefusalCode::kQueueFull:
      response = ProblemReply(503, "queue-full", reason.detail, "not-run");
      response.headers["Retry-After"] = "1";
      break;
  }
  AddLoadHeader(response, 0);
  return response;
}

http::Response EngineApp::HandleChat(const http::Request& request) {
  const auto body = ParseObject(request.body);
  if (!body) return ProblemReply(400, "invalid-body", "the body is no JSON object", "not-run");
  std::unique_lock<std::mutex> lock(mutex_);
  EngineRequest parsed = ParseChat(request, *body, clock_.Now());
  const uint64_t seed = parsed.seed;
  base::Reason<RefusalCode> reason;
  const auto handle = core_.Submit(std::move(parsed), clock_.Now(), &reason);
  if (!handle) return RefusalReply(reason);
  changed_.notify_all();
  const bool streamed = core_.RequestOf(*handle).streamed;
  // The headers of a stream are sent when the request leaves the queue, those of a complete answer at its
  // end.
  changed_.wait(lock, [&] {
    const RequestState state = core_.Progress(*handle).state;
    return stopping_ || (state != RequestState::kQueued && (streamed || state != RequestState::kRunning));
  });
  return BuildAnswer(*handle, seed);
}

http::Response EngineApp::BuildAnswer(uint64_t handle, uint64_t answer_seed) {
  const RequestProgress view = core_.Progress(handle);
  const EngineRequest request = core_.RequestOf(handle);
  const uint64_t prompt_hash = PromptHash(request.prompt);
  const bool completed = view.state == RequestState::kFinished;
  http::Response response;
  if (request.streamed && (view.state == RequestState::kRunning || completed)) {
    response.headers["Content-Type"] = "text/event-stream";
    response.stream = std::make_unique<TokenStream>(*this, handle, request, prompt_hash);
    AddLoadHeader(response, view.cached_tokens);
    return response;
  }
  if (completed) {
    std::string content;
    const uint64_t first = std::min(request.resume_tokens, request.max_tokens);
    for (uint64_t index = first; index < request.max_tokens; ++index) {
      content += TokenText(prompt_hash, answer_seed, index);
    }
    const uint64_t prompt_tokens = PromptTokens(request.prompt);
    response =
        JsonReply(200, {{"id", request.id},
                        {"object", "chat.completion"},
                        {"model", request.model},
                        {"choices", json::array({{{"index", 0},
                                                  {"message", {{"role", "assistant"}, {"content", content}}},
                                                  {"finish_reason", "stop"}}})},
                        {"usage",
                         {{"prompt_tokens", prompt_tokens},
                          {"completion_tokens", request.max_tokens},
                          {"total_tokens", prompt_tokens + request.max_tokens}}}});
  } else {
    const std::string outcome = view.started ? "ran" : "not-run";
    const bool timed_out = view.state == RequestState::kTimedOut;
    response = ProblemReply(timed_out ? 504 : 499, timed_out ? "deadline" : "cancelled",
                            "the request ended before its answer", outcome);
  }
  AddLoadHeader(response, view.cached_tokens);
  core_.Close(handle, completed, clock_.Now());
  return response;
}

http::Response EngineApp::CancelRequest(const std::string& id) {
  const size_t count = WithCore([&](EngineCore& core, base::TimePoint now) { return core.Cancel(id, now); });
  if (count == 0) return ProblemReply(404, "unknown-request", "no such request is in progress", "not-run");
  return JsonReply(200, {{"cancelled", count}});
}

http::Response EngineApp::LoadReply() {
  return WithCore([&](EngineCore& core, base::TimePoint now) {
    core.AdvanceTo(now);
    const EngineLoadReport report = core.VisibleReport(now);
    json models = json::array();
    for (const ModelVersion& model : report.models) {
      models.push_back({{"model", model.model}, {"version", model.version}});
    }
    const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(core.options().report_lag);
    return JsonReply(200, {{"engine", core.options().name},
                           {"incarnation", incarnation_},
                           {"state", report.state},
                           {"slots", core.options().slots},
                           {"running", report.running},
                           {"queued", report.queued},
                           {"models", models},
                           {"age_ms", lag.count()}});
  });
}

http::Response EngineApp::CacheEventsReply(const http::Request& request) {
  const uint64_t after = QueryNumber(request, "after", 0);
  return WithCore([&](EngineCore& core, base::TimePoint now) {
    core.AdvanceTo(now);
    json events = json::array();
    for (const BlockCacheEvent& event : core.CacheEventsAfter(after, now)) {
      events.push_back({{"seq", event.seq},
                        {"op", event.added ? "add" : "evict"},
                        {"prefix", PrefixName(event.prefix)},
                        {"tokens", event.tokens}});
    }
    return JsonReply(200, {{"events", events}});
  });
}

http::Response EngineApp::SubmitOrder(const http::Request& request) {
  const auto body = ParseObject(request.body);
  if (!body) return ProblemReply(400, "invalid-body", "the body is no JSON object", "not-run");
  const ReceivedOrder order{MemberText(*body, "order_id"), MemberNumber(*body, "fence", 0),
                            MemberText(*body, "orderer"),  MemberText(*body, "action"),
                            MemberText(*body, "model"),    MemberText(*body, "version"),
                            MemberText(*body, "role")};
  return WithCore([&](EngineCore& core, base::TimePoint now) {
    base::Reason<OrderRefusal> reason;
    const auto status = core.SubmitOrder(order, now, &reason);
    if (status) return JsonReply(200, {{"status", *status}});
    const int code = reason.code == OrderRefusal::kOldFence  ? 409
                     : reason.code == OrderRefusal::kOrderer ? 403
                                                             : 400;
    const char* name = code == 409 ? "old-fence" : code == 403 ? "orderer" : "invalid-order";
    return ProblemReply(code, name, reason.detail, "not-run");
  });
}

http::Response EngineApp::ListOrders() {
  return WithCore([&](EngineCore& core, base::TimePoint now) {
    core.AdvanceTo(now);
    json orders = json::array();
    for (const OrderRecord& record : core.orders().records()) {
      orders.push_back({{"order_id", record.order.id},
                        {"fence", record.order.fence},
                        {"orderer", record.order.orderer},
                        {"action", record.order.action},
                        {"model", record.order.model},
                        {"version", record.order.version},
                        {"role", record.order.role},
                        {"status", record.status},
                        {"times", record.times}});
    }
    return JsonReply(200,
                     {{"fence", core.orders().fence()}, {"role", core.orders().role()}, {"orders", orders}});
  });
}

}  // namespace cornelplank::standins::engine
