#pragma once

#include <map>
#include <string>

#include "platform/platform.h"
#include "tests/net/loopback.h"

namespace cornelplank::testing {

/// A fake of the platform's store on a loopback address. It answers listings and watches from mirrors that
/// the test fills, and can fail in the ways in which the store may fail.
class FakeStore final : public net::RequestHandler {
 public:
  /// kBusy: answers 503. kSilent: never answers. kHistoryGone: answers the next watch with 410, then serves.
  /// kOperatorSilent: answers calls for replicas only.
  enum class Mode { kServe, kBusy, kSilent, kHistoryGone, kOperatorSilent };

  explicit FakeStore(net::asio::io_context& loop, const net::Tcp::endpoint& endpoint = Loopback())
      : loop_(loop),
        operator_mirror_(loop),
        replica_mirror_(loop),
        mirror_server_({{"op/", {&operator_mirror_, [] { return base::Duration::zero(); }}},
                        {"servers/", {&replica_mirror_, [] { return base::Duration::zero(); }}}},
                       *this) {
    net::Error error;
    server_ = net::HttpServer::Listen(loop, endpoint, *this, &error);
    if (!server_) throw std::runtime_error(error.message());
    operator_mirror_.Replace({});
    replica_mirror_.Replace({});
  }

  net::Tcp::endpoint Endpoint() const { return Loopback(server_->Port()); }

  void Put(const std::string& key, const std::string& value) {
    ++revision_;
    MirrorOf(key).Apply({{key, value, revision_}});
  }
  void Remove(const std::string& key) {
    ++revision_;
    MirrorOf(key).Apply({{key, std::nullopt, revision_}});
  }
  void SetMode(Mode mode) { mode_ = mode; }
  /// Lists at most so many items in an answer.
  void SetPageSize(size_t items) { page_size_ = items; }
  int calls() const { return calls_; }

  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override {
    ++calls_;
    const Mode mode = mode_;
    const bool operator_call = request.target.find("path_prefix=op/") != std::string::npos;
    if (mode == Mode::kSilent || (mode == Mode::kOperatorSilent && operator_call)) {
      while (mode_ == mode) {
        co_await net::Sleep(loop_, std::chrono::milliseconds(20));
      }
      co_return;
    }
    if (mode == Mode::kBusy) {
      co_await writer.Send({503, {}}, "");
    } else if (mode == Mode::kHistoryGone && request.target.starts_with("/kv-watch")) {
      mode_ = Mode::kServe;
      co_await writer.Send({410, {}}, "");
    } else if (request.target.starts_with(platform::kListPath)) {
      co_await writer.Send({200, {}}, platform::EncodePage(List(request.target)));
    } else {
      co_await mirror_server_.Handle(request, writer);
    }
  }

 private:
  platform::StorePage List(const std::string& target) {
    platform::StorePage page = MirrorOf(platform::QueryValue(target, "path_prefix")).List();
    const std::string after = platform::QueryValue(target, "after");
    std::erase_if(page.changes, [&](const auto& item) { return item.key <= after; });
    page.has_more = page.changes.size() > page_size_;
    if (page.has_more) page.changes.resize(page_size_);
    return page;
  }
  platform::PrefixMirror& MirrorOf(const std::string& key) {
    return key.starts_with("servers/") ? replica_mirror_ : operator_mirror_;
  }

  net::asio::io_context& loop_;
  uint64_t revision_ = 10;
  platform::PrefixMirror operator_mirror_;
  platform::PrefixMirror replica_mirror_;
  platform::MirrorServer mirror_server_;
  std::unique_ptr<net::HttpServer> server_;
  Mode mode_ = Mode::kServe;
  size_t page_size_ = 500;
  int calls_ = 0;
};

/// A configuration with one route, for host h.example and prefix /a/, and one service.
inline std::string ConfigText(int version, const std::string& service = "svc") {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","kind":"safe","timeout_ms":2000,)"
         R"("target_latency_ms":600,"priority":1,"service":")" +
         service + R"(","attempts":2}],"services":[{"name":")" + service +
         R"(","health_path":"/health","connection_limit":10,"cold_start_s":0,"cold_per_s":0}],)"
         R"("limits":{"header_bytes":16384,"body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

/// The store's entry of a replica.
inline std::string ReplicaText(const std::string& service, const net::Tcp::endpoint& address,
                               const std::string& state = "ready", const std::string& zone = "z") {
  return R"({"service":")" + service + R"(","address":")" + address.address().to_string() + ":" +
         std::to_string(address.port()) + R"(","zone":")" + zone + R"(","version":"v1","slots":4,"state":")" +
         state + R"(","cold_remaining_ms":0,"sequence":1,"born":1700000000000})";
}

}  // namespace cornelplank::testing
