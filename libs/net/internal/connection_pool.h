#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <limits>
#include <list>
#include <map>
#include <memory>

#include "libs/net/internal/loop.h"

namespace cornelplank::net {

/// One connection from a pool to a server. It carries one request at a time.
struct PooledConnection {
  /// `open`: counts the connections of the pool that exist. Shared, because a connection may outlive the
  /// pool.
  PooledConnection(asio::io_context& loop, const Tcp::endpoint& peer, std::shared_ptr<size_t> open)
      : stream(loop), endpoint(peer), open_connections(std::move(open)) {
    ++*open_connections;
  }
  ~PooledConnection() { --*open_connections; }
  PooledConnection(const PooledConnection&) = delete;
  PooledConnection& operator=(const PooledConnection&) = delete;

  /// False when the peer has closed the connection or has sent bytes beyond its last response.
  bool IsReusable();

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
  Tcp::endpoint endpoint;
  base::TimePoint idle_since{};
  base::Duration keep_alive{0};  // how long the peer keeps the connection open while it is idle
  bool reused = false;           // it has carried a request before
  std::shared_ptr<size_t> open_connections;
};

/// Limits of a connection pool.
struct PoolSettings {
  std::chrono::milliseconds connect_timeout{300};
  // Bytes unacknowledged for this long end the connection, also if the peer is alive and reads nothing; 0:
  // none.
  std::chrono::milliseconds tcp_user_timeout{2500};
  std::chrono::milliseconds default_keep_alive{3000};  // for peers that announce no idle timeout
  size_t idle_per_endpoint = 16;
  size_t connections = std::numeric_limits<size_t>::max();  // open at once, idle ones included
};

/// Opens connections to servers and keeps idle ones for reuse. Not thread-safe; used on its loop only.
class ConnectionPool {
 public:
  ConnectionPool(asio::io_context& loop, const base::Clock& clock, const PoolSettings& settings)
      : loop_(loop), clock_(clock), settings_(settings) {}

  /// Returns an idle connection that was last used less than `max_idle` ago, or else opens a new one. Returns
  /// null and sets `*error` when the connection could not be opened; nothing has been sent then. The error is
  /// no_descriptors when as many connections are in use as the pool may open.
  Task<std::shared_ptr<PooledConnection>> Take(Tcp::endpoint endpoint, base::Duration max_idle, Error* error);

  /// `Take` without the idle connections, which stay as they are.
  Task<std::shared_ptr<PooledConnection>> Open(Tcp::endpoint endpoint, Error* error);

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
  /// Closes the connection that has idled longest. Returns false when none is idle.
  bool CloseLongestIdle();
  std::shared_ptr<PooledConnection> TakeIdle(const Tcp::endpoint& endpoint, base::Duration max_idle);

  asio::io_context& loop_;
  const base::Clock& clock_;
  PoolSettings settings_;
  std::map<Tcp::endpoint, std::list<std::shared_ptr<PooledConnection>>> idle_;  // no list is empty
  uint64_t opened_ = 0;
  std::shared_ptr<size_t> open_ = std::make_shared<size_t>(0);
};

}  // namespace cornelplank::net
