#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <list>
#include <map>
#include <memory>

#include "libs/net/internal/loop.h"

namespace cornelplank::net {

/// One connection from a pool to a server. It carries one request at a time.
struct PooledConnection {
  PooledConnection(asio::io_context& loop, const Tcp::endpoint& peer) : stream(loop), endpoint(peer) {}

  /// False when the peer has closed the connection or has sent bytes beyond its last response.
  bool IsReusable();

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
  Tcp::endpoint endpoint;
  base::TimePoint idle_since{};
  base::Duration keep_alive{0};  // how long the peer keeps the connection open while it is idle
  bool reused = false;           // it has carried a request before
};

/// Limits of a connection pool.
struct PoolSettings {
  std::chrono::milliseconds connect_timeout{300};
  // Bytes unacknowledged for this long end the connection, also if the peer is alive and reads nothing; 0:
  // none.
  std::chrono::milliseconds tcp_user_timeout{2500};
  std::chrono::milliseconds default_keep_alive{3000};  // for peers that announce no idle timeout
  size_t idle_per_endpoint = 16;
};

/// Opens connections to servers and keeps idle ones for reuse. Not thread-safe; used on its loop only.
class ConnectionPool {
 public:
  ConnectionPool(asio::io_context& loop, const base::Clock& clock, const PoolSettings& settings)
      : loop_(loop), clock_(clock), settings_(settings) {}

  /// Returns an idle connection that was last used less than `max_idle` ago, or else opens a new one. Returns
  /// null and sets `*error` when the connection could not be opened; nothing has been sent then.
  Task<std::shared_ptr<PooledConnection>> Take(Tcp::endpoint endpoint, base::Duration max_idle, Error* error);

  /// Returns a connection to the pool after a complete, well-formed response. It is closed instead when it is
  /// not reusable; beyond `idle_per_endpoint`, the connection that has idled longest is closed.
  void Release(std::shared_ptr<PooledConnection> connection);
  /// Closes the idle connections to `endpoint`.
  void CloseIdle(const Tcp::endpoint& endpoint) { idle_.erase(endpoint); }
  /// Closes the idle connections to all endpoints.
  void CloseAllIdle() { idle_.clear(); }
  /// Closes idle connections that the peer has closed or is about to close. Call it about once a second.
  void Tick();
  /// Number of connections opened so far.
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
