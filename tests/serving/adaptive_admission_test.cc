#include <gtest/gtest.h>

#include <deque>

#include "libs/serving/serving.h"

namespace cornelplank::serving {
namespace {

constexpr std::chrono::milliseconds kStep{1};
constexpr std::chrono::milliseconds kTarget{1000};
constexpr std::chrono::seconds kBurst{12};

struct SimulationResult {
  int in_time = 0;
  int requests = 0;
};

/// Simulates eight slots that each serve one request after the other, for 400 ms each. Requests arrive at
/// `load` times the rate that the slots can serve.
SimulationResult Simulate(double load, bool with_admission) {
  constexpr int kSlots = 8;
  constexpr std::chrono::milliseconds kServiceTime{400};
  base::Random random(3);
  AdaptiveAdmission admission;
  std::deque<std::chrono::milliseconds> queue;
  std::vector<std::chrono::milliseconds> busy(kSlots, std::chrono::milliseconds{0});
  SimulationResult result;
  double due_requests = 0;
  for (std::chrono::milliseconds now{0}; now < kBurst; now += kStep) {
    due_requests += load * kSlots / static_cast<double>(kServiceTime.count());
    for (; due_requests >= 1; --due_requests) {
      ++result.requests;
      if (!with_admission || admission.Admits(random.Unit())) queue.push_back(now);
    }
    for (auto& free_at : busy) {
      if (free_at > now || queue.empty()) continue;
      const std::chrono::milliseconds wait = now - queue.front();
      queue.pop_front();
      admission.Observe(wait <= kTarget);
      result.in_time += wait <= kTarget ? 1 : 0;
      free_at = now + kServiceTime;
    }
  }
  return result;
}

struct LoadCase {
  const char* name;
  double load;       // arrivals relative to the capacity of the slots
  double min_ratio;  // responses in time relative to those without admission control
};
class AdaptiveAdmissionTest : public ::testing::TestWithParam<LoadCase> {};

// Guards against a queue in which every request waits beyond its target latency, and against admission
// control that refuses requests although the capacity suffices.
TEST_P(AdaptiveAdmissionTest, ServesMoreRequestsInTime) {
  const SimulationResult without_admission = Simulate(GetParam().load, false);
  const SimulationResult with_admission = Simulate(GetParam().load, true);
  EXPECT_GE(with_admission.in_time, GetParam().min_ratio * without_admission.in_time);
}

INSTANTIATE_TEST_SUITE_P(Loads, AdaptiveAdmissionTest,
                         ::testing::Values(LoadCase{"BelowCapacity", 0.8, 1},
                                           LoadCase{"NearCapacity", 0.98, 1},
                                           LoadCase{"AboveCapacity", 1.4, 2},
                                           LoadCase{"TwiceTheCapacity", 2, 2}),
                         [](const auto& info) { return info.param.name; });

// Guards against admission control that keeps refusing requests after the overload has ended.
TEST(AdaptiveAdmissionTest, AdmitsAllAgainAfterAnOverload) {
  AdaptiveAdmission admission;
  for (int i = 0; i < 1000; ++i) admission.Observe(false);
  EXPECT_GT(admission.admitted_share(), 0);
  EXPECT_LT(admission.admitted_share(), 0.3);
  for (int i = 0; i < 50; ++i) admission.Observe(true);
  EXPECT_EQ(admission.admitted_share(), 1);
}

// Guards against refused clients that all retry at the same time.
TEST(AdaptiveAdmissionTest, SpreadsRetryAfter) {
  EXPECT_GE(AdaptiveAdmission::RetryAfter(0.99) - AdaptiveAdmission::RetryAfter(0), std::chrono::seconds(2));
}

}  // namespace
}  // namespace cornelplank::serving
