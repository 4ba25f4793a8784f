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
  /// The replica leaves: it says so in all its responses, and in the store if `announced`. It serves on.
  void Drain(bool announced);
  /// Refuses half of the requests from now on, and wants nothing from the VM that it refuses for `time`;
  /// none: refuses no more.
  void SetPushBack(std::optional<Duration> time) { push_back_ = time; }
  void Unregister() { store_.Remove(testing::wire::ReplicaKey(id_)); }

  /// Answers a quarter of the requests with bytes without end.
  void SetEndless(bool endless) { endless_ = endless; }
  /// Answers a quarter of the requests, before it has read their bodies, with the first half of an answer
  /// without a length, and then resets the connection.
  void SetCutting(bool cutting) { cutting_ = cutting; }
  /// States a limit of so many requests a second in all responses, until the next start; none: no longer.
  void SetLimit(std::optional<double> per_second);

  /// Whether requests of the same service and region go to either of the replicas.
  bool SharesLoadWith(const Replica& other) const {
    return service_ == other.service_ && region_ == other.region_;
  }

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
  /// Does what `SetCutting` says.
  net::Task<> CutAnswer(Socket socket, std::string id);
  /// Sends an answer that belongs to no request: one with the id of another request, or the refusal of an
  /// earlier request without an id, which only a `kept` connection can have carried.
  net::Task<bool> WriteStray(Socket socket, bool kept);
  static net::Task<bool> Write(Socket socket, std::string bytes);
  std::string Head(const std::string& id, int status, const std::string& framing);

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
  std::optional<double> limit_;  // requests a second
  bool leaving_ = false;
  bool endless_ = false;
  bool cutting_ = false;
  std::optional<Duration> push_back_;
  int generation_ = 0;  // grows with each start and crash
  std::optional<net::Tcp::acceptor> acceptor_;
  std::set<Socket> sockets_;
  std::multiset<std::string> working_;  // ids of the requests in progress
};

}  // namespace cornelplank::soak
