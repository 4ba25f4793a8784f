#include "tests/platform/tenant_path.h"

namespace cornelplank {
namespace {

using std::chrono::milliseconds;
using testing::MakeTenant;
using testing::ScriptedServer;
using testing::SequenceServer;
using testing::TenantPath;
using Ending = ScriptedServer::Ending;

const char kKey[] = "X-Api-Key: key-a\r\n";

// Guards against a key that works on a connection after it has been removed, because the connection or its
// earlier requests have been accepted with it.
TEST_F(TenantPath, RefusesARemovedKeyOnAKeptConnection) {
  ScriptedServer replica(loop, Answer("body"), Ending::kKeepOpen);
  Connect(replica.Endpoint(), replica.Endpoint(), false);
  SetTenants(*entry, {MakeTenant("a", {"key-a"})});
  net::Tcp::socket socket(loop);
  socket.connect(testing::Loopback(entry->server->Port()));
  const auto send = [&] {
    net::asio::write(socket,
                     net::asio::buffer("GET /once/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 77\r\n" +
                                       std::string(kKey) + "\r\n"));
    testing::RunFor(loop, kTime);
    return Status(testing::ReadAvailable(socket));
  };
  EXPECT_EQ(send(), "200");
  SetTenants(*entry, {MakeTenant("a", {"key-b"})});
  EXPECT_EQ(send(), "401");
}

// Guards against a send with a key that is removed after the placement, while the connection is established.
TEST_F(TenantPath, RefusesAKeyThatIsRemovedBeforeTheSend) {
  ScriptedServer replica(loop, Answer("body"), Ending::kKeepOpen);
  Connect(replica.Endpoint(), replica.Endpoint(), true);
  SetTenantsEverywhere({MakeTenant("a", {"key-a"})});
  hops.on_pick = [this] { SetTenants(*entry, {MakeTenant("a", {"key-b"})}); };
  EXPECT_EQ(Status(SendKey("/once/a", kKey)), "401");
  EXPECT_EQ(replica.connections(), 0);
}

enum class Change {
  kNone,
  kKeyRemoved,
  kTenantsAdded,     // to a configuration without tenants, without the key
  kTenantsRemoved,   // from the configuration
  kKeyMoved,         // to the tenant b
  kHomesMoved,       // of the tenant, to another region
  kRouteMadePublic,  // and the key removed
};
struct WaitCase {
  const char* name;
  const char* path;
  std::string first;  // response of the replica that is tried first, 30 ms after its arrival
  Change change;      // within these 30 ms
  bool newer_heard;   // another VM has a still newer version
  const char* expected_status;
  int second_sends;
  const char* tenant;  // that the second replica is told
};
class WaitingRequestTest : public TenantPath, public ::testing::WithParamInterface<WaitCase> {
 protected:
  void Apply(Change change) {
    auto tenant = MakeTenant("a", {"key-a"});
    if (change == Change::kHomesMoved) tenant.tenant.home_regions = {"elsewhere"};
    switch (change) {
      case Change::kNone:
        return;
      case Change::kKeyRemoved:
      case Change::kTenantsAdded:
        return SetTenants(*entry, {MakeTenant("a", {"key-b"})});
      case Change::kTenantsRemoved:
        return ChangeConfig(*entry, [](serving::RoutingConfig& config) { config.tenants = nullptr; });
      case Change::kKeyMoved:
        return SetTenants(*entry, {MakeTenant("a", {}), MakeTenant("b", {"key-a"})});
      case Change::kHomesMoved:
        return SetTenants(*entry, {tenant});
      case Change::kRouteMadePublic:
        SetTenants(*entry, {});
        return ChangeConfig(*entry, [](serving::RoutingConfig& config) {
          for (auto& route : config.routes) route.open_to_all = true;
        });
    }
  }
};

// Guards against a further send of a request whose key, tenant or homes have changed since its arrival, and
// against a refusal that promises more than is known: a request that may have run keeps its unknown outcome.
TEST_P(WaitingRequestTest, FollowsTheNewestConfiguration) {
  const auto& param = GetParam();
  // The replica reads the request's head and body and answers 30 ms later.
  SequenceServer first(loop, {{"", false, param.first}});
  ScriptedServer second(loop, Answer("second"), Ending::kKeepOpen);
  Connect(first.Endpoint(), second.Endpoint(), false);
  if (param.change != Change::kTenantsAdded) SetTenants(*entry, {MakeTenant("a", {"key-a"})});
  net::asio::steady_timer timer(loop, milliseconds(15));
  timer.async_wait([&](const net::Error&) {
    Apply(param.change);
    auto& freshness = entry->registry.config_freshness();
    if (param.newer_heard) freshness.OnVersionHeard(entry->registry.config()->version + 1, clock.Now());
  });
  const std::string response = SendKey(param.path, kKey);
  EXPECT_EQ(Status(response), param.expected_status) << response;
  EXPECT_EQ(first.requests(), 1);
  EXPECT_EQ(second.connections(), param.second_sends);
  const std::string tenant = std::string("\r\nTenant: ") + param.tenant + "\r\n";
  EXPECT_EQ(Has(second.received(), "\r\nTenant:"), *param.tenant != '\0') << second.received();
  EXPECT_TRUE(*param.tenant == '\0' || Has(second.received(), tenant)) << second.received();
  EXPECT_FALSE(Has(second.received(), "key-a")) << second.received();
}

const char kNotRun[] = "HTTP/1.1 503 Full\r\nAttempt-Id: 77\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const char kGarbage[] = "garbage\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Changes, WaitingRequestTest,
    ::testing::Values(
        WaitCase{"None", "/once/a", kNotRun, Change::kNone, false, "200", 1, "a"},
        WaitCase{"KeyRemoved", "/once/a", kNotRun, Change::kKeyRemoved, false, "401", 0, ""},
        WaitCase{"KeyRemovedNotTheNewest", "/once/a", kNotRun, Change::kKeyRemoved, true, "503", 0, ""},
        WaitCase{"KeyRemovedMayHaveRun", "/stream/a", kGarbage, Change::kKeyRemoved, false, "502", 0, ""},
        WaitCase{"MayHaveRun", "/stream/a", kGarbage, Change::kNone, false, "200", 1, "a"},
        WaitCase{"TenantsAdded", "/once/a", kNotRun, Change::kTenantsAdded, false, "401", 0, ""},
        WaitCase{"TenantsRemoved", "/once/a", kNotRun, Change::kTenantsRemoved, false, "200", 1, ""},
        WaitCase{"KeyMoved", "/once/a", kNotRun, Change::kKeyMoved, false, "200", 1, "b"},
        WaitCase{"HomesMoved", "/once/a", kNotRun, Change::kHomesMoved, false, "503", 0, ""},
        WaitCase{"RouteMadePublic", "/once/a", kNotRun, Change::kRouteMadePublic, false, "200", 1, ""}),
    [](const auto& info) { return info.param.name; });

struct HopTenantCase {
  const char* name;
  bool entry_has_tenants;
  bool remote_has_tenants;
  std::vector<std::string> remote_names;  // of the tenants
  const char* headers;
  const char* path;
  const char* expected_status;
};
class HopTenantTest : public TenantPath, public ::testing::WithParamInterface<HopTenantCase> {};

// Guards against a VM that serves a forwarded request of a tenant that it doesn't know, or one whose key
// nobody has checked because the VM that forwarded it has an older configuration.
TEST_P(HopTenantTest, NeedsATenantThatBothVmsKnow) {
  const auto& param = GetParam();
  ScriptedServer replica(loop, Answer("body"), Ending::kKeepOpen);
  Connect(replica.Endpoint(), replica.Endpoint(), true);
  if (param.entry_has_tenants) SetTenants(*entry, {MakeTenant("a", {"key-a"})});
  Tenants tenants;
  for (const auto& name : param.remote_names) tenants.push_back(MakeTenant(name, {"key-" + name}));
  for (const auto& vm : remote) {
    if (param.remote_has_tenants) SetTenants(*vm, tenants);
  }
  const std::string response = SendKey(param.path, param.headers);
  EXPECT_EQ(Status(response), param.expected_status) << response;
  EXPECT_EQ(replica.connections() > 0, Status(response) == "200");
}

INSTANTIATE_TEST_SUITE_P(
    Vms, HopTenantTest,
    ::testing::Values(HopTenantCase{"Known", true, true, {"a"}, kKey, "/once/a", "200"},
                      HopTenantCase{"Unknown", true, true, {"b"}, kKey, "/once/a", "503"},
                      HopTenantCase{"UnknownOnAPublicRoute", true, true, {"b"}, kKey, "/safe/a", "503"},
                      HopTenantCase{"PublicWithoutAKey", true, true, {}, "", "/safe/a", "200"},
                      HopTenantCase{"NoTenantsThere", true, false, {}, kKey, "/once/a", "503"},
                      HopTenantCase{"NoTenantsHere", false, true, {"a"}, kKey, "/once/a", "503"},
                      HopTenantCase{
                          "ForgedName", false, true, {"a"}, "Cornelplank-Tenant: a\r\n", "/once/a", "503"},
                      HopTenantCase{"NoTenants", false, false, {}, kKey, "/once/a", "200"}),
    [](const auto& info) { return info.param.name; });

struct StrictCase {
  const char* name;
  std::optional<milliseconds> bound;
  milliseconds age;  // of the configuration
  bool read_failed;  // reads have failed for some seconds
  const char* path;
  const char* headers;
  const char* expected_status;
};
class StrictRevocationTest : public TenantPath, public ::testing::WithParamInterface<StrictCase> {};

// Guards against removed keys that work at a VM beyond the bound because it can't reach the store, and
// against refusals of such a VM where no bound is set or no key is needed.
TEST_P(StrictRevocationTest, BoundsTheAgeOfKeys) {
  const auto& param = GetParam();
  ScriptedServer replica(loop, Answer("body"), Ending::kKeepOpen);
  Connect(replica.Endpoint(), replica.Endpoint(), false);
  SetTenants(*entry, {MakeTenant("a", {"key-a"})});
  entry->proxy.SetKeyAgeBound(param.bound);
  entry->registry.config_freshness().OnConfirmed(clock.Now() - param.age);
  if (param.read_failed) {
    entry->registry.config_freshness().OnReadFailed(clock.Now() - std::chrono::seconds(4));
  }
  const std::string response = SendKey(param.path, param.headers);
  EXPECT_EQ(Status(response), param.expected_status) << response;
  EXPECT_EQ(Has(response, "Retry-After: "), Status(response) == "503") << response;
}

constexpr milliseconds kBound{5000};
INSTANTIATE_TEST_SUITE_P(
    Bounds, StrictRevocationTest,
    ::testing::Values(
        StrictCase{"Recent", kBound, milliseconds(1000), false, "/once/a", kKey, "200"},
        StrictCase{"CutOffWithinTheBound", kBound, milliseconds(4500), true, "/once/a", kKey, "200"},
        StrictCase{"CutOffBeyondTheBound", kBound, milliseconds(6000), true, "/once/a", kKey, "503"},
        StrictCase{"CutOffUnknownKey", kBound, milliseconds(6000), true, "/once/a", "", "503"},
        StrictCase{"CutOffPublic", kBound, milliseconds(6000), true, "/safe/a", "", "200"},
        StrictCase{"CutOffPublicWithKey", kBound, milliseconds(6000), true, "/safe/a", kKey, "503"},
        StrictCase{"CutOffWithoutBound", {}, milliseconds(60000), true, "/once/a", kKey, "200"},
        StrictCase{"SuspendedWithoutBound", {}, milliseconds(60000), false, "/once/a", kKey, "503"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank
