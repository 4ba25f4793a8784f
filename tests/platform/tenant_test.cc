#include "tests/platform/tenant_path.h"

namespace cornelplank {
namespace {

using std::chrono::milliseconds;
using testing::MakeTenant;
using testing::ScriptedServer;
using testing::TenantPath;
using Ending = ScriptedServer::Ending;

struct KeyCase {
  const char* name;
  const char* path;
  const char* headers;  // of the request
  const char* status;
  const char* tenant;  // that the replica is told; empty: none
};
class KeyTest : public TenantPath, public ::testing::WithParamInterface<std::tuple<KeyCase, bool>> {};

// Guards against requests without a valid key that run, and against replicas that see a key or a tenant's
// name that the client has made up.
TEST_P(KeyTest, NamesTheTenant) {
  const auto& [param, over_hops] = GetParam();
  ScriptedServer replica(loop, Answer("body"), Ending::kKeepOpen);
  Connect(replica.Endpoint(), replica.Endpoint(), over_hops);
  SetTenantsEverywhere({MakeTenant("a", {"key-a", "both"}), MakeTenant("b", {"key-b", "both"})});
  const std::string response = SendKey(param.path, param.headers);
  EXPECT_EQ(Status(response), param.status) << response;
  const std::string& received = replica.received();
  EXPECT_EQ(received.empty(), std::string(param.status) != "200") << received;
  const std::string tenant = "\r\nTenant: " + std::string(param.tenant) + "\r\n";
  EXPECT_EQ(Has(received, "\r\nTenant:"), *param.tenant != '\0') << received;
  EXPECT_TRUE(*param.tenant == '\0' || Has(received, tenant)) << received;
  for (const char* secret : {"X-Api-Key", "x-api-key", "key-", "forged", "Cornelplank"}) {
    EXPECT_FALSE(Has(received, secret)) << received;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Keys, KeyTest,
    ::testing::Combine(
        ::testing::Values(
            KeyCase{"Known", "/once/a", "X-Api-Key: key-a\r\n", "200", "a"},
            KeyCase{"LowerCaseName", "/once/a", "x-api-key: key-b\r\n", "200", "b"},
            KeyCase{"ForgedTenant", "/once/a", "Tenant: forged\r\nX-Api-Key: key-a\r\n", "200", "a"},
            KeyCase{"Missing", "/once/a", "", "401", ""},
            KeyCase{"Unknown", "/once/a", "X-Api-Key: key-c\r\n", "401", ""},
            KeyCase{"Empty", "/once/a", "X-Api-Key:\r\n", "401", ""},
            KeyCase{"OfTwoTenants", "/once/a", "X-Api-Key: both\r\n", "401", ""},
            KeyCase{"TwoKeys", "/once/a", "X-Api-Key: key-a\r\nX-Api-Key: key-b\r\n", "401", ""},
            KeyCase{"NameAsKey", "/once/a", "X-Api-Key: a\r\n", "401", ""},
            KeyCase{"NoRoute", "/none/a", "X-Api-Key: key-a\r\n", "404", ""},
            KeyCase{"TenantWithoutKey", "/once/a", "Tenant: a\r\nCornelplank-Tenant: a\r\n", "401", ""},
            KeyCase{"PublicWithout", "/safe/a", "Tenant: forged\r\nCornelplank-Tenant: forged\r\n", "200",
                    ""},
            KeyCase{"PublicUnknown", "/safe/a", "X-Api-Key: key-c\r\n", "200", ""},
            KeyCase{"PublicKnown", "/safe/a", "X-Api-Key: key-a\r\n", "200", "a"}),
        ::testing::Bool()),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + (std::get<1>(info.param) ? "OverAHop" : "");
    });

// Guards against a change of what replicas get in deployments without tenants.
TEST_F(TenantPath, PassesAllHeadersWithoutTenants) {
  ScriptedServer replica(loop, Answer("body"), Ending::kKeepOpen);
  Connect(replica.Endpoint(), replica.Endpoint(), false);
  EXPECT_EQ(Status(SendKey("/once/a", "x-api-key: k\r\nTENANT: t\r\nTenant: u\r\n")), "200");
  const std::string& received = replica.received();
  const size_t deadline = received.find("\r\nDeadline-Ms: ");
  ASSERT_NE(deadline, std::string::npos);
  EXPECT_EQ(received.substr(0, deadline),
            "POST /once/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 77\r\nx-api-key: k\r\nTENANT: t\r\n"
            "Tenant: u");
  EXPECT_EQ(received.substr(received.find("\r\n", deadline + 2)),
            "\r\nExpected-Instance: first\r\nRequest-Priority: 0\r\nContent-Length: 2\r\n\r\n");
}

struct PriorityCase {
  const char* name;
  std::optional<int> tenant;
  const char* expected;
};
class TenantPriorityTest : public TenantPath,
                           public ::testing::WithParamInterface<std::tuple<PriorityCase, bool>> {};

// Guards against the route's priority for the requests of a tenant that has one of its own.
TEST_P(TenantPriorityTest, GoesBeforeTheRoutes) {
  const auto& [param, over_hops] = GetParam();
  ScriptedServer replica(loop, Answer("body"), Ending::kKeepOpen);
  Connect(replica.Endpoint(), replica.Endpoint(), over_hops);
  auto tenant = MakeTenant("a", {"key-a"});
  tenant.tenant.priority = param.tenant;
  SetTenantsEverywhere({tenant});
  for (testing::ProxyVm* vm : {entry.get(), over_hops ? remote[0].get() : entry.get()}) {
    ChangeConfig(*vm, [](serving::RoutingConfig& config) {
      for (auto& route : config.routes) route.priority = 2;
    });
  }
  EXPECT_EQ(Status(SendKey("/once/a", "X-Api-Key: key-a\r\nRequest-Priority: 7\r\n")), "200");
  EXPECT_TRUE(Has(replica.received(), "\r\nRequest-Priority: " + std::string(param.expected) + "\r\n"))
      << replica.received();
}

INSTANTIATE_TEST_SUITE_P(Priorities, TenantPriorityTest,
                         ::testing::Combine(::testing::Values(PriorityCase{"None", {}, "2"},
                                                              PriorityCase{"MoreUrgent", 0, "0"},
                                                              PriorityCase{"LessUrgent", 4, "4"}),
                                            ::testing::Bool()),
                         [](const auto& info) {
                           return std::string(std::get<0>(info.param).name) +
                                  (std::get<1>(info.param) ? "OverAHop" : "");
                         });

struct KeyDenialCase {
  const char* name;
  milliseconds confirmed_before;       // of the request
  bool read_failed;                    // reads have failed for some seconds
  milliseconds newer_heard_before{0};  // another VM has a newer version; 0: none has
  bool key_arrives = false;            // the newer version, with the key, is read 50 ms later
  const char* expected_status;
};
class KeyDenialTest : public TenantPath, public ::testing::WithParamInterface<KeyDenialCase> {};

// Guards against a 401 by an outdated configuration for a key that the newest version has.
TEST_P(KeyDenialTest, NeedsAConfirmedConfiguration) {
  ScriptedServer replica(loop, Answer("body"), Ending::kKeepOpen);
  Connect(replica.Endpoint(), replica.Endpoint(), false);
  SetTenants(*entry, {});
  auto& freshness = entry->registry.config_freshness();
  freshness.OnConfirmed(clock.Now() - GetParam().confirmed_before);
  if (GetParam().read_failed) freshness.OnReadFailed(clock.Now() - std::chrono::seconds(4));
  if (GetParam().newer_heard_before.count() > 0) {
    freshness.OnVersionHeard(entry->registry.config()->version + 1,
                             clock.Now() - GetParam().newer_heard_before);
  }
  net::asio::steady_timer read(loop, milliseconds(50));
  if (GetParam().key_arrives) {
    read.async_wait([&](const net::Error&) {
      SetTenants(*entry, {MakeTenant("a", {"key-a"})});
      freshness.OnConfirmed(clock.Now());
    });
  }
  const std::string response = SendKey("/once/a", "X-Api-Key: key-a\r\n");
  EXPECT_EQ(Status(response), GetParam().expected_status) << response;
  EXPECT_EQ(Has(response, "Retry-After: "), Status(response) == "503") << response;
  EXPECT_EQ(replica.connections(), Status(response) == "200" ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
    States, KeyDenialTest,
    ::testing::Values(
        KeyDenialCase{"Confirmed", milliseconds(1000), false, {}, false, "401"},
        KeyDenialCase{"NewerVersionOnItsWay", milliseconds(100), false, milliseconds(20), true, "200"},
        KeyDenialCase{"NewerVersionMissed", milliseconds(100), false, milliseconds(1500), false, "503"},
        KeyDenialCase{"NotConfirmed", milliseconds(7000), false, {}, false, "503"},
        KeyDenialCase{"ConfirmedMeanwhile", milliseconds(7000), false, {}, true, "200"},
        KeyDenialCase{"StoreUnreachable", milliseconds(7000), true, {}, false, "503"}),
    [](const auto& info) { return info.param.name; });

struct TenantHomeCase {
  const char* name;
  std::vector<std::string> route_homes;
  std::vector<std::string> tenant_homes;
  std::vector<std::string> remote_homes;  // of the tenant, by the configuration of the other regions' VMs
  const char* expected_status;
  const char* server;  // of the replica that runs the request; empty: none
};
class TenantHomeTest : public TenantPath, public ::testing::WithParamInterface<TenantHomeCase> {};

// Guards against requests that are processed in a region which their route or their tenant doesn't allow, by
// the VM that takes the request or by the one that serves it.
TEST_P(TenantHomeTest, BindsRequestsToRegions) {
  ScriptedServer near(loop, Answer("near"), Ending::kKeepOpen);
  ScriptedServer far(loop, Answer("far"), Ending::kKeepOpen);
  Connect(near.Endpoint(), far.Endpoint(), true);
  for (auto& region : hops.regions) region.wait /= 100;  // both within the time of the request
  const auto configure = [&](testing::ProxyVm& vm, const std::vector<std::string>& homes) {
    auto tenant = MakeTenant("a", {"key-a"});
    tenant.tenant.home_regions = homes;
    SetTenants(vm, {tenant});
    ChangeConfig(vm, [](serving::RoutingConfig& config) {
      for (auto& route : config.routes) route.home_regions = GetParam().route_homes;
    });
  };
  configure(*entry, GetParam().tenant_homes);
  for (const auto& vm : remote) configure(*vm, GetParam().remote_homes);
  const std::string response = SendKey("/once/a", "X-Api-Key: key-a\r\n");
  EXPECT_EQ(Status(response), GetParam().expected_status) << response;
  EXPECT_TRUE(Has(response, GetParam().server)) << response;
  EXPECT_EQ(near.connections(), std::string(GetParam().server) == "near" ? 1 : 0);
  EXPECT_EQ(far.connections(), std::string(GetParam().server) == "far" ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
    Homes, TenantHomeTest,
    ::testing::Values(TenantHomeCase{"Anywhere", {}, {}, {}, "200", "near"},
                      TenantHomeCase{"OfTheTenant", {}, {"far"}, {"far"}, "200", "far"},
                      TenantHomeCase{"OfTheRoute", {"far"}, {}, {}, "200", "far"},
                      TenantHomeCase{"OfBoth", {"near", "far"}, {"own", "far"}, {"far"}, "200", "far"},
                      TenantHomeCase{"OfBothWithoutACommonOne", {"near"}, {"far"}, {"far"}, "503", ""},
                      TenantHomeCase{"OnlyTheOwn", {}, {"own"}, {"own"}, "503", ""},
                      TenantHomeCase{"ForbiddenByTheOtherVm", {}, {"far"}, {"near"}, "503", ""},
                      TenantHomeCase{"OneVmForbids", {}, {}, {"far"}, "200", "far"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank
