#pragma once

#include <memory>
#include <string>

#include "tests/net/loopback.h"

namespace cornelplank::testing {

/// A server that answers each connection's first request with `start` and then repeats `part` until the
/// caller closes the connection.
class EndlessServer {
 public:
  EndlessServer(asio::io_context& loop, std::string start, std::string part)
      : loop_(loop), acceptor_(loop, Loopback()), start_(std::move(start)), part_(std::move(part)) {
    while (part_.size() < kWriteBytes) part_ += part_;
    net::Spawn(loop, "endless", Serve());
  }

  net::Tcp::endpoint Endpoint() const { return Loopback(acceptor_.local_endpoint().port()); }
  int connections() const { return connections_; }
  /// Bytes that the callers' side has taken so far.
  size_t sent() const { return sent_; }
  /// Number of connections that a caller has closed.
  int closed() const { return closed_; }

 private:
  static constexpr size_t kWriteBytes = 16384;

  net::Task<> Serve() {
    while (true) {
      net::Error error;
      auto socket = std::make_shared<net::Tcp::socket>(loop_);
      co_await acceptor_.async_accept(*socket, net::Into(error));
      if (error) co_return;
      ++connections_;
      net::Spawn(loop_, "endless_connection", Answer(socket));
    }
  }

  net::Task<> Answer(std::shared_ptr<net::Tcp::socket> socket) {
    net::Error error;
    std::string request;
    co_await asio::async_read_until(*socket, asio::dynamic_buffer(request), "\r\n\r\n", net::Into(error));
    if (!error) {
      co_await asio::async_write(*socket, asio::buffer(start_), net::Into(error));
    }
    while (!error) {
      sent_ += co_await asio::async_write(*socket, asio::buffer(part_), net::Into(error));
    }
    ++closed_;
  }

  asio::io_context& loop_;
  net::Tcp::acceptor acceptor_;
  std::string start_;
  std::string part_;
  int connections_ = 0;
  int closed_ = 0;
  size_t sent_ = 0;
};

}  // namespace cornelplank::testing
