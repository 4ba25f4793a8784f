#include "standins/platform/core/platform_core.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "standins/service/core/service_core.h"

namespace cornelplank::standins {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kStart{std::chrono::seconds{1000}};

// Guards against a platform that reformats published entries: readers hash their bytes.
TEST(PublishedConfigTest, KeepsTheBytesOfEntries) {
  platform::PublishedConfig config(10);
  EXPECT_EQ(config.Append(R"({ "base":0, "patch":[ {"z":1,"a":2.50} ]})", nullptr), 1U);
  EXPECT_EQ(config.LogAfter(0, nullptr),
            R"({"head_seq":1,"oldest_seq":1,"entries":[{"seq":1, "base":0, "patch":[ {"z":1,"a":2.50} ]}]})");
}

// Guards against a log that answers as if complete although entries that the reader has not seen were
// dropped.
TEST(PublishedConfigTest, TellsReadersWhenEntriesWereDropped) {
  platform::PublishedConfig config(2);
  for (int entry = 0; entry < 4; ++entry) config.Append("{}", nullptr);
  platform::PlatformReason reason;
  EXPECT_FALSE(config.LogAfter(1, &reason));
  EXPECT_EQ(reason.code, platform::PlatformCode::kGone);
  EXPECT_TRUE(config.LogAfter(2, nullptr));
}

struct FaultyValue {
  const char* name;
  std::string text;
  platform::PlatformCode code;
};

class FaultyValueTest : public testing::TestWithParam<FaultyValue> {};

// Guards against publishing values that readers can't parse or that exceed the size limit.
TEST_P(FaultyValueTest, IsRefusedAndConsumesNoSequenceNumber) {
  platform::PublishedConfig config(10);
  platform::PlatformReason reason;
  EXPECT_FALSE(config.Append(GetParam().text, &reason));
  EXPECT_EQ(reason.code, GetParam().code);
  EXPECT_EQ(config.head(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table, FaultyValueTest,
    testing::Values(FaultyValue{"Text", "{", platform::PlatformCode::kNoJson},
                    FaultyValue{"Array", "[]", platform::PlatformCode::kNoJson},
                    FaultyValue{"OwnSeq", R"({"seq":7})", platform::PlatformCode::kInvalid},
                    FaultyValue{"Long", "{\"a\":\"" + std::string(platform::kMaxValueBytes, 'x') + "\"}",
                                platform::PlatformCode::kTooLong}),
    [](const auto& info) { return info.param.name; });

// Guards against an old copy that contains entries published later.
TEST(PlatformCoreTest, StaleModeServesAnOldCopy) {
  platform::PlatformCore core({});
  core.live().config.SetSnapshot(R"({"seq":5})", nullptr);
  core.live().config.Append("{}", nullptr);
  core.SetMode(platform::Endpoint::kLog, platform::Mode::kStale, 5);
  core.live().config.Append("{}", nullptr);
  EXPECT_EQ(core.VisibleState(platform::Endpoint::kLog).config.head(), 5U);
  EXPECT_EQ(core.VisibleState(platform::Endpoint::kSnapshot).config.head(), 7U);
  core.SetMode(platform::Endpoint::kLog, platform::Mode::kOk, std::nullopt);
  EXPECT_EQ(core.VisibleState(platform::Endpoint::kLog).config.head(), 7U);
}

// Guards against a VM list that readers see before the lag has passed.
TEST(PublishedVmListTest, ChangesBecomeVisibleAfterTheLag) {
  platform::PublishedVmList vms(milliseconds{3000});
  vms.Publish(R"({"vms":[1]})", kStart, nullptr);
  EXPECT_EQ(vms.VisibleAt(kStart), R"({"age_ms":3000,"vms":[1]})");
  vms.Publish(R"({"vms":[2]})", kStart + milliseconds{10}, nullptr);
  EXPECT_EQ(vms.VisibleAt(kStart + milliseconds{3009}), R"({"age_ms":3000,"vms":[1]})");
  EXPECT_EQ(vms.VisibleAt(kStart + milliseconds{3010}), R"({"age_ms":3000,"vms":[2]})");
}

// Guards against a client directory that omits removals or repeats changes that the reader already has.
TEST(PublishedClientsTest, ReportsChangesSinceARevision) {
  platform::PublishedClients clients;
  clients.Update(R"({"clients":[{"id":"a"},{"id":"b"}]})", nullptr);
  EXPECT_EQ(clients.Update(R"({"removed":["a"]})", nullptr), 2U);
  EXPECT_EQ(clients.Since(0), R"({"revision":2,"clients":[{"id":"b"}],"removed":["a"]})");
  EXPECT_EQ(clients.Since(1), R"({"revision":2,"clients":[],"removed":["a"]})");
  EXPECT_EQ(clients.Since(2), R"({"revision":2,"clients":[],"removed":[]})");
}

// Guards against a rate limit that admits more than its rate and burst under steady overload.
TEST(PartialTokenBucketTest, LimitsTheRate) {
  platform::PartialTokenBucket bucket(10, 5);
  int taken = 0;
  for (int millisecond = 0; millisecond < 1000; ++millisecond) {
    taken += bucket.Take(1, 1, kStart + milliseconds{millisecond}) >= 1 ? 1 : 0;
  }
  EXPECT_GE(taken, 14);
  EXPECT_LE(taken, 15);
}

// Guards against a service that does not count a second execution, or counts a refused call.
TEST(ServiceCoreTest, CountsEveryExecution) {
  service::ServiceCore core(kStart);
  const uint64_t first = core.RecordArrival("k", "POST", "/receipts", kStart);
  const uint64_t second = core.RecordArrival("k", "POST", "/receipts", kStart);
  const uint64_t refused = core.RecordArrival("k", "POST", "/receipts", kStart);
  EXPECT_EQ(core.Execute(first, kStart), 1U);
  EXPECT_EQ(core.Execute(second, kStart), 2U);
  core.EndWithoutExecution(refused, "refused");
  EXPECT_EQ(core.executions().at("k"), 2U);
  EXPECT_EQ(core.log()[2].executed_ms, -1);
}

// Guards against a fault that affects more calls than requested.
TEST(ServiceCoreTest, LimitedFaultEnds) {
  service::ServiceCore core(kStart);
  core.SetFault({service::ServiceFaultKind::kReject, 2});
  EXPECT_EQ(core.ConsumeFault().kind, service::ServiceFaultKind::kReject);
  EXPECT_EQ(core.ConsumeFault().kind, service::ServiceFaultKind::kReject);
  EXPECT_EQ(core.ConsumeFault().kind, service::ServiceFaultKind::kNone);
}

}  // namespace
}  // namespace cornelplank::standins
