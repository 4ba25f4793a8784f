#include "tests/gateway/fake_fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace cornelplank::gateway {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ScriptBody final : public http::BodySource {
 public:
  ScriptBody(std::vector<std::string> parts, const StreamScript& script)
      : parts_(std::move(parts)), script_(script) {}
  std::optional<size_t> Read(char* buffer, size_t /*capacity*/) override {
    if (next_ == parts_.size()) {
      std::this_thread::sleep_for(script_.silence);
      return whole() ? std::optional<size_t>(0) : std::nullopt;
    }
    std::this_thread::sleep_for(script_.gap);
    return parts_[next_++].copy(buffer, 4096);
  }

 private:
  bool whole() const { return script_.done && script_.silence.count() == 0; }

  std::vector<std::string> parts_;
  size_t next_ = 0;
  const StreamScript script_;
};

http::Response Json(const std::string& body) {
  http::Response response;
  response.headers["Content-Type"] = "application/json";
  response.body = body;
  return response;
}

}  // namespace

FakeUpstream::FakeUpstream(Handler handler) : handler_(std::move(handler)) {
  server_ = http::Server::Start(
      {}, [this](const http::Request& request) { return Handle(request); }, nullptr);
}

void FakeUpstream::SetHandler(Handler handler) {
  const std::lock_guard<std::mutex> lock(mutex_);
  handler_ = std::move(handler);
}

void FakeUpstream::SetLoad(std::string text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  load_ = std::move(text);
}

std::vector<http::Request> FakeUpstream::Received() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return received_;
}

http::Response FakeUpstream::Handle(const http::Request& request) {
  if (request.path == "/load") {
    const std::lock_guard<std::mutex> lock(mutex_);
    return Json(load_);
  }
  if (request.path == "/cache-events") return Json(R"({"events":[]})");
  if (request.path == "/orders") return Json(R"({"status":"in-force"})");
  Handler handler;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    received_.push_back(request);
    handler = handler_;
  }
  if (request.method == "DELETE") return Json("{}");
  return handler(request);
}

http::Response ScriptedStream(const http::Request& request, StreamScript script) {
  const json body = json::parse(request.body);
  script.first = std::max(script.first, body.value("resume_tokens", 0));
  const std::string own(http::HeaderValue(request.headers, "Request-Id"));
  const std::string id = script.id.empty() ? own : script.id;
  std::vector<std::string> parts;
  for (int i = script.first; i < script.count; ++i) {
    parts.push_back("data: {\"id\":\"" + id + "\",\"index\":" + std::to_string(i) + ",\"text\":\"t" +
                    std::to_string(i) + "\"}\n\n");
  }
  if (script.done && script.silence.count() == 0) parts.push_back("data: [DONE]\n\n");
  http::Response response;
  response.headers["Content-Type"] = "text/event-stream";
  response.stream = std::make_unique<ScriptBody>(std::move(parts), script);
  return response;
}

FakePlatform::FakePlatform() {
  server_ = http::Server::Start(
      {}, [this](const http::Request& request) { return Handle(request); }, nullptr);
}

void FakePlatform::SetSnapshot(config::Snapshot snapshot) {
  const std::lock_guard<std::mutex> lock(mutex_);
  snapshot_ = std::move(snapshot);
}

void FakePlatform::Append(config::LogEntry entry) {
  const std::lock_guard<std::mutex> lock(mutex_);
  log_.push_back(std::move(entry));
}

void FakePlatform::SetClients(std::vector<config::ClientRecord> clients) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++clients_.revision;
  clients_.clients = std::move(clients);
}

http::Response FakePlatform::Handle(const http::Request& request) {
  http::Response down;
  down.status = 503;
  if (down_) return down;
  const std::unique_lock<std::mutex> lock(mutex_);
  if (request.path == "/v1/config/snapshot") return Json(config::WriteSnapshot(snapshot_));
  if (request.path == "/v1/vms") return Json(R"({"age_ms":0,"vms":[]})");
  if (request.path == "/v1/clients") return Json(config::WriteClientPage(clients_));
  const uint64_t after = std::stoull(request.query.at("after"));
  config::LogPage page;
  page.head_seq = snapshot_.version.seq + log_.size();
  page.oldest_seq = snapshot_.version.seq + 1;
  for (const config::LogEntry& entry : log_) {
    if (entry.seq > after) page.entries.push_back(entry);
  }
  return Json(config::WriteLogPage(page));
}

FakeFleet::FakeFleet() {
  document.regions["a"] = {"p", {"a-1"}};
  document.regions["b"] = {"p", {"b-1"}};
  document.links.push_back({"a", "b", 1000, milliseconds{1}});
  config::PriorityClass desk_class;
  desk_class.guaranteed = 0.5;
  desk_class.max_queue = 10;
  desk_class.deadline = milliseconds{5000};
  document.partners["p"].classes["desk"] = desk_class;
  document.residency["own"] = {"p", {"home", "a", "b"}};
  document.residency["home"] = {"p", {"home"}};
  document.services["ledger"] = {"p", {"GET"}};
  document.models["m"] = {"p", "1", 1, 1};
}

void FakeFleet::AddEngine(const std::string& region, const std::string& id, const std::string& address) {
  config::Upstream upstream;
  upstream.partner = "p";
  upstream.region = region;
  upstream.zone = region + "-1";
  upstream.address = address;
  upstream.slots = 4;
  upstream.models = {"m"};
  document.upstreams[id] = upstream;
}

void FakeFleet::AddService(const std::string& region, const std::string& id, const std::string& address) {
  AddEngine(region, id, address);
  document.upstreams[id].kind = config::UpstreamKind::kService;
  document.upstreams[id].service = "ledger";
  document.upstreams[id].models.clear();
}

size_t FakeFleet::StartVm(const std::string& region) {
  if (vms_.empty()) {
    config::Snapshot snapshot;
    snapshot.version.seq = snapshot.version.number = 1;
    snapshot.version.digest = std::string(32, '0');
    snapshot.document = document;
    platform.SetSnapshot(std::move(snapshot));
    // SHA-256 of "one" and of "two".
    platform.SetClients({{"one",
                          "p",
                          "7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed",
                          {"desk"},
                          "a",
                          "own"},
                         {"two",
                          "p",
                          "3fc4ccfe745870e2c0d99f71f30ff0656c8dedd41cc1d7d3d376b0dbe685e2f3",
                          {"desk"},
                          "b",
                          "home"}});
  }
  GatewaySettings settings;
  settings.vm = region + "-vm" + std::to_string(vms_.size());
  settings.partner = "p";
  settings.region = region;
  settings.zone = region + "-1";
  settings.clients_listen = settings.peers_listen = settings.operators_listen = "127.0.0.1:0";
  settings.platform = platform.address();
  for (const auto& vm : vms_) settings.seeds.push_back("127.0.0.1:" + std::to_string(vm->peers_port()));
  settings.peers_key = settings.operators_token = "a secret of the test";
  settings.max_body_bytes = 10000;
  settings.max_connections = settings.max_hops = 200;
  settings.idle_timeout = seconds{10};
  settings.default_timeout = settings.max_timeout = seconds{30};
  settings.drain_limit = drain_limit;
  settings.progress_limit = progress_limit;
  settings.connect_limit = milliseconds{250};
  settings.poll_interval = milliseconds{200};
  settings_.push_back(settings);
  GatewayReason reason;
  vms_.push_back(Gateway::Start(settings, &reason));
  const size_t index = vms_.size() - 1;
  Await(index, [](const std::string& dump) {
    const json state = json::parse(dump);
    return state["status"]["state"] == "serving" && !state["status"]["home_only"] &&
           state["status"]["clients"] == 2;
  });
  return index;
}

http::ClientRequest FakeFleet::Request(size_t vm, const std::string& method, const std::string& path,
                                       const std::string& body) const {
  http::ClientRequest request;
  request.method = method;
  request.url = "http://127.0.0.1:" + std::to_string(vms_[vm]->clients_port()) + path;
  request.headers = {{"Authorization", "Bearer one"}, {"Content-Type", "application/json"}};
  request.body = body;
  return request;
}

http::ClientRequest FakeFleet::Completion(size_t vm, bool stream) const {
  const json body = {
      {"model", "m"}, {"stream", stream}, {"messages", {{{"role", "user"}, {"content", "Say something."}}}}};
  return Request(vm, "POST", "/v1/chat/completions", body.dump());
}

std::optional<http::Response> FakeFleet::Send(const http::ClientRequest& request) const {
  return client_->Send(request, nullptr, nullptr);
}

std::string FakeFleet::ReadStream(const http::ClientRequest& request, bool* whole) const {
  const auto exchange = client_->Open(request);
  std::string body;
  while (true) {
    const http::ExchangeEvent event = exchange->Next(milliseconds{1000});
    body += event.data;
    *whole = event.kind == http::ExchangeEvent::Kind::kEnd;
    if (*whole || event.kind == http::ExchangeEvent::Kind::kFailed) return body;
  }
}

bool FakeFleet::Await(size_t vm, const std::function<bool(const std::string& dump)>& predicate) const {
  http::ClientRequest request;
  request.url = "http://127.0.0.1:" + std::to_string(vms_[vm]->operators_port()) + "/dump";
  request.headers = {{"Authorization", "Bearer a secret of the test"}};
  for (int i = 0; i < 500; ++i) {
    const auto response = client_->Send(request, nullptr, nullptr);
    if (response && response->status == 200 && predicate(response->body)) return true;
    std::this_thread::sleep_for(milliseconds{20});
  }
  return false;
}

}  // namespace cornelplank::gateway
