#pragma once

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>

#include "libs/net/net.h"

namespace cornelplank::testing {

namespace asio = net::asio;

inline net::Tcp::endpoint Loopback(uint16_t port = 0) { return {asio::ip::address_v4::loopback(), port}; }

/// A server that answers each request with the same bytes. After them it closes or resets the connection, or
/// keeps it open for the next request. It doesn't read the bodies of requests.
class ScriptedServer {
 public:
  /// kShutDown: ends its direction in order, and closes the connection a little later.
  enum class Ending { kClose, kReset, kShutDown, kKeepOpen };

  /// Without `read_request` it sends the bytes at once, without waiting for a request.
  ScriptedServer(asio::io_context& loop, std::string bytes, Ending ending, bool read_request = true)
      : loop_(loop),
        acceptor_(loop, Loopback()),
        bytes_(std::move(bytes)),
        ending_(ending),
        read_(read_request) {
    net::Spawn(loop, "scripted", Serve());
  }

  net::Tcp::endpoint Endpoint() const { return Loopback(acceptor_.local_endpoint().port()); }
  /// Number of connections accepted so far.
  int connections() const { return connections_; }
  /// The heads of all requests received.
  const std::string& received() const { return received_; }

 private:
  net::Task<> Serve() {
    while (true) {
      net::Error error;
      auto socket = std::make_shared<net::Tcp::socket>(loop_);
      co_await acceptor_.async_accept(*socket, net::Into(error));
      if (error) co_return;
      ++connections_;
      net::Spawn(loop_, "scripted_connection", Answer(socket));
    }
  }

  net::Task<> Answer(std::shared_ptr<net::Tcp::socket> socket) {
    net::Error error;
    std::string buffer;
    while (!error) {
      if (read_) {
        const size_t size = co_await asio::async_read_until(*socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
                                                            net::Into(error));
        received_ += buffer.substr(0, size);
        buffer.clear();
      }
      if (!error) {
        co_await asio::async_write(*socket, asio::buffer(bytes_), net::Into(error));
      }
      if (ending_ != Ending::kKeepOpen) break;
    }
    if (ending_ == Ending::kShutDown) {
      socket->shutdown(net::Tcp::socket::shutdown_send, error);
      co_await net::Sleep(loop_, std::chrono::milliseconds(20));
    }
    if (ending_ == Ending::kReset) {
      co_await net::Sleep(loop_, std::chrono::milliseconds(20));
      socket->set_option(asio::socket_base::linger(true, 0), error);
    }
    socket->close(error);
  }

  asio::io_context& loop_;
  net::Tcp::acceptor acceptor_;
  std::string bytes_;
  Ending ending_;
  bool read_;
  int connections_ = 0;
  std::string received_;
};

/// Runs the loop with `task` until the task has ended. Returns false when `limit` has passed first.
inline bool RunTask(asio::io_context& loop, net::Task<> task,
                    std::chrono::milliseconds limit = std::chrono::seconds(5)) {
  bool done = false;
  net::Spawn(loop, "test", [](net::Task<> inner, bool* flag) -> net::Task<> {
    co_await std::move(inner);
    *flag = true;
  }(std::move(task), &done));
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done && std::chrono::steady_clock::now() < end) {
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(20));
  }
  return done;
}

/// The bytes that have arrived on the socket.
inline std::string ReadAvailable(net::Tcp::socket& socket) {
  std::string bytes(65536, '\0');
  net::Error ignored;  // nothing has arrived, or the peer has closed
  socket.non_blocking(true);
  bytes.resize(socket.read_some(asio::buffer(bytes), ignored));
  return bytes;
}

/// Runs the loop for `time`.
inline void RunFor(asio::io_context& loop, std::chrono::milliseconds time) {
  loop.restart();
  loop.run_for(time);
}

}  // namespace cornelplank::testing
