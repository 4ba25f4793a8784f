#include <gtest/gtest.h>

#include "tests/platform/proxy_path.h"

namespace cornelplank {
namespace {

using std::chrono::milliseconds;
using testing::ProxyPath;
using testing::SequenceServer;

constexpr char kAnswer[] =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nResponse-Signature: s\r\nContent-Length: 1\r\n\r\na";
constexpr char kFull[] = "HTTP/1.1 503 Full\r\nAttempt-Id: 1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

struct HopRefusalCase {
  const char* name;
  const char* path;
  uint32_t attempts;
  double second_sends;
  bool near_sends;  // the nearer region's VM sends the request to its replica, which is full
  bool far_serves;
  int far_requests;
  const char* head;                     // of the response
  const char* reason;                   // of the refusal
  std::vector<std::string> homes = {};  // regions of the route's data
};
class HopRefusalTest : public ProxyPath, public ::testing::WithParamInterface<HopRefusalCase> {};

// Guards against a refusal by a VM that reached no replica, which uses up the request's attempts.
TEST_P(HopRefusalTest, CountsOnlyWhenAReplicaWasReached) {
  const auto& param = GetParam();
  SequenceServer first(loop, {{kFull, false, ""}});
  SequenceServer second(loop, {{kAnswer, false, ""}});
  hop_wait = milliseconds(150);
  Connect(first.Endpoint(), second.Endpoint(), true);
  ChangeConfig(*entry, [&](serving::RoutingConfig& config) {
    for (serving::RouteConfig& route : config.routes) {
      route.attempts = param.attempts;
      route.home_regions = param.homes;
    }
  });
  entry->proxy.SetSecondSendBurst(param.second_sends);
  if (!param.near_sends) remote[0]->proxy.BeginStop(clock.Now());
  if (!param.far_serves) remote[1]->proxy.BeginStop(clock.Now());
  const std::string response = Send(param.path, "1", milliseconds(100));
  EXPECT_TRUE(response.starts_with(param.head)) << response;
  EXPECT_EQ(first.requests(), param.near_sends ? 1 : 0);
  EXPECT_EQ(second.requests(), param.far_requests);
  EXPECT_EQ(std::string(entry->last_request.summary.reason), param.reason);
}

const char kServed[] = "HTTP/1.1 200 OK\r\n";

INSTANTIATE_TEST_SUITE_P(
    Refusals, HopRefusalTest,
    ::testing::Values(
        HopRefusalCase{"OfOneAttempt", "/once/a", 1, 100, false, true, 1, kServed, ""},
        HopRefusalCase{"WithoutRetryBudget", "/safe/a", 2, 0, false, true, 1, kServed, ""},
        HopRefusalCase{"ByAllRegions", "/safe/a", 4, 100, false, false, 0,
                       "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: 1\r\nRetry-After: 0.020",
                       "turned_away"},
        HopRefusalCase{"ByAllHomes",
                       "/safe/a",
                       4,
                       100,
                       false,
                       false,
                       0,
                       "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: 1\r\nRetry-After: 0.020",
                       "turned_away",
                       {"near", "far"}},
        HopRefusalCase{"ByAReplica", "/once/a", 1, 100, true, true, 0, "HTTP/1.1 503", "turned_away"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank
