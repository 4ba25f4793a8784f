#include "libs/pace/pace.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>

namespace cornelplank::pace {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr std::array<double, 3> kFactors{0.6, 1.0, 1.6};

base::Duration FromMs(double ms) {
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(ms));
}

double ToMs(base::Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

struct PaceTest : ::testing::TestWithParam<bool> {
  /// Three replicas that take kFactors of the usual 40 ms for 8 tokens or a request, in turn slow for 0.6 s
  /// of 3.6 s. `interrupted`: chance that a prompt of 33 ms comes in between.
  void Learn(int rounds, double interrupted) {
    base::Random random(3);
    for (int i = 0; i < rounds; ++i, now += milliseconds(50)) {
      for (size_t k = 0; k < replicas.size(); ++k) {
        const bool slow = (i / 12 + 2 * k) % 6 == 0;
        const double slowdown = slow ? 2.5 : 1;
        replicas[k].OnStatedSlowdown(slowdown * 100, now);
        double ms = 40 * kFactors[k] * slowdown * (0.9 + 0.2 * random.Unit());
        if (random.Unit() < interrupted) ms += 33 * kFactors[k] * slowdown;
        if (GetParam()) {
          replicas[k].OnTokens(&service, 8, FromMs(ms), now);
        } else {
          replicas[k].OnAnswer(&service, FromMs(ms), now);
        }
      }
    }
  }

  ServicePace service;
  std::array<ReplicaPace, 3> replicas;
  base::TimePoint now = kStart;
};

INSTANTIATE_TEST_SUITE_P(EngineAndPlain, PaceTest, ::testing::Bool(),
                         [](const auto& instance) { return instance.param ? "Engine" : "Plain"; });

// Guards against slow phases, and prompts of other requests, that are taken for the lasting speed.
TEST_P(PaceTest, SpeedsAreLearntThroughSlowPhasesAndPrompts) {
  Learn(300, 0.3);
  const double middle = replicas[1].TimeFactor(now);
  for (size_t k = 0; k < replicas.size(); ++k) {
    EXPECT_NEAR(replicas[k].TimeFactor(now) / middle, kFactors[k], 0.15 * kFactors[k]);
  }
}

// Guards against a speed that outlives its replica's last response, and against a new one without values.
TEST_P(PaceTest, ValuesReturnToThoseOfTheServiceWithoutReports) {
  Learn(300, 0);
  EXPECT_EQ(ReplicaPace().TimeFactor(now), 1);
  EXPECT_EQ(ReplicaPace().Slowdown(now), 1);
  now += std::chrono::minutes(10);
  for (const ReplicaPace& replica : replicas) {
    EXPECT_NEAR(replica.TimeFactor(now), 1, 0.01);
    EXPECT_NEAR(replica.Slowdown(now), 1, 0.01);
  }
}

struct SlowdownCase {
  double percent;
  milliseconds age;
  double expected;
};

struct SlowdownTest : ::testing::TestWithParam<SlowdownCase> {};

INSTANTIATE_TEST_SUITE_P(Cases, SlowdownTest,
                         ::testing::Values(SlowdownCase{250, milliseconds(0), 2.5},
                                           SlowdownCase{250, milliseconds(600), 1 + 1.5 / 2.71828},
                                           SlowdownCase{250, milliseconds(60000), 1},
                                           SlowdownCase{0, milliseconds(0), 0.1},
                                           SlowdownCase{1e9, milliseconds(0), 20}));

// Guards against stated figures without bound, and against a slowdown that is believed after its time.
TEST_P(SlowdownTest, IsBoundedAndDecays) {
  ReplicaPace replica;
  replica.OnStatedSlowdown(GetParam().percent, kStart);
  EXPECT_NEAR(replica.Slowdown(kStart + GetParam().age), GetParam().expected, 0.001);
  const double mean = ReplicaPace::MeanSlowdown(GetParam().expected, milliseconds(600));
  EXPECT_LE(std::abs(mean - 1), std::abs(GetParam().expected - 1) + 0.001);
}

// Guards against estimates that ignore the replica's speed or the work that it has.
TEST(Estimate, GrowsWithLoadAndSlowness) {
  ServicePace service;
  ReplicaPace usual;
  ReplicaPace slow;
  slow.OnStatedSlowdown(250, kStart);
  const RequestShape request{2000, 200, 8};
  const Forecast idle = Estimate(usual, service, {0, 0, 16}, request, kStart);
  const std::array<Forecast, 3> worse{Estimate(usual, service, {4, 20000, 16}, request, kStart),
                                      Estimate(usual, service, {20, 6000, 16}, request, kStart),
                                      Estimate(slow, service, {0, 0, 16}, request, kStart)};
  EXPECT_NEAR(ToMs(idle.first_event.mean), 2000 / 55.0 + 5, 1);
  EXPECT_NEAR(ToMs(idle.longest_pause.mean), 40, 1);
  EXPECT_NEAR(ToMs(idle.end.mean), 2000 / 55.0 + 5 + 1000, 1);
  for (size_t i = 0; i < worse.size(); ++i) {
    EXPECT_GT(worse[i].first_event.mean, idle.first_event.mean) << i;
    EXPECT_GT(worse[i].longest_pause.mean, idle.longest_pause.mean) << i;
    EXPECT_GT(worse[i].end.mean, idle.end.mean) << i;
  }
}

// Guards against estimates that stay wrong by a constant factor, and against a spread that doesn't show it.
TEST(Estimate, FollowsObservedCourses) {
  ServicePace service;
  const ReplicaPace replica;
  const RequestShape request{2000, 200, 8};
  for (int i = 0; i < 300; ++i) {
    const Forecast forecast = Estimate(replica, service, {0, 0, 16}, request, kStart);
    Calibrate(&service, forecast, {milliseconds(80), milliseconds(120), milliseconds(600), true});
  }
  const Forecast forecast = Estimate(replica, service, {0, 0, 16}, request, kStart);
  EXPECT_NEAR(ToMs(forecast.first_event.mean), 80, 4);
  EXPECT_NEAR(ToMs(forecast.longest_pause.mean), 120, 6);
  EXPECT_NEAR(ToMs(forecast.end.mean), 600, 30);
  EXPECT_LT(forecast.end.ChanceBeyond(milliseconds(900)), 0.05);
  EXPECT_GT(forecast.end.ChanceBeyond(milliseconds(400)), 0.95);
  EXPECT_LE(forecast.end.Optimistic(), forecast.end.mean);
}

}  // namespace
}  // namespace cornelplank::pace
