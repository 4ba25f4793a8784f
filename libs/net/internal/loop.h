#pragma once

#include <utility>
// <utility> goes first: the coroutine headers of Boost 1.74 use std::exchange without including it.
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "libs/base/base.h"

namespace cornelplank::net {

namespace asio = boost::asio;
using Error = boost::system::error_code;
using Tcp = asio::ip::tcp;
template <typename T = void>
using Task = asio::awaitable<T>;

/// Completion token that stores the error in `*error` instead of throwing.
inline auto Into(Error& error) { return asio::redirect_error(asio::use_awaitable, error); }

/// Runs `task` on the loop. An exception that escapes it is logged and ends only that task.
void Spawn(asio::io_context& loop, const char* name, Task<> task);

/// Suspends the caller for `time`.
Task<> Sleep(asio::io_context& loop, base::Duration time);

/// Wakes one or more waiting coroutines of one loop.
class Notification {
 public:
  explicit Notification(asio::io_context& loop) : timer_(loop) { timer_.expires_at(Never()); }

  /// Wakes the current waiters.
  void Notify() { timer_.cancel(); }
  /// Returns at the next `Notify` or after `limit`, whichever comes first.
  Task<> Wait(base::Duration limit);

 private:
  static std::chrono::steady_clock::time_point Never() {
    return std::chrono::steady_clock::time_point::max();
  }

  asio::steady_timer timer_;
};

/// Options of every connection: no Nagle delay, keep-alive probes, and `silence` as the time after which
/// unacknowledged bytes or probes end the connection (TCP_USER_TIMEOUT).
void SetOptions(Tcp::socket& socket, std::chrono::milliseconds silence);

/// Parses "IP:PORT".
std::optional<Tcp::endpoint> ParseEndpoint(std::string_view text);

}  // namespace cornelplank::net
