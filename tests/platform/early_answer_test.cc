#include <gtest/gtest.h>
#include <netinet/tcp.h>

#include "tests/platform/proxy_path.h"

namespace cornelplank {
namespace {

using testing::Loopback;
using testing::ProxyPath;

/// How a replica's connection ends after the first part of its answer.
enum class Crash {
  kLate,          // reset after 150 ms
  kAtOnce,        // reset at once
  kWhileReading,  // closed after all that had arrived was read, as the kernel does for a process that crashes
};

/// A replica that answers before it has read the body of a request, and then crashes.
class CrashingReplica {
 public:
  CrashingReplica(net::asio::io_context& loop, std::string answer, Crash crash)
      : loop_(loop), acceptor_(loop, Loopback()), answer_(std::move(answer)), crash_(crash) {
    // Small segments and a small buffer, so that most of the body waits in the sender.
    acceptor_.set_option(net::asio::socket_base::receive_buffer_size(65536));
    acceptor_.set_option(net::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(1460));
    net::Spawn(loop, "crashing_replica", Serve());
  }

  net::Tcp::endpoint Endpoint() const { return Loopback(acceptor_.local_endpoint().port()); }
  size_t read() const { return read_; }

 private:
  net::Task<> Serve() {
    net::Error error;
    net::Tcp::socket socket(loop_);
    co_await acceptor_.async_accept(socket, net::Into(error));
    std::string request;
    co_await net::asio::async_read_until(socket, net::asio::dynamic_buffer(request, 65536), "\r\n\r\n",
                                         net::Into(error));
    co_await net::asio::async_write(socket, net::asio::buffer(answer_), net::Into(error));
    if (crash_ == Crash::kLate) {
      co_await net::Sleep(loop_, std::chrono::milliseconds(150));
    }
    if (crash_ == Crash::kWhileReading) {
      ReadAll(socket);
    } else {
      socket.set_option(net::asio::socket_base::linger(true, 0), error);
    }
    socket.close(error);
  }

  void ReadAll(net::Tcp::socket& socket) {
    net::Error error;
    std::array<char, 65536> dropped;
    socket.non_blocking(true);
    while (!error) read_ += socket.read_some(net::asio::buffer(dropped), error);
  }

  net::asio::io_context& loop_;
  net::Tcp::acceptor acceptor_;
  std::string answer_;
  Crash crash_;
  size_t read_ = 0;
};

struct CrashCase {
  const char* name;
  Crash crash;
};
struct EarlyAnswerCase {
  const char* name;
  const char* path;
  const char* type;  // of the answer
  bool whole_head;   // the client's response is a whole one with status 502
};
class EarlyAnswerTest
    : public ProxyPath,
      public ::testing::WithParamInterface<std::tuple<EarlyAnswerCase, CrashCase, bool, bool>> {};

// Guards against half of an answer that the client takes for the whole one.
TEST_P(EarlyAnswerTest, ThatIsResetIsNotWhole) {
  constexpr size_t kBodyBytes = 4'000'000;
  const auto& [param, crash, chunked, over_hops] = GetParam();
  CrashingReplica replica(loop,
                          std::string("HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nResponse-Signature: s\r\n"
                                      "Connection: close\r\nContent-Type: ") +
                              param.type + "\r\n\r\nid: 1\ndata: a\n\n",
                          crash.crash);
  net::Tcp::acceptor unused(loop, Loopback());
  Connect(replica.Endpoint(), unused.local_endpoint(), over_hops);
  const std::string body(kBodyBytes, 'x');
  const std::string response = Send(param.path, "2", std::chrono::milliseconds(600), body, "", chunked);
  EXPECT_TRUE(response.starts_with(param.whole_head ? "HTTP/1.1 502" : "HTTP/1.1 200")) << response;
  EXPECT_EQ(response.find("data: a") == std::string::npos, param.whole_head) << response;
  EXPECT_EQ(response.find("\r\n0\r\n"), std::string::npos) << response;
  EXPECT_LT(replica.read(), kBodyBytes);
}

std::string EarlyAnswerName(const ::testing::TestParamInfo<EarlyAnswerTest::ParamType>& info) {
  const auto& [answer, crash, chunked, over_hops] = info.param;
  return std::string(answer.name) + crash.name + (chunked ? "Chunked" : "Sized") +
         (over_hops ? "OverAHop" : "");
}

INSTANTIATE_TEST_SUITE_P(
    Answers, EarlyAnswerTest,
    ::testing::Combine(::testing::Values(EarlyAnswerCase{"Once", "/once/a", "text/plain", true},
                                         EarlyAnswerCase{"Stream", "/once/a", "text/event-stream", false}),
                       ::testing::Values(CrashCase{"Late", Crash::kLate}, CrashCase{"AtOnce", Crash::kAtOnce},
                                         CrashCase{"WhileReading", Crash::kWhileReading}),
                       ::testing::Bool(), ::testing::Bool()),
    EarlyAnswerName);

}  // namespace
}  // namespace cornelplank
