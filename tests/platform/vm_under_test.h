#pragma once

#include <unistd.h>

#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "tests/platform/fake_store.h"

namespace cornelplank::testing {

inline fleet::Member MemberAt(uint32_t address, const std::string& zone = "z") {
  fleet::Member member;
  member.address = address;
  member.incarnation = 1;
  member.heartbeat_count = 1;
  member.zone = fleet::NameKey(zone);
  member.state = fleet::MemberState::kReady;
  return member;
}

/// The parts of an entry VM that read the store, with a server for its mirrors at a loopback address of its
/// own.
struct VmUnderTest {
  VmUnderTest(net::asio::io_context& loop, const base::Clock& clock, const net::Tcp::endpoint& store,
              uint32_t address, uint16_t mirror_port, const std::string& zone = "z",
              std::chrono::milliseconds bound = std::chrono::milliseconds(4000))
      : members(MemberAt(address, zone), {{"z", "r"}, {"y", "q"}}),
        sync(loop, clock, {store, mirror_port, bound, bound}, members, {{"z", "r"}}, registry,
             [this](const serving::RoutingConfig& config) { versions.push_back(config.version); }),
        not_found(),
        mirror_server(sync.MakeMirrorServer(not_found)) {
    net::Error error;
    server = net::HttpServer::Listen(
        loop, net::Tcp::endpoint(net::asio::ip::address_v4(address), mirror_port), *mirror_server, &error);
    if (!server) throw std::runtime_error(error.message());
    sync.Start();
  }

  struct NotFound final : net::RequestHandler {
    net::Task<> Handle(net::Request&, net::ResponseWriter& writer) override {
      co_await writer.Send({404, {}}, "");
    }
  };

  /// The ids of the replicas that this VM may use.
  std::set<std::string> KnownReplicas() const {
    std::set<std::string> ids;
    for (const auto& [id, replica] : registry.replicas()) ids.insert(id);
    return ids;
  }

  serving::ReplicaRegistry registry;
  fleet::MemberTable members;
  std::vector<uint64_t> versions;  // of the configurations that came into force
  platform::StoreSync sync;
  NotFound not_found;
  std::unique_ptr<platform::MirrorServer> mirror_server;
  std::unique_ptr<net::HttpServer> server;
};

inline constexpr uint32_t kFirstVmAddress = 0x7f000102;  // 127.0.1.2

/// Port for the mirrors of the VMs of a test. Several test processes run at the same time, so each uses
/// another one.
inline uint16_t OwnMirrorPort() { return static_cast<uint16_t>(20000 + getpid() % 12000); }

}  // namespace cornelplank::testing
