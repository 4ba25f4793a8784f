#include <gtest/gtest.h>

#include <thread>

#include "tests/platform/clients/misbehaviours.h"
#include "tests/platform/clients/resource_peaks.h"
#include "tests/system/harness/deployment.h"

namespace cornelplank {
namespace {

using harness::Deployment;
using harness::TestProcesses;
using testing::Crowd;
using testing::kMisbehaviours;
using testing::Misbehaviour;
using testing::ResourcePeaks;
using testing::RunFor;
using testing::Target;

// cornelplank-gateway has no setting for its memory: 80% of the smallest VM, which has 120 MB. Its limit of a
// body is the default, kBodyBytes.
constexpr size_t kMemoryBoundKb = size_t{120} * 1024 * 8 / 10;
// The default limit of the client connections, and as many for everything else as the entry VM reserves.
constexpr size_t kDescriptors = 2000 + 900;
// Times as many clients as in the table for the entry VM, whose bounds are lower.
constexpr size_t kCrowdFactor = 2;

const char kChat[] = "/v1/chat/completions";
const char kKey[] = "Authorization: Bearer key-home\r\n";
const Target kTargets[] = {
    {"Chat", "clients", kChat, kChat, kChat, kKey},
    {"NoKey", "clients", kChat, kChat, kChat, ""},
    {"NoPath", "clients", "/none", "/none", "/none", kKey},
};

class GatewayClientsTest : public ::testing::TestWithParam<std::tuple<Misbehaviour, Target>> {
 protected:
  static constexpr std::chrono::milliseconds kPollInterval{20};
  static constexpr std::chrono::seconds kTimeout{15};  // ample, as other processes may keep the machine busy

  void SetUp() override {
    const std::string partner = "gavekvittering";
    deployment_.AddEngineProcess("e1", partner, "ost-1", 8);
    deployment_.AddClient("home", partner, "ost", partner + "-home");
    deployment_.Publish();
    deployment_.StartVm("a", "ost-1");
    ASSERT_TRUE(deployment_.WaitForVersion(1, kTimeout)) << processes_.Logs();
    ASSERT_TRUE(IsServed()) << processes_.Logs();
  }

  /// Sends requests until one is served. Returns false when none is within `kTimeout`.
  bool IsServed() {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (std::chrono::steady_clock::now() < end) {
      if (deployment_.Chat("a", "home", 2, false, std::chrono::seconds(2)).status == 200) return true;
      RunFor(loop_, kPollInterval);
    }
    return false;
  }

  net::Tcp::endpoint ClientsEndpoint() const {
    const std::string prefix = "http://";
    return net::ParseEndpoint(deployment_.clients_url("a").substr(prefix.size())).value();
  }

  net::asio::io_context loop_{1};
  net::asio::executor_work_guard<net::asio::io_context::executor_type> guard_{loop_.get_executor()};
  TestProcesses processes_;
  Deployment deployment_{&processes_};
};

// Guards against clients that make a gateway exceed its memory or descriptors, end it, or keep it from
// serving other clients, during the misbehaviour or after it.
TEST_P(GatewayClientsTest, LeaveTheGatewayServingWithinItsBounds) {
  const auto& [misbehaviour, target] = GetParam();
  ResourcePeaks peaks(processes_.at("a").pid());
  peaks.Sample();
  ASSERT_LT(peaks.memory_kb(), kMemoryBoundKb / 2) << "without misbehaving clients";
  auto script = misbehaviour.script(target);
  script.clients *= kCrowdFactor;
  Crowd crowd(loop_, ClientsEndpoint(), script);
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!peaks.Settled(crowd.sent()) && std::chrono::steady_clock::now() < end) RunFor(loop_, kPollInterval);
  EXPECT_TRUE(IsServed()) << "not served beside the misbehaving clients";
  EXPECT_GT(crowd.connected(), 0U);
  peaks.Sample();
  crowd.Close();
  EXPECT_TRUE(IsServed()) << "not served after the misbehaving clients";
  EXPECT_TRUE(processes_.at("a").running()) << processes_.at("a").Errors();
  EXPECT_LT(peaks.memory_kb(), kMemoryBoundKb);
  EXPECT_LT(peaks.descriptors(), kDescriptors);
  RecordProperty("peak_memory_kb", static_cast<int>(peaks.memory_kb()));
  RecordProperty("peak_descriptors", static_cast<int>(peaks.descriptors()));
}

INSTANTIATE_TEST_SUITE_P(Clients, GatewayClientsTest,
                         ::testing::Combine(::testing::ValuesIn(kMisbehaviours),
                                            ::testing::ValuesIn(kTargets)),
                         [](const auto& info) {
                           return std::string(std::get<0>(info.param).name) + "At" +
                                  std::get<1>(info.param).name;
                         });

}  // namespace
}  // namespace cornelplank
