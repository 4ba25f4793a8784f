#include <gtest/gtest.h>

#include "tests/upstreams/upstreams_fuzz.h"

namespace cornelplank::upstreams {
namespace {

// Guards against a wrong ejection, leaving or load state after some order of events.
TEST(UpstreamsFuzzTest, FixedSeed) {
  const auto violation = FuzzUpstreams(1, 50000, TableFault::kNone);
  EXPECT_FALSE(violation.has_value()) << *violation;
}

class UpstreamsFaultTest : public testing::TestWithParam<TableFault> {};

// Guards against a fuzzer that no longer detects faults.
TEST_P(UpstreamsFaultTest, IsCaught) { EXPECT_TRUE(FuzzUpstreams(1, 20000, GetParam()).has_value()); }

INSTANTIATE_TEST_SUITE_P(Faults, UpstreamsFaultTest,
                         testing::Values(TableFault::kForgetsLeavingResponse, TableFault::kEjectsWithoutBound,
                                         TableFault::kProbesTwice, TableFault::kTakesOldReports,
                                         TableFault::kIgnoresSuccessRates));

}  // namespace
}  // namespace cornelplank::upstreams
