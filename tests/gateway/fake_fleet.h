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

/// An engine or a service whose answers a test writes. Counts what it received.
class FakeUpstream {
 public:
  using Behaviour = std::function<http::Response(const http::Request&)>;
  explicit FakeUpstream(Behaviour behaviour);

  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }
  void SetBehaviour(Behaviour behaviour);
  /// Requests to paths other than the engine's load and cache reports.
  std::vector<http::Request> Received() const;
  void Stop() { server_.reset(); }

 private:
  http::Response Handle(const http::Request& request);

  mutable std::mutex mutex_;
  Behaviour behaviour_;
  std::vector<http::Request> received_;
  std::unique_ptr<http::Server> server_;
};

/// How a scripted stream of tokens goes on.
struct StreamScript {
  int first = 0;
  int count = 0;                         // tokens after `first`
  std::string id;                        // of the events; empty: the request's own
  bool done = true;                      // with the terminal event
  std::chrono::milliseconds gap{0};      // before each token
  std::chrono::milliseconds silence{0};  // after the last token; then the stream breaks
};
/// A stream of tokens as the engine protocol has it. Continues after `resume_tokens` of the request.
http::Response ScriptedStream(const http::Request& request, StreamScript script);

/// The platform, answered from memory.
class FakePlatform {
 public:
  FakePlatform();
  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }
  void SetSnapshot(config::Snapshot snapshot);
  void Append(config::LogEntry entry);
  void SetClients(std::vector<config::ClientRecord> clients);
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

/// One or two entry VMs in zones a-1 (region a, partner p) and b-1 (region b, partner p), in this process.
class FakeFleet {
 public:
  FakeFleet();

  config::Document document;  // two regions without upstreams; change it before StartVm
  FakePlatform platform;

  void AddEngine(const std::string& region, const std::string& id, const std::string& address);
  void AddService(const std::string& region, const std::string& id, const std::string& address);
  /// Publishes the document and starts a VM of the region; returns its index.
  size_t StartVm(const std::string& region);
  Gateway& vm(size_t index) { return *vms_[index]; }
  GatewaySettings settings(size_t index) const { return settings_[index]; }
  void StopVm(size_t index) { vms_[index].reset(); }

  http::ClientRequest Completion(size_t vm, bool stream) const;
  http::ClientRequest Request(size_t vm, const std::string& method, const std::string& path,
                              const std::string& body = "") const;
  std::optional<http::Response> Send(const http::ClientRequest& request) const;
  /// Reads a stream to its end. `whole` tells whether the transfer ended properly.
  std::string ReadStream(const http::ClientRequest& request, bool* whole) const;
  /// Waits until the dump of the VM satisfies the predicate, at most 10 s.
  bool Await(size_t vm, const std::function<bool(const std::string& dump)>& predicate) const;

 private:
  std::unique_ptr<http::Client> client_ = http::Client::Create();
  std::vector<GatewaySettings> settings_;
  std::vector<std::unique_ptr<Gateway>> vms_;
};

}  // namespace cornelplank::gateway
