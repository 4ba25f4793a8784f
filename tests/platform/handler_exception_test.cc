#include <gtest/gtest.h>

#include <stdexcept>

#include "tests/platform/tenant_path.h"

namespace cornelplank {
namespace {

using std::chrono::milliseconds;
using testing::KnownOrigins;
using testing::MakeTenant;
using testing::SequenceServer;
using testing::TenantPath;

/// Counts what is taken and given back.
struct CountingQuota final : serving::QuotaGate {
  net::Task<serving::QuotaDecision> Acquire(const tenancy::Tenant&, double) override {
    ++taken;
    co_return serving::QuotaDecision{};
  }
  void GiveBack(const tenancy::Tenant&, double) override { ++given_back; }
  int taken = 0;
  int given_back = 0;
};

struct FailingOrigins final : serving::StreamOrigins {
  void Record(uint64_t, uint64_t) override { throw std::runtime_error("no memory"); }
  net::Task<std::optional<uint64_t>> Find(std::optional<uint64_t>, std::vector<uint64_t>) override {
    co_return std::nullopt;
  }
};

struct ExceptionCase {
  const char* name;
  bool over_hops;  // thrown when the VM is picked; otherwise at the first event
  int given_back;
};
class HandlerExceptionTest : public TenantPath, public ::testing::WithParamInterface<ExceptionCase> {};

// Guards against load and quota that stay taken after a request has ended with an exception.
TEST_P(HandlerExceptionTest, ReturnsWhatItHolds) {
  FailingOrigins failing;
  CountingQuota counting;
  origins = &failing;
  quota = &counting;
  SequenceServer replica(loop, {{"HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\n"
                                 "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
                                 false, ""}});
  Connect(replica.Endpoint(), replica.Endpoint(), GetParam().over_hops);
  auto tenant = MakeTenant("a", {"key-a"});
  tenant.tenant.quota.per_second = 5;
  SetTenantsEverywhere({tenant});
  if (GetParam().over_hops) hops.on_pick = [] { throw std::runtime_error("no memory"); };
  const std::string response = SendKey("/stream/a", "X-Api-Key: key-a\r\n");
  EXPECT_EQ(Status(response), "500") << response;
  EXPECT_EQ(counting.taken, 1);
  EXPECT_EQ(counting.given_back, GetParam().given_back);
  EXPECT_EQ(entry->proxy.counters().failed, 1U);
  EXPECT_EQ(entry->last_request.summary.outcome, "failed");
  if (GetParam().over_hops) return;
  EXPECT_EQ(entry->registry.Find("first")->own_work.requests, 0U);
  EXPECT_EQ(entry->registry.Find("first")->own_work.memory_tokens, 0U);
}

INSTANTIATE_TEST_SUITE_P(Exceptions, HandlerExceptionTest,
                         ::testing::Values(ExceptionCase{"BeforeTheSend", true, 1},
                                           ExceptionCase{"AtTheFirstEvent", false, 0}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank
