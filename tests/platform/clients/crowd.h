#pragma once

#include <algorithm>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/net/loopback.h"

namespace cornelplank::testing {

/// What each client of a Crowd sends. It keeps its connection open afterwards and never reads.
struct ClientScript {
  size_t clients = 0;
  std::string start;
  std::chrono::milliseconds byte_interval{0};  // above 0: `start` is sent one byte at a time
  std::string piece;                           // sent `pieces` times after `start`
  size_t pieces = 0;
  std::string end;  // sent last, once all other clients have sent the rest as well
};

/// Concurrent clients that all follow the same script, from several loopback addresses.
class Crowd {
 public:
  Crowd(asio::io_context& loop, const net::Tcp::endpoint& server, ClientScript script)
      : state_(std::make_shared<State>(State{loop, server, std::move(script)})) {
    for (size_t i = 0; i < state_->script.clients; ++i) {
      sockets_.push_back(std::make_shared<net::Tcp::socket>(loop));
      const auto address = static_cast<uint32_t>(kFirstAddress + i % kAddresses);
      net::Spawn(loop, "crowd_client", Run(state_, sockets_.back(), {asio::ip::address_v4(address), 0}));
    }
  }
  ~Crowd() { Close(); }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Bytes that the kernel has taken from all clients.
  size_t sent() const { return state_->sent; }
  /// Number of clients that have connected.
  size_t connected() const { return state_->connected; }
  void Close() {
    net::Error ignored;  // the server may have closed first
    for (const auto& socket : sockets_) socket->close(ignored);
  }

 private:
  // 127.2.0.1 and the next ones: a bound on the connections of one address must not be what ends the crowd.
  static constexpr uint32_t kFirstAddress = 0x7f020001;
  static constexpr size_t kAddresses = 8;
  // Small, so that responses which aren't read soon stay in the server.
  static constexpr int kReceiveBufferBytes = 4096;
  static constexpr std::chrono::milliseconds kEndPollInterval{10};
  // In this time the server reads what it takes of the rest. Well below the timeout of a head.
  static constexpr std::chrono::milliseconds kEndDelay{300};

  struct State {
    asio::io_context& loop;
    net::Tcp::endpoint server;
    ClientScript script;
    size_t sent = 0;
    size_t connected = 0;
    size_t at_end = 0;  // clients that have sent all but `end`, or failed
  };

  static net::Task<> Run(std::shared_ptr<State> state, std::shared_ptr<net::Tcp::socket> socket,
                         net::Tcp::endpoint source) {
    net::Error error;
    co_await Connect(*state, *socket, source, error);
    const ClientScript& script = state->script;
    const bool slow = script.byte_interval.count() > 0;
    const size_t step = slow ? 1 : std::max<size_t>(1, script.start.size());
    for (size_t at = 0; at < script.start.size() && !error; at += step) {
      state->sent +=
          co_await asio::async_write(*socket, asio::buffer(&script.start[at], step), net::Into(error));
      if (slow) {
        co_await net::Sleep(state->loop, script.byte_interval);
      }
    }
    for (size_t i = 0; i < script.pieces && !error; ++i) {
      state->sent += co_await asio::async_write(*socket, asio::buffer(script.piece), net::Into(error));
    }
    ++state->at_end;
    while (!error && state->at_end < script.clients && socket->is_open()) {
      co_await net::Sleep(state->loop, kEndPollInterval);
    }
    if (!script.end.empty()) {
      co_await net::Sleep(state->loop, kEndDelay);
    }
    if (!error) {
      state->sent += co_await asio::async_write(*socket, asio::buffer(script.end), net::Into(error));
    }
  }

  static net::Task<> Connect(State& state, net::Tcp::socket& socket, net::Tcp::endpoint source,
                             net::Error& error) {
    socket.open(source.protocol(), error);
    if (!error) socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), error);
    if (!error) socket.set_option(net::Tcp::no_delay(true), error);
    if (!error) socket.bind(source, error);
    if (error) co_return;
    co_await socket.async_connect(state.server, net::Into(error));
    if (!error) ++state.connected;
  }

  std::shared_ptr<State> state_;
  std::vector<std::shared_ptr<net::Tcp::socket>> sockets_;
};

/// A replica that answers each request with the size of its body. On paths that end with "/large" the
/// response has `large_bytes` bytes; on paths that end with "/held" it comes after `kHoldTime`.
class EchoReplica final : public net::RequestHandler {
 public:
  EchoReplica(asio::io_context& loop, size_t large_bytes) : loop_(loop), large_body_(large_bytes, 'r') {
    net::Error error;
    server_ = net::HttpServer::Listen(loop, Loopback(), *this, &error);
    if (!server_) throw std::runtime_error(error.message());
    net::ServerLimits limits;
    limits.header_bytes = 32768;  // a head at the VM's limit, and what the VM adds to it
    server_->SetLimits(limits);
  }

  net::Tcp::endpoint Endpoint() const { return Loopback(server_->Port()); }

  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override {
    net::ResponseHead head;
    head.status = 200;
    head.headers.Add("Attempt-Id", std::string(request.headers.Find("Attempt-Id").value_or("")));
    head.headers.Add("Response-Signature", "s");
    if (request.target.ends_with("/held")) {
      co_await net::Sleep(loop_, kHoldTime);
    }
    const bool large = request.target.ends_with("/large");
    const std::string size = std::to_string(request.body.size());
    co_await writer.Send(head, large ? large_body_ : size);
  }

 private:
  // Longer than the process of a test needs to take in the requests of a crowd, below the timeout of a route.
  static constexpr std::chrono::seconds kHoldTime{3};

  asio::io_context& loop_;
  std::string large_body_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace cornelplank::testing
