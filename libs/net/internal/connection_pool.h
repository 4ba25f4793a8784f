#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <list>
#include <map>
#include <memory>

#include "libs/net/internal/loop.h"

namespace cornelplank::net {

/// One connection to a server. It carries one request at a time.
struct PooledConnection {
  PooledConnection(asio::io_context& loop, const Tcp::endpoint& peer) : stream(loop), endpoint(peer) {}

  /// False when the peer has closed or has sent bytes that nobody asked for.
  bool IsReusable();

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  Tcp::endpoint endpoint;
  base::TimePoint idle_since{};
  base::Duration keep_alive{0};  // how long the peer keeps an idle connection
  bool reused = false;
};

struct PoolSettings {
  std::chrono::milliseconds connect_timeout{300};
  std::chrono::milliseconds silence{2500};             // unacknowledged bytes end the connection after this
  std::chrono::milliseconds default_keep_alive{3000};  // for peers that announce none
  size_t idle_per_endpoint = 16;
};

/// Keeps idle connections for reuse.
class ConnectionPool {
 public:
  ConnectionPool(asio::io_context& loop, const base::Clock& clock, const PoolSettings& settings)
      : loop_(loop), clock_(clock), settings_(settings) {}

  /// An idle connection that was used less than `max_idle` ago, else a new one. Null with `*error` when no
  /// connection came about; nothing has been sent then.
  Task<std::shared_ptr<PooledConnection>> Take(Tcp::endpoint endpoint, base::Duration max_idle, Error* error);

  /// Hands back a connection whose last answer was complete and in order.
  void Release(std::shared_ptr<PooledConnection> connection);
  /// Closes the idle connections to `endpoint`.
  void CloseIdle(const Tcp::endpoint& endpoint) { idle_.erase(endpoint); }
  void CloseAllIdle() { idle_.clear(); }
  /// Closes connections that idled beyond their time. Call about once a second.
  void Tick();
  uint64_t Opened() const { return opened_; }
  const PoolSettings& settings() const { return settings_; }

 private:
  std::shared_ptr<PooledConnection> TakeIdle(const Tcp::endpoint& endpoint, base::Duration max_idle);

  asio::io_context& loop_;
  const base::Clock& clock_;
  PoolSettings settings_;
  std::map<Tcp::endpoint, std::list<std::shared_ptr<PooledConnection>>> idle_;
  uint64_t opened_ = 0;
};

}  // namespace cornelplank::net
