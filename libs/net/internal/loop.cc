#include "libs/net/internal/loop.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <exception>

#include "libs/base/internal/event_log.h"

namespace cornelplank::net {
namespace {

// Keep-alive probes of an idle connection. They detect a dead peer within a few seconds.
constexpr std::chrono::seconds kKeepAliveIdleTime{2};
constexpr std::chrono::seconds kKeepAliveInterval{1};
constexpr int kKeepAliveProbes = 3;

/// Time until the first probe. A user timeout ends the connection when it has passed and a probe is
/// unanswered, whatever the number of probes, so a second probe has to fit into it.
std::chrono::seconds KeepAliveIdleTime(std::chrono::milliseconds user_timeout) {
  if (user_timeout.count() == 0) return kKeepAliveIdleTime;
  return std::clamp(std::chrono::floor<std::chrono::seconds>(user_timeout - kKeepAliveInterval),
                    std::chrono::seconds(1), kKeepAliveIdleTime);
}

void SetTcpOption(int handle, int option, int value) {
  setsockopt(handle, IPPROTO_TCP, option, &value, sizeof value);
}

}  // namespace

void Spawn(asio::io_context& loop, const char* name, Task<> task) {
  asio::co_spawn(loop, std::move(task), [name](const std::exception_ptr& failure) {
    if (!failure) return;
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& error) {
      base::LogEvent("task_failed").Text("task", name).Text("error", error.what());
    }
  });
}

Task<> Sleep(asio::io_context& loop, base::Duration time) {
  asio::steady_timer timer(loop);
  timer.expires_after(time);
  Error ignored;  // the timer is private, so nothing cancels it
  co_await timer.async_wait(Into(ignored));
}

Task<> Notification::Wait(base::Duration limit) {
  asio::steady_timer timer(loop_);
  timer.expires_after(limit);
  const auto waiter = waiters_.insert(waiters_.end(), &timer);
  Error ignored;  // `Notify` cancels the timer
  co_await timer.async_wait(Into(ignored));
  waiters_.erase(waiter);
}

void SetTcpOptions(Tcp::socket& socket, std::chrono::milliseconds user_timeout) {
  Error error;
  socket.set_option(Tcp::no_delay(true), error);
  socket.set_option(asio::socket_base::keep_alive(true), error);
  const int handle = socket.native_handle();
  SetTcpOption(handle, TCP_USER_TIMEOUT, static_cast<int>(user_timeout.count()));
  SetTcpOption(handle, TCP_KEEPIDLE, static_cast<int>(KeepAliveIdleTime(user_timeout).count()));
  SetTcpOption(handle, TCP_KEEPINTVL, static_cast<int>(kKeepAliveInterval.count()));
  SetTcpOption(handle, TCP_KEEPCNT, kKeepAliveProbes);
}

std::optional<Tcp::endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  uint16_t port = 0;
  const std::string_view digits = text.substr(colon + 1);
  const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (fault != std::errc() || end != digits.data() + digits.size() || port == 0) return std::nullopt;
  Error error;
  const auto address = asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
  if (error) return std::nullopt;
  return Tcp::endpoint(address, port);
}

}  // namespace cornelplank::net
