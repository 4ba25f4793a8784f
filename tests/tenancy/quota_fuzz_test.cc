#include <gtest/gtest.h>

#include "tests/tenancy/quota_fuzz.h"

namespace cornelplank::tenancy {
namespace {

// Guards against some order of faults, joins and changed limits in which the VMs together grant more than the
// bound. With this seed the fuzzer found zones that restarted while they were cut off and then refilled as
// the whole region, and parts of a region that each filled a whole bucket.
TEST(QuotaFuzzTest, FixedSeed) {
  const auto violation = FuzzQuotas(7, 10'000, {});
  EXPECT_FALSE(violation.has_value()) << *violation;
}

// Guards against a fuzzer that no longer detects grants above the bound.
TEST(QuotaFuzzTest, DetectsBucketsThatAreTooLarge) {
  QuotaBounds wrong;
  wrong.overage = 0.75;
  EXPECT_TRUE(FuzzQuotas(1, 1500, wrong).has_value());
}

}  // namespace
}  // namespace cornelplank::tenancy
