#include "tests/platform/entry_process.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using testing::EntryProcessTest;
using testing::RunFor;

constexpr size_t kBodyBytes = 8'000'000;  // more than the buffers of both sockets

/// Reads nothing for 4 s after a connection was made, and then reads one request and answers it.
net::Task<> ServeAfterAPause(asio::io_context& loop, net::Tcp::acceptor& acceptor) {
  constexpr std::chrono::seconds kPause{4};
  net::Error error;
  net::Tcp::socket socket(loop);
  co_await acceptor.async_accept(socket, net::Into(error));
  co_await net::Sleep(loop, kPause);
  std::string part(65536, '\0');
  size_t received = 0;
  while (!error && received < kBodyBytes) {
    received += co_await socket.async_read_some(asio::buffer(part), net::Into(error));
  }
  const std::string answer =
      "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nread";
  co_await asio::async_write(socket, asio::buffer(answer), net::Into(error));
}

// Guards against a request that may not be repeated and is given up, since its replica is alive but reads the
// body only when it begins to work on it.
TEST_F(EntryProcessTest, WaitsForAReplicaThatReadsLate) {
  const auto replace = [](std::string* text, const std::string& from, const std::string& to) {
    text->replace(text->find(from), from.size(), to);
  };
  std::string config = testing::ConfigText(4);
  replace(&config, R"("kind":"safe")", R"("kind":"unsafe")");
  replace(&config, R"("timeout_ms":2000)", R"("timeout_ms":9000)");
  replace(&config, R"("body_bytes":100000)", R"("body_bytes":9000000)");
  net::Tcp::acceptor replica(loop_, testing::Loopback());
  replica.set_option(asio::socket_base::receive_buffer_size(65536));
  net::Spawn(loop_, "replica", ServeAfterAPause(loop_, replica));
  StartStore();
  store_->Put("op/config", config);
  store_->Put("servers/i-1", testing::ReplicaText("svc", replica.local_endpoint()));
  Start(Settings());
  ASSERT_TRUE(WaitUntilReady());
  net::Tcp::socket client(loop_);
  client.connect(EndpointOf("clients"));
  const std::string request =
      "POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 77\r\nDeadline-Ms: 9000\r\nContent-Length: " +
      std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'x');
  net::Spawn(loop_, "client", [](net::Tcp::socket& to, const std::string& bytes) -> net::Task<> {
    net::Error ignored;  // the response shows whether the request was read
    co_await asio::async_write(to, asio::buffer(bytes), net::Into(ignored));
  }(client, request));
  RunFor(loop_, std::chrono::milliseconds(100));
  std::string response;
  WaitUntil([&] {
    client.non_blocking(true);
    char part[4096];
    net::Error error;
    response.append(part, client.read_some(asio::buffer(part), error));
    return response.ends_with("read") || (error && error != asio::error::would_block);
  });
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response << process_->Output();
}

}  // namespace
}  // namespace cornelplank
