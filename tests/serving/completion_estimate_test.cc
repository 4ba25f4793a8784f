#include <gtest/gtest.h>

#include "libs/serving/serving.h"

namespace cornelplank::serving {
namespace {

using std::chrono::milliseconds;

struct TimesCase {
  const char* name;
  std::vector<milliseconds> times;  // taken in turn, 100 observations in all
  milliseconds least;
  milliseconds most;
};
class CompletionEstimateTest : public ::testing::TestWithParam<TimesCase> {};

// Guards against estimates that most requests exceed, and against ones far above all of them.
TEST_P(CompletionEstimateTest, CoversTheObservedTimes) {
  CompletionEstimate estimate;
  for (int i = 0; i < 100; ++i) {
    estimate.Observe("a", GetParam().times[static_cast<size_t>(i) % GetParam().times.size()]);
  }
  ASSERT_TRUE(estimate.Upper("a"));
  EXPECT_GE(*estimate.Upper("a"), GetParam().least);
  EXPECT_LE(*estimate.Upper("a"), GetParam().most);
  EXPECT_FALSE(estimate.Upper("b"));
}

INSTANTIATE_TEST_SUITE_P(
    Times, CompletionEstimateTest,
    ::testing::Values(
        TimesCase{"Equal", {milliseconds(30)}, milliseconds(30), milliseconds(31)},
        TimesCase{"Spread", {milliseconds(500), milliseconds(1500)}, milliseconds(1500), milliseconds(4000)}),
    [](const auto& info) { return info.param.name; });

// Guards against memory that grows with each route that a configuration adds.
TEST(CompletionEstimateBoundTest, KeepsABoundedNumberOfRoutes) {
  CompletionEstimate estimate;
  for (size_t i = 0; i <= CompletionEstimate::kMaxRoutes; ++i) {
    estimate.Observe(std::to_string(i), milliseconds(30));
  }
  EXPECT_FALSE(estimate.Upper("0"));
  EXPECT_TRUE(estimate.Upper(std::to_string(CompletionEstimate::kMaxRoutes)));
}

}  // namespace
}  // namespace cornelplank::serving
