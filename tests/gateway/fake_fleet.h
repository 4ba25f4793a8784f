#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "libs/config/config.h"
#include "libs/gateway/gateway.h"
#include "libs/http/http.h"

namespace cornelplank::gateway {

/// An HTTP server that stands in for an engine or a service. A function of the test answers its requests; it
/// records them.
class FakeUpstream {
 public:
  using Handler = std::function<http::Response(const http::Request&)>;
  explicit FakeUpstream(Handler handler);

  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }
  void SetHandler(Handler handler);
  /// Answers the next questions for the load with this text.
  void SetLoad(std::string text);
  /// The requests received so far, except for load reports, cache events and orders.
  std::vector<http::Request> Received() const;
  void Stop() { server_.reset(); }

 private:
  http::Response Handle(const http::Request& request);

  mutable std::mutex mutex_;
  Handler handler_;
  std::string load_ =
      R"({"state":"ready","running":0,"queued":0,"models":[{"model":"m","version":"1"}],"age_ms":0})";
  std::vector<http::Request> received_;
  std::unique_ptr<http::Server> server_;
};

/// What a scripted stream of tokens contains and how it ends.
struct StreamScript {
  int first = 0;                         // index of the first token
  int count = 0;                         // index after the last token
  std::string id;                        // id in the events; empty: that of the request
  bool done = true;                      // ends with the terminal event
  std::chrono::milliseconds gap{0};      // pause before each token
  std::chrono::milliseconds silence{0};  // pause after the last token; when not 0, the stream then breaks
};
/// A stream of tokens in the engines' protocol. It continues after the `resume_tokens` of the request.
http::Response ScriptedStream(const http::Request& request, StreamScript script);

/// Stands in for the platform's services, with data that the test sets.
class FakePlatform {
 public:
  FakePlatform();
  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }
  void SetSnapshot(config::Snapshot snapshot);
  void Append(config::LogEntry entry);
  void SetClients(std::vector<config::ClientRecord> clients);
  /// While down, every request is answered with status 503.
  void SetDown(bool down) { down_ = down; }

 private:
  http::Response Handle(const http::Request& request);

  std::atomic<bool> down_{false};
  std::mutex mutex_;
  config::Snapshot snapshot_;
  std::vector<config::LogEntry> log_;
  config::ClientPage clients_;
  std::unique_ptr<http::Server> server_;
};

/// Entry VMs in zones a-1 (region a, partner p) and b-1 (region b, partner p), run in this process.
class FakeFleet {
 public:
  FakeFleet();

  config::Document document;  // two regions without upstreams; published by the first StartVm
  FakePlatform platform;
  // Settings of VMs that are started later.
  std::chrono::milliseconds drain_limit{10000};
  std::chrono::milliseconds progress_limit{300};

  void AddEngine(const std::string& region, const std::string& id, const std::string& address);
  void AddService(const std::string& region, const std::string& id, const std::string& address);
  /// Starts a VM in the region and waits until it serves, at most 10 s; returns its index. The first call
  /// also publishes the document and two clients with the keys "one" (home a) and "two" (home b).
  size_t StartVm(const std::string& region);
  Gateway& vm(size_t index) { return *vms_[index]; }
  GatewaySettings settings(size_t index) const { return settings_[index]; }
  void StopVm(size_t index) { vms_[index].reset(); }

  http::ClientRequest Completion(size_t vm, bool stream) const;
  http::ClientRequest Request(size_t vm, const std::string& method, const std::string& path,
                              const std::string& body = "") const;
  std::optional<http::Response> Send(const http::ClientRequest& request) const;
  /// Reads a response body to its end. Sets `whole` to whether the transfer was complete.
  std::string ReadStream(const http::ClientRequest& request, bool* whole) const;
  /// Waits until the predicate accepts the VM's /dump, at most 10 s. Returns false when the time has passed.
  bool Await(size_t vm, const std::function<bool(const std::string& dump)>& predicate) const;

 private:
  std::unique_ptr<http::Client> client_ = http::Client::Create();
  std::vector<GatewaySettings> settings_;
  std::vector<std::unique_ptr<Gateway>> vms_;
};

}  // namespace cornelplank::gateway
