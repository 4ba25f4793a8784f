#include "libs/net/internal/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace cornelplank::net {
namespace {

// A peer may close an idle connection this much earlier than its announced timeout, which is in whole
// seconds.
constexpr std::chrono::milliseconds kKeepAliveMargin{500};

}  // namespace

bool PooledConnection::IsReusable() {
  if (!stream.socket().is_open() || buffer.size() > 0) return false;
  char byte;
  const ssize_t size = recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && errno == EAGAIN;
}

std::shared_ptr<PooledConnection> ConnectionPool::TakeIdle(const Tcp::endpoint& endpoint,
                                                           base::Duration max_idle) {
  const auto entry = idle_.find(endpoint);
  if (entry == idle_.end()) return nullptr;
  auto& connections = entry->second;
  const base::TimePoint now = clock_.Now();
  std::shared_ptr<PooledConnection> taken;
  while (!taken && !connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    const base::Duration idle = now - connection->idle_since;
    if (idle < max_idle && idle + kKeepAliveMargin < connection->keep_alive && connection->IsReusable()) {
      connection->reused = true;
      taken = std::move(connection);
    }
  }
  if (connections.empty()) idle_.erase(entry);
  return taken;
}

bool ConnectionPool::CloseLongestIdle() {
  const auto longest = std::min_element(idle_.begin(), idle_.end(), [](const auto& left, const auto& right) {
    return left.second.front()->idle_since < right.second.front()->idle_since;
  });
  if (longest == idle_.end()) return false;
  longest->second.pop_front();
  if (longest->second.empty()) idle_.erase(longest);
  return true;
}

Task<std::shared_ptr<PooledConnection>> ConnectionPool::Take(Tcp::endpoint endpoint, base::Duration max_idle,
                                                             Error* error) {
  if (auto connection = TakeIdle(endpoint, max_idle)) co_return connection;
  co_return co_await Open(endpoint, error);
}

Task<std::shared_ptr<PooledConnection>> ConnectionPool::Open(Tcp::endpoint endpoint, Error* error) {
  if (*open_ >= settings_.connections && !CloseLongestIdle()) {
    *error = asio::error::no_descriptors;
    co_return nullptr;
  }
  auto connection = std::make_shared<PooledConnection>(loop_, endpoint, open_);
  connection->stream.expires_after(settings_.connect_timeout);
  co_await connection->stream.async_connect(endpoint, Into(*error));
  if (*error) co_return nullptr;
  connection->stream.expires_never();
  SetTcpOptions(connection->stream.socket(), settings_.tcp_user_timeout);
  connection->keep_alive = settings_.default_keep_alive;
  ++opened_;
  co_return connection;
}

void ConnectionPool::Release(std::shared_ptr<PooledConnection> connection) {
  if (settings_.idle_per_endpoint == 0 || !connection->IsReusable()) return;
  connection->idle_since = clock_.Now();
  connection->buffer.shrink_to_fit();
  auto& connections = idle_[connection->endpoint];
  connections.push_back(std::move(connection));
  if (connections.size() > settings_.idle_per_endpoint) connections.pop_front();
}

void ConnectionPool::Tick() {
  const base::TimePoint now = clock_.Now();
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second, [&](const std::shared_ptr<PooledConnection>& connection) {
      return now - connection->idle_since + kKeepAliveMargin >= connection->keep_alive ||
             !connection->IsReusable();
    });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

}  // namespace cornelplank::net
