#include <gtest/gtest.h>

#include <cstdio>
#include <map>

#include "tests/platform/test_fleet.h"

namespace cornelplank {
namespace {

using std::chrono::milliseconds;
using testing::CrashingReplicaSettings;
using testing::TestFleet;
using Results = std::vector<std::shared_ptr<const testing::ClientResult>>;

struct StatementCase {
  const char* name;
  size_t replicas;
  size_t stating;            // of the replicas
  bool leaving;              // they state that they leave
  std::string push_back;     // Retry-After, in seconds, with which they refuse; empty: they refuse nothing
  milliseconds listed_late;  // after which the store lists them as ready once more
  double min_answered;       // share of the requests that has to be answered
};
class ReplicaStatementFleetTest : public ::testing::TestWithParam<StatementCase> {
 protected:
  static constexpr milliseconds kInterval{15};
  static constexpr milliseconds kLoadTime{5000};
  // A request may be on its way while its replica makes the statement.
  static constexpr milliseconds kTimeOnTheWay{500};

  /// Sends requests to the VMs by turns, the n-th one with the id n + 1, and waits for their answers.
  static Results SendLoad(TestFleet& fleet) {
    Results results;
    const base::TimePoint end = fleet.Now() + kLoadTime;
    while (fleet.Now() < end) {
      char prompt[64];
      std::snprintf(prompt, sizeof prompt, "5c1e07a%zx:800,%08zx:250", results.size() % 16,
                    results.size() + 4096);
      results.push_back(fleet.Send(results.size() % fleet.vms().size(), prompt));
      fleet.Run(kInterval);
    }
    fleet.RunUntil(
        [&] {
          return std::all_of(results.begin(), results.end(),
                             [](const auto& result) { return result->ended_at != base::TimePoint{}; });
        },
        std::chrono::seconds(9));
    return results;
  }

  static size_t VmOf(const std::string& request_id, size_t vms) { return (std::stoul(request_id) - 1) % vms; }
};

// Guards against requests that a VM sends to a replica which has told it that it leaves, or that it wants
// nothing for a time, and against refusals while other replicas could serve.
TEST_P(ReplicaStatementFleetTest, IsHeededByEachVmThatHeardIt) {
  const auto& param = GetParam();
  constexpr size_t kVms = 3;
  TestFleet fleet(kVms, param.replicas, CrashingReplicaSettings{});
  ASSERT_TRUE(fleet.RunUntilConnected(std::chrono::seconds(5)));
  for (size_t i = 0; i < param.stating; ++i) {
    if (param.leaving) fleet.replicas()[i]->Leave();
    fleet.replicas()[i]->SetPushBack(param.push_back);
  }
  if (param.listed_late.count() > 0) fleet.ListAllAfter(param.listed_late);
  const Results results = SendLoad(fleet);
  const milliseconds push_back(static_cast<int>(1000 * std::atof(param.push_back.c_str())));
  for (size_t i = 0; i < param.stating; ++i) {
    const auto& replica = *fleet.replicas()[i];
    ASSERT_FALSE(replica.statements().empty());
    for (const auto& arrival : replica.all_arrivals()) {
      for (const auto& statement : replica.statements()) {
        const base::Duration after = arrival.time - statement.time;
        const bool same_vm = VmOf(arrival.request_id, kVms) == VmOf(statement.request_id, kVms);
        const bool holds = param.leaving || after < push_back;
        EXPECT_FALSE(same_vm && after > kTimeOnTheWay && holds)
            << "replica " << i << " got request " << arrival.request_id;
      }
    }
  }
  size_t answered = 0;
  for (const auto& result : results) {
    answered += result->Answered(fleet.events()) ? 1 : 0;
    if (result->status != 503) continue;
    EXPECT_FALSE(result->retry_after.empty());
    EXPECT_LT(result->Time(), milliseconds(300)) << "was not refused at once";
  }
  EXPECT_GE(static_cast<double>(answered), param.min_answered * static_cast<double>(results.size()));
}

INSTANTIATE_TEST_SUITE_P(Statements, ReplicaStatementFleetTest,
                         ::testing::Values(StatementCase{"Leaving", 3, 1, true, "", {}, 0.95},
                                           StatementCase{"LeavingAndListedAgain", 3, 1, true, "",
                                                         milliseconds(1500), 0.95},
                                           StatementCase{"PushedBack", 3, 1, false, "1.5", {}, 0.95},
                                           StatementCase{"PushedBackForLong", 3, 2, false, "30", {}, 0.95},
                                           StatementCase{"LeavingAndPushedBack", 3, 1, true, "0.8", {}, 0.95},
                                           StatementCase{"AllPushedBack", 2, 2, false, "1.5", {}, 0}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank
