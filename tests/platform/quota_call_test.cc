#include "tests/platform/tenant_path.h"

namespace cornelplank {
namespace {

using serving::QuotaDecision;
using std::chrono::milliseconds;
using testing::MakeTenant;
using testing::ScriptedServer;
using testing::TenantPath;
using Ending = ScriptedServer::Ending;
using Verdict = QuotaDecision::Verdict;

/// Grants the first requests and answers the later ones with `then`.
class CountingGate final : public serving::QuotaGate {
 public:
  explicit CountingGate(net::asio::io_context& loop) : loop_(loop) {}

  net::Task<QuotaDecision> Acquire(const tenancy::Tenant& tenant, double cost) override {
    calls.push_back({tenant.name, cost});
    co_await net::Sleep(loop_, delay);
    if (calls.size() > static_cast<size_t>(grants)) co_return QuotaDecision{then, milliseconds(1250)};
    spent += cost;
    co_return QuotaDecision{};
  }
  void GiveBack(const tenancy::Tenant&, double cost) override { spent -= cost; }

  milliseconds delay{0};
  int grants = 100;
  Verdict then = Verdict::kExceeded;
  std::vector<std::pair<std::string, double>> calls;
  double spent = 0;

 private:
  net::asio::io_context& loop_;
};

struct QuotaPath : TenantPath {
  QuotaPath() { quota = &gate; }

  void ConnectLimited(const net::Tcp::endpoint& first, const net::Tcp::endpoint& second, bool over_hops) {
    Connect(first, second, over_hops);
    for (auto& region : hops.regions) region.wait /= 100;  // within the time of the request
    auto tenant = MakeTenant("a", {"key-a"});
    tenant.tenant.quota = {tenancy::QuotaUnit::kTokens, 1000, 1000, 70};
    SetTenantsEverywhere({tenant, MakeTenant("unlimited", {"key-u"})});
  }

  CountingGate gate{loop};
};

struct QuotaCase {
  const char* name;
  const char* path;
  std::string first;  // response of the replica that is tried first
  int grants;
  Verdict then;
  const char* expected_status;
  size_t calls;    // of Acquire
  double spent;    // at the end, in charges
  bool over_hops;  // to replicas of other regions
};
class QuotaCallTest : public QuotaPath, public ::testing::WithParamInterface<QuotaCase> {};

// Guards against sends beyond a tenant's quota, charges for requests that have not run, and a promise to have
// run nothing for a request that may have run.
TEST_P(QuotaCallTest, ChargesEachSendThatMayRun) {
  const auto& param = GetParam();
  gate.grants = param.grants;
  gate.then = param.then;
  ScriptedServer first(loop, param.first, Ending::kKeepOpen);
  ScriptedServer second(loop, Answer("second"), Ending::kKeepOpen);
  ConnectLimited(first.Endpoint(), second.Endpoint(), param.over_hops);
  const std::string response = SendKey(param.path, "X-Api-Key: key-a\r\nToken-Usage: 300,50\r\n");
  EXPECT_EQ(Status(response), param.expected_status) << response;
  EXPECT_EQ(gate.calls.size(), param.calls);
  for (const auto& call : gate.calls) EXPECT_EQ(call, std::pair(std::string("a"), 350.0));
  EXPECT_EQ(gate.spent, 350 * param.spent);
  const bool refused = Status(response) == "429" || Status(response) == "503";
  EXPECT_EQ(Has(response, "\r\nRetry-After: 1.250\r\n"), refused) << response;
}

const char kNotRun[] = "HTTP/1.1 503 Full\r\nAttempt-Id: 77\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const char kGarbage[] = "garbage\r\n\r\n";
INSTANTIATE_TEST_SUITE_P(
    Requests, QuotaCallTest,
    ::testing::Values(
        QuotaCase{"Answered", "/once/a", TenantPath::Answer("first"), 9, {}, "200", 1, 1, false},
        QuotaCase{"OverAHop", "/once/a", TenantPath::Answer("first"), 9, {}, "200", 1, 1, true},
        QuotaCase{"Exceeded", "/once/a", "", 0, Verdict::kExceeded, "429", 1, 0, false},
        QuotaCase{"Unavailable", "/once/a", "", 0, Verdict::kUnavailable, "503", 1, 0, false},
        QuotaCase{"FirstNotRun", "/once/a", kNotRun, 1, Verdict::kExceeded, "200", 1, 1, false},
        QuotaCase{"FirstNotRunOverAHop", "/once/a", kNotRun, 1, Verdict::kExceeded, "200", 1, 1, true},
        QuotaCase{"FirstMayHaveRun", "/stream/a", kGarbage, 9, {}, "200", 2, 2, false},
        QuotaCase{"NoneLeftAfterTheFirst", "/stream/a", kGarbage, 1, Verdict::kExceeded, "502", 2, 1, false},
        QuotaCase{"ErrorHeld", "/safe/a",
                  "HTTP/1.1 500 No\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n",
                  1, Verdict::kExceeded, "500", 2, 1, false}),
    [](const auto& info) { return info.param.name; });

// Guards against a charge that a refused request keeps.
TEST_F(QuotaPath, GivesBackWhatNoReplicaHasRun) {
  ScriptedServer replica(loop, kNotRun, Ending::kKeepOpen);
  ConnectLimited(replica.Endpoint(), replica.Endpoint(), false);
  EXPECT_EQ(Status(SendKey("/once/a", "X-Api-Key: key-a\r\n")), "503");
  EXPECT_EQ(gate.calls.size(), 1U);
  EXPECT_EQ(gate.spent, 0);
}

// Guards against a charge that is kept, and a request that runs, for a client that has left meanwhile.
TEST_F(QuotaPath, ClientMayLeaveWhileItWaits) {
  ScriptedServer replica(loop, Answer("body"), Ending::kKeepOpen);
  ConnectLimited(replica.Endpoint(), replica.Endpoint(), false);
  gate.delay = milliseconds(50);
  {
    net::Tcp::socket socket(loop);
    socket.connect(testing::Loopback(entry->server->Port()));
    net::asio::write(socket, net::asio::buffer(std::string("GET /once/a HTTP/1.1\r\nHost: h.example\r\n"
                                                           "Attempt-Id: 77\r\nX-Api-Key: key-a\r\n\r\n")));
    testing::RunFor(loop, milliseconds(20));
  }
  testing::RunFor(loop, milliseconds(100));
  EXPECT_EQ(gate.calls.size(), 1U);
  EXPECT_EQ(gate.spent, 0);
  EXPECT_EQ(replica.connections(), 0);
}

struct SilenceCase {
  const char* name;
  int grants;
  int second_sends;
};
class QuotaSilenceTest : public QuotaPath, public ::testing::WithParamInterface<SilenceCase> {};

// Guards against an attempt that is cancelled for its silence although the quota allows no other one.
TEST_P(QuotaSilenceTest, CancelsOnlyWhatCanBeReplaced) {
  gate.grants = GetParam().grants;
  ScriptedServer silent(loop, "", Ending::kKeepOpen);
  ScriptedServer other(loop, Answer("other"), Ending::kKeepOpen);
  ConnectLimited(silent.Endpoint(), other.Endpoint(), false);
  net::Spawn(loop, "silence", entry->proxy.RunSilenceChecks());
  const std::string response = Send("/safe/a", "77", milliseconds(1200), "hi", "X-Api-Key: key-a\r\n");
  EXPECT_EQ(Status(response), GetParam().second_sends > 0 ? "200" : "504") << response;
  EXPECT_EQ(gate.calls.size(), 2U);
  EXPECT_EQ(other.connections(), GetParam().second_sends);
  EXPECT_EQ(gate.spent, 70 * (1 + GetParam().second_sends));
}

INSTANTIATE_TEST_SUITE_P(Quotas, QuotaSilenceTest,
                         ::testing::Values(SilenceCase{"Enough", 9, 1}, SilenceCase{"UsedUp", 1, 0}),
                         [](const auto& info) { return info.param.name; });

struct CostCase {
  const char* name;
  tenancy::QuotaUnit unit;
  const char* headers;
  double expected;
};
class QuotaCostTest : public ::testing::TestWithParam<CostCase> {};

// Guards against requests that cost less than what they state, or nothing because they state nonsense.
TEST_P(QuotaCostTest, IsWhatTheRequestStates) {
  net::Request request{"POST", "/once/a", {}, ""};
  request.headers.Add("Host", "h");
  request.headers.Add("Attempt-Id", "1");
  if (*GetParam().headers != '\0') request.headers.Add("Token-Usage", GetParam().headers);
  std::string problem;
  const auto info = platform::PlatformCodec().DecodeRequest(request, &problem);
  ASSERT_TRUE(info) << problem;
  EXPECT_EQ(info->QuotaCost({GetParam().unit, 10, 10, 70}), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Costs, QuotaCostTest,
                         ::testing::Values(CostCase{"Tokens", tenancy::QuotaUnit::kTokens, "300,50", 350},
                                           CostCase{"Greatest", tenancy::QuotaUnit::kTokens,
                                                    "4294967295,4294967295", 8589934590.0},
                                           CostCase{"TooGreat", tenancy::QuotaUnit::kTokens, "4294967296,1",
                                                    70},
                                           CostCase{"Missing", tenancy::QuotaUnit::kTokens, "", 70},
                                           CostCase{"OneNumber", tenancy::QuotaUnit::kTokens, "300", 70},
                                           CostCase{"Negative", tenancy::QuotaUnit::kTokens, "-300,50", 70},
                                           CostCase{"Text", tenancy::QuotaUnit::kTokens, "many,more", 70},
                                           CostCase{"Requests", tenancy::QuotaUnit::kRequests, "300,50", 1}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank
