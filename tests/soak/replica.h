#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "tests/soak/ledger.h"

namespace cornelplank::soak {

/// A scripted replica. It answers simple requests, or streams events when its service begins with "stream",
/// and reports each request to the ledger. Some of its answers are refusals, errors, truncated or followed by
/// bytes that belong to no request.
class Replica {
 public:
  Replica(net::asio::io_context& loop, Ledger& ledger, testing::FakeStore& store, base::Random& random,
          std::string service, std::string zone, std::string region, const net::Tcp::endpoint& address)
      : loop_(loop),
        ledger_(ledger),
        store_(store),
        random_(random),
        service_(std::move(service)),
        zone_(std::move(zone)),
        region_(std::move(region)),
        address_(address) {}

  /// Listens and registers the replica under `id`.
  void Start(const std::string& id);
  /// Resets all connections and stops listening; the entry in the store stays.
  void Crash();
  /// Announces that the replica leaves; it serves on.
  void Drain() { Publish(true); }
  void Unregister() { store_.Remove(testing::wire::ReplicaKey(id_)); }

  const std::string& id() const { return id_; }
  bool running() const { return acceptor_.has_value(); }

 private:
  using Socket = std::shared_ptr<net::Tcp::socket>;

  void Publish(bool draining);
  net::Task<> Accept(int generation);
  net::Task<> Serve(Socket socket, int generation);
  /// Answer one request. Return false when the connection must be closed.
  net::Task<bool> AnswerSimple(Socket socket, std::string id);
  net::Task<bool> AnswerStream(Socket socket, std::string id, uint64_t first_event);
  /// Sends an answer that belongs to no request.
  net::Task<bool> WriteStray(Socket socket);
  static net::Task<bool> Write(Socket socket, std::string bytes);
  std::string Head(const std::string& id, int status, const std::string& framing) const;

  net::asio::io_context& loop_;
  Ledger& ledger_;
  testing::FakeStore& store_;
  base::Random& random_;
  std::string service_;
  std::string zone_;
  std::string region_;
  net::Tcp::endpoint address_;
  std::string id_;
  uint64_t born_ = 0;
  int generation_ = 0;  // grows with each start and crash
  std::optional<net::Tcp::acceptor> acceptor_;
  std::set<Socket> sockets_;
  std::multiset<std::string> working_;  // ids of the requests in progress
};

}  // namespace cornelplank::soak
