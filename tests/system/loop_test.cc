#include <gtest/gtest.h>

#include <chrono>

#include "tests/system/harness/deployment.h"

namespace cornelplank::harness {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

uint64_t HopsReceived(const Deployment& deployment) {
  uint64_t hops = 0;
  for (const char* vm : {"a", "v"}) hops += deployment.Status(vm)["hops_received"].get<uint64_t>();
  return hops;
}

// Guards against a request that two zones forward to each other in a loop because each expects that the other
// can serve it.
TEST(LoopTest, ARequestThatNobodyCanServeMakesOneHopAnAttempt) {
  TestProcesses processes;
  Deployment deployment(&processes);
  deployment.AddEngineProcess("e1", "gavekvittering", "ost-1", 4);
  deployment.AddEngineProcess("v1", "gavekvittering", "vest-1", 4);
  deployment.AddClient("any", "gavekvittering", "ost", "gavekvittering-any");
  deployment.Publish();
  deployment.StartVm("a", "ost-1");
  deployment.StartVm("v", "vest-1");
  ASSERT_TRUE(deployment.WaitForVersion(1, seconds{10})) << processes.Logs();
  ASSERT_TRUE(WaitUntil(seconds{15}, [&deployment] {
    return deployment.Dump("a")["vms"].size() == 2 && deployment.Dump("v")["vms"].size() == 2 &&
           deployment.Chat("a", "any", 2, false).status == 200 &&
           deployment.Chat("v", "any", 2, false).status == 200;
  })) << processes.Logs();
  // Each VM sees that its own engine has no model loaded, and expects from the configuration that the other
  // zone's has. The high fence makes the engines refuse the VMs' own orders to load the model again.
  for (const char* engine : {"e1", "v1"}) {
    nlohmann::json order = processes.Get(processes.url(engine) + "/load").Json()["models"][0];
    order.update({{"order_id", "unload"}, {"fence", 1000000}, {"orderer", "test"}, {"action", "unload"}});
    ASSERT_EQ(processes.Post(processes.url(engine) + "/orders", order).status, 200);
  }
  for (const char* vm : {"a", "v"}) {
    ASSERT_TRUE(WaitUntil(seconds{10}, [&deployment, vm] {
      const auto explained = deployment.Explain(vm, "any");
      return explained.contains("route") && explained["route"]["kind"] == "zone";
    })) << deployment.Explain(vm, "any");
  }
  constexpr uint64_t kAttempts = 4;  // maximum number of attempts for a request
  for (const char* vm : {"a", "v"}) {
    const uint64_t before = HopsReceived(deployment);
    const Reply refused = deployment.Chat(vm, "any", 3, false, milliseconds{3000});
    EXPECT_NE(refused.status, 200);
    EXPECT_EQ(refused.Json().value("outcome", ""), "not-run") << refused.body;
    EXPECT_LE(HopsReceived(deployment) - before, kAttempts);
  }
}

}  // namespace
}  // namespace cornelplank::harness
