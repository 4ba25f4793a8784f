#include <nlohmann/json.hpp>

#include "tests/platform/entry_process.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using testing::EntryProcessTest;
using testing::RunFor;
using testing::ScriptedServer;

const char kResponse[] =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody";

class TenantProcessTest : public EntryProcessTest {
 protected:
  /// The configuration with the tenants 0 to `count` - 1, whose keys are "secret-" and their number.
  static std::string ConfigWithTenants(int version, int count) {
    auto json = nlohmann::json::parse(testing::ConfigText(version));
    json["tenants"] = nlohmann::json::array();
    for (int tenant = 0; tenant < count; ++tenant) {
      const std::string number = std::to_string(tenant);
      json["tenants"].push_back({{"name", "tenant-" + number}, {"api_keys", {"secret-" + number}}});
    }
    return json.dump();
  }

  /// The status of a request with the key of the tenant, on `socket`.
  std::string Send(net::Tcp::socket& socket, int tenant) {
    asio::write(socket, asio::buffer("GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 77\r\nX-Api-Key: "
                                     "secret-" +
                                     std::to_string(tenant) + "\r\n\r\n"));
    std::string response;
    WaitUntil([&] {
      response += testing::ReadAvailable(socket);
      return response.find("\r\n\r\n") != std::string::npos;
    });
    return response.size() < 12 ? "" : response.substr(9, 3);
  }
};

// Guards against metrics that grow with each tenant, keys in logs or metrics, and a key that works on an open
// connection after the store's configuration has lost it.
TEST_F(TenantProcessTest, BoundsItsMetricsAndForgetsRemovedKeys) {
  constexpr int kTenants = 120;
  ScriptedServer replica(loop_, kResponse, ScriptedServer::Ending::kKeepOpen);
  StartStore();
  store_->Put("op/config", ConfigWithTenants(4, kTenants));
  store_->Put("servers/i-1", testing::ReplicaText("svc", replica.Endpoint()));
  std::string settings = Settings() + "strict_revocation=True\nrevocation_bound=5000.0ms\n";
  Start(settings);
  ASSERT_TRUE(WaitUntilStatus("401"));
  net::Tcp::socket socket(loop_);
  socket.connect(EndpointOf("clients"));
  for (int tenant = 0; tenant < kTenants; ++tenant) ASSERT_EQ(Send(socket, tenant), "200") << tenant;
  const std::string metrics = SendRequest("metrics", "/metrics");
  size_t series = 0;
  for (size_t at = 0; (at = metrics.find("\ncornelplank_tenant_requests_total{", at)) != std::string::npos;) {
    ++series;
    ++at;
  }
  EXPECT_EQ(series, 101U);
  EXPECT_NE(metrics.find("tenant=\"(others)\"} 20\n"), std::string::npos);
  store_->Put("op/config", ConfigWithTenants(5, 1));
  const auto removed_at = std::chrono::steady_clock::now();
  EXPECT_TRUE(WaitUntil([&] { return Send(socket, 1) == "401"; }));
  EXPECT_LT(std::chrono::steady_clock::now() - removed_at, std::chrono::seconds(5));
  EXPECT_EQ(Send(socket, 0), "200");
  for (const std::string& text : {metrics, process_->Output(), process_->Errors(), replica.received()}) {
    EXPECT_EQ(text.find("secret-"), std::string::npos);
  }
}

}  // namespace
}  // namespace cornelplank
