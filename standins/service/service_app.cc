#include "standins/service/service_app.h"

#include <algorithm>
#include <map>
#include <utility>

#include "standins/common/reply.h"

namespace cornelplank::standins::service {
namespace {

using nlohmann::json;

// A response body that sends one byte and then breaks the connection.
class BrokenBody final : public http::BodySource {
 public:
  std::optional<size_t> Read(char* buffer, size_t capacity) override {
    if (std::exchange(started_, true) || capacity == 0) return std::nullopt;
    *buffer = '{';
    return 1;
  }

 private:
  bool started_ = false;
};

http::Response BrokenReply() {
  http::Response response;
  response.headers["Content-Type"] = "application/json";
  response.stream = std::make_unique<BrokenBody>();
  return response;
}

}  // namespace

ServiceApp::ServiceApp(std::string name, std::string region, std::chrono::milliseconds delay)
    : name_(std::move(name)), region_(std::move(region)), delay_(delay), core_(clock_.Now()) {}

void ServiceApp::Leave() {
  const std::lock_guard<std::mutex> lock(mutex_);
  core_.Leave();
  leaving_changed_.notify_all();
}

void ServiceApp::Sleep(std::unique_lock<std::mutex>& lock, std::chrono::milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  while (leaving_changed_.wait_until(lock, end) != std::cv_status::timeout) {
  }
}

http::Response ServiceApp::Handle(const http::Request& request) {
  if (request.path == "/executions") {
    const std::lock_guard<std::mutex> lock(mutex_);
    return JsonReply(200, core_.executions());
  }
  if (request.path == "/standin/log") return LogReply();
  if (request.path == "/standin/fault" && request.method == "POST") return SetFault(request);
  if (request.path == "/standin/leave" && request.method == "POST") {
    Leave();
    return JsonReply(200, {{"state", "leaving"}});
  }
  return HandleCall(request);
}

http::Response ServiceApp::RefusalReply(const char* code) {
  http::Response response = ProblemReply(503, code, "the call was refused", "not-run");
  if (core_.leaving()) response.headers["Engine-State"] = "leaving";
  return response;
}

http::Response ServiceApp::HandleCall(const http::Request& request) {
  const std::string key(http::HeaderValue(request.headers, "Idempotency-Key"));
  const bool lookup = request.method == "GET" || request.method == "HEAD";
  std::unique_lock<std::mutex> lock(mutex_);
  const uint64_t call = core_.RecordArrival(key, request.method, request.path, clock_.Now());
  const bool leaving = core_.leaving();
  const InjectedFault fault = leaving ? InjectedFault{} : core_.ConsumeFault();
  if (leaving || fault.kind == ServiceFaultKind::kReject) {
    core_.EndWithoutExecution(call, "refused");
    return RefusalReply(leaving ? "leaving" : "rejected");
  }
  json answer = {{"service", name_}, {"region", region_}, {"path", request.path}, {"key", key}};
  if (lookup) {
    core_.EndWithoutExecution(call, "lookup");
    answer["value"] = base::Digest128(request.path);
  } else {
    Sleep(lock, delay_);
    answer["executions"] = core_.Execute(call, clock_.Now());
    answer["receipt"] = base::Digest128(key + request.path + request.body);
  }
  switch (fault.kind) {
    case ServiceFaultKind::kNoAnswer:
      leaving_changed_.wait(lock, [this] { return core_.leaving(); });
      return BrokenReply();
    case ServiceFaultKind::kSlowAnswer:
      Sleep(lock, fault.delay);
      break;
    case ServiceFaultKind::kCloseAfterExecution:
      return BrokenReply();
    case ServiceFaultKind::kNone:
    case ServiceFaultKind::kReject:
      break;
  }
  return JsonReply(200, answer);
}

http::Response ServiceApp::SetFault(const http::Request& request) {
  static const std::map<std::string, ServiceFaultKind> kKinds = {
      {"none", ServiceFaultKind::kNone},
      {"no-answer", ServiceFaultKind::kNoAnswer},
      {"slow-answer", ServiceFaultKind::kSlowAnswer},
      {"reject", ServiceFaultKind::kReject},
      {"close-after-execution", ServiceFaultKind::kCloseAfterExecution}};
  const auto body = ParseObject(request.body);
  const auto kind = body ? kKinds.find(MemberText(*body, "kind")) : kKinds.end();
  if (kind == kKinds.end()) return ProblemReply(400, "invalid-fault", "the kind is unknown", "not-run");
  InjectedFault fault{kind->second};
  fault.remaining = MemberNumber(*body, "n", 0);
  fault.delay = std::chrono::milliseconds{MemberNumber(*body, "delay_ms", 0)};
  const std::lock_guard<std::mutex> lock(mutex_);
  core_.SetFault(fault);
  return JsonReply(200, {{"kind", kind->first}, {"n", fault.remaining}, {"delay_ms", fault.delay.count()}});
}

http::Response ServiceApp::LogReply() {
  const std::lock_guard<std::mutex> lock(mutex_);
  json calls = json::array();
  for (const CallRecord& record : core_.log()) {
    calls.push_back({{"key", record.key},
                     {"method", record.method},
                     {"path", record.path},
                     {"result", record.result},
                     {"arrived_ms", record.arrived_ms},
                     {"executed_ms", record.executed_ms}});
  }
  return JsonReply(200, {{"service", name_}, {"region", region_}, {"calls", calls}});
}

}  // namespace cornelplank::standins::service
