#pragma once

#include <map>
#include <string>

#include "platform/platform.h"
#include "tests/net/loopback.h"

namespace cornelplank::testing {

/// A stand-in for the platform's store on a loopback address. It answers the reading calls from mirrors that
/// the test fills, and fails in the ways that the store may fail.
class FakeStore final : public net::RequestHandler {
 public:
  enum class Mode { kServe, kBusy, kSilent, kHistoryGone };

  explicit FakeStore(net::asio::io_context& loop, const net::Tcp::endpoint& endpoint = Loopback())
      : loop_(loop),
        operator_(loop),
        replicas_(loop),
        serve_(
            {{"op/", &operator_}, {"servers/", &replicas_}}, [] { return base::Duration::zero(); }, *this) {
    net::Error error;
    server_ = net::HttpServer::Listen(loop, endpoint, *this, &error);
    if (!server_) throw std::runtime_error(error.message());
    operator_.Replace({});
    replicas_.Replace({});
  }

  net::Tcp::endpoint Endpoint() const { return Loopback(server_->Port()); }

  void Put(const std::string& key, const std::string& value) {
    ++revision_;
    Mirror(key).Apply({{key, value, revision_}});
  }
  void Remove(const std::string& key) {
    ++revision_;
    Mirror(key).Apply({{key, std::nullopt, revision_}});
  }
  void SetMode(Mode mode) { mode_ = mode; }
  int calls() const { return calls_; }

  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override {
    ++calls_;
    const Mode mode = mode_;
    if (mode == Mode::kSilent) {
      while (mode_ == Mode::kSilent) {
        co_await net::Sleep(loop_, std::chrono::milliseconds(20));
      }
      co_return;
    }
    if (mode == Mode::kBusy) {
      co_await writer.Send({503, {}}, "");
    } else if (mode == Mode::kHistoryGone && request.target.starts_with("/kv-watch")) {
      mode_ = Mode::kServe;
      co_await writer.Send({410, {}}, "");
    } else {
      co_await serve_.Handle(request, writer);
    }
  }

 private:
  platform::PrefixMirror& Mirror(const std::string& key) {
    return key.starts_with("servers/") ? replicas_ : operator_;
  }

  net::asio::io_context& loop_;
  uint64_t revision_ = 10;
  platform::PrefixMirror operator_;
  platform::PrefixMirror replicas_;
  platform::MirrorServer serve_;
  std::unique_ptr<net::HttpServer> server_;
  Mode mode_ = Mode::kServe;
  int calls_ = 0;
};

inline std::string ConfigText(int version, const std::string& service = "svc") {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","kind":"safe","timeout_ms":2000,)"
         R"("target_latency_ms":600,"priority":1,"service":")" +
         service + R"(","attempts":2}],"services":[{"name":")" + service +
         R"(","health_path":"/health","connection_limit":10,"cold_start_s":0,"cold_per_s":0}],)"
         R"("limits":{"header_bytes":16384,"body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

inline std::string ReplicaText(const std::string& service, const net::Tcp::endpoint& address,
                               const std::string& state = "ready") {
  return R"({"service":")" + service + R"(","address":")" + address.address().to_string() + ":" +
         std::to_string(address.port()) + R"(","zone":"z","version":"v1","slots":4,"state":")" + state +
         R"(","cold_remaining_ms":0,"sequence":1,"born":1700000000000})";
}

}  // namespace cornelplank::testing
