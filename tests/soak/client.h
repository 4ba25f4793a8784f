#pragma once

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/soak/vm_fleet.h"

namespace cornelplank::soak {

/// A client in one zone. It sends one request after another over connections that it keeps as long as the VM
/// keeps them, and opens new ones at addresses from the VMs' directories.
class Client {
 public:
  Client(net::asio::io_context& loop, Ledger& ledger, VmFleet& fleet, uint64_t seed, std::string name,
         Zone zone)
      : loop_(loop),
        ledger_(ledger),
        fleet_(fleet),
        random_(seed),
        name_(std::move(name)),
        zone_(std::move(zone)) {}

  /// Sends requests until `*stop`.
  net::Task<> Run(const bool* stop);

 private:
  struct Connection {
    explicit Connection(net::asio::io_context& loop) : stream(loop) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    int vm = 0;
    int incarnation = 0;
  };

  /// Drops connections that their VM has closed, and reports bytes that answer no request.
  void DropClosed();
  /// Asks up to three directories, nearest first, which addresses serve clients of this zone.
  net::Task<> Resolve();
  net::Task<> Open();
  net::Task<> SendRequest(std::shared_ptr<Connection> connection);
  net::Task<Result> ReadResult(Connection& connection, bool* keep);

  net::asio::io_context& loop_;
  Ledger& ledger_;
  VmFleet& fleet_;
  base::Random random_;
  std::string name_;
  Zone zone_;
  uint64_t sent_ = 0;
  std::vector<net::Tcp::endpoint> addresses_;
  TimePoint addresses_until_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace cornelplank::soak
