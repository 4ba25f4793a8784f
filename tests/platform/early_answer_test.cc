#include <gtest/gtest.h>
#include <netinet/tcp.h>

#include "tests/platform/proxy_path.h"

namespace cornelplank {
namespace {

using testing::Loopback;
using testing::ProxyPath;

/// A replica that answers before it has read the body of a request, and then resets the connection, as the
/// kernel does for a process that crashes with unread bytes.
class CrashingReplica {
 public:
  CrashingReplica(net::asio::io_context& loop, std::string answer)
      : loop_(loop), acceptor_(loop, Loopback()), answer_(std::move(answer)) {
    // Small segments and a small buffer, so that most of the body waits in the sender.
    acceptor_.set_option(net::asio::socket_base::receive_buffer_size(65536));
    acceptor_.set_option(net::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(1460));
    net::Spawn(loop, "crashing_replica", Serve());
  }

  net::Tcp::endpoint Endpoint() const { return Loopback(acceptor_.local_endpoint().port()); }

 private:
  net::Task<> Serve() {
    net::Error error;
    net::Tcp::socket socket(loop_);
    co_await acceptor_.async_accept(socket, net::Into(error));
    std::string request;
    co_await net::asio::async_read_until(socket, net::asio::dynamic_buffer(request, 65536), "\r\n\r\n",
                                         net::Into(error));
    co_await net::asio::async_write(socket, net::asio::buffer(answer_), net::Into(error));
    co_await net::Sleep(loop_, std::chrono::milliseconds(150));
    socket.set_option(net::asio::socket_base::linger(true, 0), error);
    socket.close(error);
  }

  net::asio::io_context& loop_;
  net::Tcp::acceptor acceptor_;
  std::string answer_;
};

struct EarlyAnswerCase {
  const char* name;
  const char* path;
  const char* type;  // of the answer
  bool whole_head;   // the client's response is a whole one with status 502
};
class EarlyAnswerTest : public ProxyPath,
                        public ::testing::WithParamInterface<std::tuple<EarlyAnswerCase, bool>> {};

// Guards against half of an answer that the client takes for the whole one.
TEST_P(EarlyAnswerTest, ThatIsResetIsNotWhole) {
  const auto& [param, over_hops] = GetParam();
  CrashingReplica replica(loop, std::string("HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nResponse-Signature: s\r\n"
                                            "Connection: close\r\nContent-Type: ") +
                                    param.type + "\r\n\r\nid: 1\ndata: a\n\n");
  net::Tcp::acceptor unused(loop, Loopback());
  Connect(replica.Endpoint(), unused.local_endpoint(), over_hops);
  const std::string response =
      Send(param.path, "2", std::chrono::milliseconds(600), std::string(4000000, 'x'));
  EXPECT_TRUE(response.starts_with(param.whole_head ? "HTTP/1.1 502" : "HTTP/1.1 200")) << response;
  EXPECT_EQ(response.find("data: a") == std::string::npos, param.whole_head) << response;
  EXPECT_EQ(response.find("\r\n0\r\n"), std::string::npos) << response;
}

INSTANTIATE_TEST_SUITE_P(
    Answers, EarlyAnswerTest,
    ::testing::Combine(::testing::Values(EarlyAnswerCase{"Once", "/once/a", "text/plain", true},
                                         EarlyAnswerCase{"Stream", "/once/a", "text/event-stream", false}),
                       ::testing::Bool()),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + (std::get<1>(info.param) ? "OverAHop" : "");
    });

}  // namespace
}  // namespace cornelplank
