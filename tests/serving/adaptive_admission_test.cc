#include <gtest/gtest.h>

#include <deque>

#include "libs/serving/serving.h"

namespace cornelplank::serving {
namespace {

constexpr std::chrono::milliseconds kStep{1};
constexpr std::chrono::milliseconds kTarget{1000};
constexpr std::chrono::seconds kBurst{12};

struct Played {
  int in_time = 0;
  int asked = 0;
};

/// Plays eight slots that answer requests one after the other, each for 400 ms, against arrivals at `load`
/// times what they can answer.
Played Play(double load, bool gated) {
  constexpr int kServers = 8;
  constexpr std::chrono::milliseconds kService{400};
  base::Random random(3);
  AdaptiveAdmission gate;
  std::deque<std::chrono::milliseconds> queue;
  std::vector<std::chrono::milliseconds> busy(kServers, std::chrono::milliseconds{0});
  Played played;
  double due = 0;
  for (std::chrono::milliseconds now{0}; now < kBurst; now += kStep) {
    due += load * kServers / static_cast<double>(kService.count());
    for (; due >= 1; --due) {
      ++played.asked;
      if (!gated || gate.Admits(random.Unit())) queue.push_back(now);
    }
    for (auto& free_at : busy) {
      if (free_at > now || queue.empty()) continue;
      const std::chrono::milliseconds wait = now - queue.front();
      queue.pop_front();
      gate.Observe(wait <= kTarget);
      played.in_time += wait <= kTarget ? 1 : 0;
      free_at = now + kService;
    }
  }
  return played;
}

struct LoadCase {
  const char* name;
  double load;   // arrivals against what the slots can answer
  double least;  // answers in time against those without the gate
};
class AdaptiveAdmissionTest : public ::testing::TestWithParam<LoadCase> {};

// Guards against a queue at which every caller waits beyond the target, and against refusals without need.
TEST_P(AdaptiveAdmissionTest, MoreCallersAreAnsweredInTime) {
  const Played open = Play(GetParam().load, false);
  const Played gated = Play(GetParam().load, true);
  EXPECT_GE(gated.in_time, GetParam().least * open.in_time);
}

INSTANTIATE_TEST_SUITE_P(Loads, AdaptiveAdmissionTest,
                         ::testing::Values(LoadCase{"Calm", 0.8, 1}, LoadCase{"Full", 0.98, 1},
                                           LoadCase{"Over", 1.4, 2}, LoadCase{"Twice", 2, 2}),
                         [](const auto& info) { return info.param.name; });

// Guards against a gate that stays shut after the load has gone.
TEST(AdaptiveAdmissionTest, OpensAgain) {
  AdaptiveAdmission gate;
  for (int i = 0; i < 1000; ++i) gate.Observe(false);
  EXPECT_GT(gate.share(), 0);
  EXPECT_LT(gate.share(), 0.3);
  for (int i = 0; i < 50; ++i) gate.Observe(true);
  EXPECT_EQ(gate.share(), 1);
}

// Guards against clients that come back together.
TEST(AdaptiveAdmissionTest, SpreadsReturns) {
  EXPECT_GE(AdaptiveAdmission::RetryAfter(0.99) - AdaptiveAdmission::RetryAfter(0), std::chrono::seconds(2));
}

}  // namespace
}  // namespace cornelplank::serving
