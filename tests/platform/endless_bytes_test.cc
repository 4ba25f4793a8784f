#include <gtest/gtest.h>

#include <tuple>

#include "tests/net/endless_server.h"
#include "tests/platform/proxy_path.h"
#include "tests/platform/vm_under_test.h"

namespace cornelplank {
namespace {

using testing::EndlessServer;
using testing::ProxyPath;

constexpr size_t kMaxTaken =
    24 << 20;  // the greatest limit of a body, and the buffers of the sockets on the way

struct EndlessBytesCase {
  const char* name;
  std::string start;  // of the answer
  std::string part;   // repeated until the caller closes the connection
};

std::string Chunked(const std::string& rest, const std::string& type = "text/plain") {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nResponse-Signature: s\r\nContent-Type: " + type +
         "\r\nTransfer-Encoding: chunked\r\n\r\n" + rest;
}

const char kStream[] = "text/event-stream";
const char kEventChunk[] = "f\r\nid: 1\ndata: a\n\n\r\n";

enum class Sender { kReplica, kReplicaBehindHop, kPeer };

const char* SenderName(Sender sender) {
  return sender == Sender::kReplica ? "" : sender == Sender::kPeer ? "OfAPeer" : "BehindAHop";
}

class EndlessPathTest : public ProxyPath,
                        public ::testing::WithParamInterface<std::tuple<EndlessBytesCase, Sender>> {};

// Guards against a VM whose memory a replica or another VM uses up by bytes without end, and against a client
// that takes what came before them for a whole answer.
TEST_P(EndlessPathTest, IsGivenUp) {
  const auto& [param, sender] = GetParam();
  EndlessServer server(loop, param.start, param.part);
  net::Tcp::acceptor unused(loop, testing::Loopback());
  Connect(server.Endpoint(), unused.local_endpoint(), sender != Sender::kReplica);
  if (sender == Sender::kPeer) hops.vms["near"] = server.Endpoint();
  const std::string response = Send("/once/a", "2", std::chrono::milliseconds(1500));
  EXPECT_LE(server.sent(), kMaxTaken);
  EXPECT_EQ(server.connections(), 1);
  EXPECT_EQ(server.closed(), 1);
  const bool stream = param.start.find(kStream) != std::string::npos;
  EXPECT_TRUE(response.starts_with(stream ? "HTTP/1.1 200" : "HTTP/1.1 502")) << response.substr(0, 200);
  EXPECT_EQ(response.find("\r\n0\r\n"), std::string::npos) << response.substr(0, 400);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, EndlessPathTest,
    ::testing::Combine(
        ::testing::Values(EndlessBytesCase{"ChunkSize", Chunked(""), "0000"},
                          EndlessBytesCase{"ChunkExtension", Chunked("2;x="), "aaaa"},
                          EndlessBytesCase{"TrailerLine", Chunked("2\r\nhi\r\n0\r\nX: "), "aaaa"},
                          EndlessBytesCase{"Trailers", Chunked("2\r\nhi\r\n0\r\n"), "X: a\r\n"},
                          EndlessBytesCase{"StreamChunkExtension",
                                           Chunked(std::string(kEventChunk) + "2;x=", kStream), "aaaa"},
                          EndlessBytesCase{"StreamTrailerLine",
                                           Chunked(std::string(kEventChunk) + "0\r\nX: ", kStream), "aaaa"}),
        ::testing::Values(Sender::kReplica, Sender::kReplicaBehindHop, Sender::kPeer)),
    [](const auto& info) {
      return std::get<0>(info.param).name + std::string(SenderName(std::get<1>(info.param)));
    });

class EndlessPageTest : public ::testing::TestWithParam<EndlessBytesCase> {};

// Guards against a VM whose memory the store, or the mirror of another VM, uses up by a page without end.
TEST_P(EndlessPageTest, IsGivenUp) {
  net::asio::io_context loop{1};
  base::SystemClock clock;
  EndlessServer server(loop, GetParam().start, GetParam().part);
  platform::StoreClient client(loop, clock);
  platform::StorePage page;
  ASSERT_TRUE(testing::RunTask(
      loop,
      [](auto& caller, net::Tcp::endpoint endpoint, auto* out) -> net::Task<> {
        *out = co_await caller.List(endpoint, "op/", "", platform::StoreClient::kListTimeout);
      }(client, server.Endpoint(), &page),
      std::chrono::seconds(30)));
  EXPECT_EQ(page.status, platform::StoreStatus::kUnreachable);
  EXPECT_LE(server.sent(), kMaxTaken);
}

INSTANTIATE_TEST_SUITE_P(
    Pages, EndlessPageTest,
    ::testing::Values(EndlessBytesCase{"Head", "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
                      EndlessBytesCase{"Body", "HTTP/1.1 200 OK\r\n\r\n[", "0,0,"},
                      EndlessBytesCase{"ChunkSize", Chunked(""), "0000"},
                      EndlessBytesCase{"ChunkExtension", Chunked("2;x="), "aaaa"},
                      EndlessBytesCase{"TrailerLine", Chunked("2\r\n{}\r\n0\r\nX: "), "aaaa"},
                      EndlessBytesCase{"Trailers", Chunked("2\r\n{}\r\n0\r\n"), "X: a\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cornelplank
