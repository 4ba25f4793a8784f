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
#include <list>

#include "libs/base/base.h"

namespace cornelplank::net {

namespace asio = boost::asio;
using Error = boost::system::error_code;
using Tcp = asio::ip::tcp;
template <typename T = void>
using Task = asio::awaitable<T>;

/// Most bytes of a connection, received but not parsed yet, that are kept. The HTTP parser takes a header, a
/// chunk size with its extensions and a trailer section only as a whole, and puts no limit on the last two. A
/// connection on which a longer one arrives is ended.
inline constexpr size_t kMaxUnparsedBytes = 65536;

/// Returns a completion token for coroutines that stores the error code in `error` instead of throwing.
inline auto Into(Error& error) { return asio::redirect_error(asio::use_awaitable, error); }

/// Runs `task` on the loop. An exception that escapes it is logged under `name` and ends only that task.
void Spawn(asio::io_context& loop, const char* name, Task<> task);

/// Suspends the calling coroutine for `time`.
Task<> Sleep(asio::io_context& loop, base::Duration time);

/// Lets coroutines of one loop wait for a signal, as a condition variable does for threads.
class Notification {
 public:
  explicit Notification(asio::io_context& loop) : loop_(loop) {}

  /// Wakes all current waiters.
  void Notify() {
    for (asio::steady_timer* waiter : waiters_) waiter->cancel();
  }
  /// Returns at the next `Notify` or after `limit`, whichever comes first.
  Task<> Wait(base::Duration limit);

 private:
  asio::io_context& loop_;
  std::list<asio::steady_timer*> waiters_;
};

/// Sets the options of every connection: no Nagle delay, and keep-alive probes, which end the connection to a
/// peer that is gone after some 5 s. `user_timeout`: time after which unacknowledged bytes or probes end it
/// (TCP_USER_TIMEOUT); 0 for none. It also ends the connection to a live peer that reads nothing for so long
/// while bytes wait for it, so it only suits peers that always read.
void SetTcpOptions(Tcp::socket& socket, std::chrono::milliseconds user_timeout);

/// Parses an IPv4 address and port of the form "IP:PORT". Returns nothing when the text is anything else.
std::optional<Tcp::endpoint> ParseEndpoint(std::string_view text);

}  // namespace cornelplank::net
