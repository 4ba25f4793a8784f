#include "tests/platform/entry_process.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using testing::EntryProcessTest;
using testing::ScriptedServer;

// Guards against the end of the process, and with it of all its connections, when no further connection to a
// replica may be opened.
TEST_F(EntryProcessTest, ServesWithAFullConnectionPool) {
  constexpr int kReplicas = 8;  // twice as many as the connections to replicas that 64 descriptors allow
  constexpr int kRounds = 40;
  std::string settings = Settings();
  settings.insert(settings.find("[listen]"), "descriptors=64\n");
  StartStore();
  std::vector<std::unique_ptr<ScriptedServer>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<ScriptedServer>(
        loop_, "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody",
        ScriptedServer::Ending::kKeepOpen));
    store_->Put("servers/i-" + std::to_string(i), testing::ReplicaText("svc", replicas.back()->Endpoint()));
  }
  Start(settings);
  ASSERT_TRUE(WaitUntilReady());
  ASSERT_TRUE(WaitUntilStatus("200"));
  std::vector<net::Tcp::socket> clients;
  for (int i = 0; i < 2; ++i) clients.emplace_back(loop_).connect(EndpointOf("clients"));
  const std::string request =
      "GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 77\r\nDeadline-Ms: 2000\r\n\r\n";
  for (int round = 0; round < kRounds; ++round) {
    for (auto& client : clients) asio::write(client, asio::buffer(request));
    for (auto& client : clients) {
      std::string answer;
      WaitUntil([&] { return (answer += testing::ReadAvailable(client)).ends_with("body"); });
      ASSERT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer << process_->Output();
    }
  }
  EXPECT_TRUE(process_->running());
}

}  // namespace
}  // namespace cornelplank
