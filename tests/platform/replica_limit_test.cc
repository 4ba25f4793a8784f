#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

#include "tests/platform/test_fleet.h"

namespace cornelplank {
namespace {

using testing::CrashingReplicaSettings;
using testing::TestFleet;
using Results = std::vector<std::shared_ptr<const testing::ClientResult>>;

struct LimitCase {
  const char* name;
  size_t vms;
  size_t replicas;
  size_t limited;       // of the replicas
  std::string limit;    // requests a second that they state
  double min_answered;  // share of the requests that has to be answered
};
class StatedLimitTest : public ::testing::TestWithParam<LimitCase> {
 protected:
  static constexpr std::chrono::milliseconds kInterval{20};
  static constexpr std::chrono::milliseconds kLearningTime{1500};
  static constexpr std::chrono::seconds kWindow{4};
  static constexpr double kTolerance = 1.5;
  static constexpr double kSlack = 5;

  /// Sends requests to the VMs by turns for some time, and waits for their answers.
  static Results SendFor(TestFleet& fleet, std::chrono::milliseconds time) {
    Results results;
    const base::TimePoint end = fleet.Now() + time;
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

  /// The greatest number of arrivals in any window that begins after `from`.
  static size_t MostInWindow(const std::vector<base::TimePoint>& times, base::TimePoint from) {
    size_t most = 0;
    for (size_t i = 0; i < times.size(); ++i) {
      if (times[i] < from) continue;
      size_t count = 0;
      while (i + count < times.size() && times[i + count] - times[i] < kWindow) ++count;
      most = std::max(most, count);
    }
    return most;
  }
};

// Guards against replicas that get more than their limit, and against refusals while others could serve.
TEST_P(StatedLimitTest, IsKeptByAllVmsTogether) {
  const auto& param = GetParam();
  TestFleet fleet(param.vms, param.replicas, CrashingReplicaSettings{});
  ASSERT_TRUE(fleet.RunUntilConnected(std::chrono::seconds(5)));
  for (size_t i = 0; i < param.limited; ++i) fleet.replicas()[i]->SetLimit(param.limit);
  const base::TimePoint stated_from = fleet.Now();
  const Results results = SendFor(fleet, std::chrono::milliseconds(8000));
  const double allowed = kTolerance * std::atof(param.limit.c_str()) * 4 + kSlack;
  for (size_t i = 0; i < param.limited; ++i) {
    const size_t most = MostInWindow(fleet.replicas()[i]->arrival_times(), stated_from + kLearningTime);
    EXPECT_LE(static_cast<double>(most), allowed) << "replica " << i;
    EXPECT_GT(most, 0U) << "replica " << i << " is not used";
  }
  size_t answered = 0;
  for (const auto& result : results) {
    answered += result->Answered(fleet.events()) ? 1 : 0;
    if (result->status != 503) continue;
    EXPECT_FALSE(result->retry_after.empty());
    EXPECT_LT(result->Time(), std::chrono::milliseconds(300)) << "was not refused at once";
  }
  EXPECT_GE(static_cast<double>(answered), param.min_answered * static_cast<double>(results.size()));
}

INSTANTIATE_TEST_SUITE_P(Limits, StatedLimitTest,
                         ::testing::Values(LimitCase{"BelowOneAVm", 4, 3, 1, "1.2", 0.95},
                                           LimitCase{"AFewAVm", 4, 3, 2, "4", 0.95},
                                           LimitCase{"MoreVmsThanRate", 12, 3, 2, "2.5", 0.95},
                                           LimitCase{"AllReplicas", 4, 3, 3, "3", 0.1}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank
