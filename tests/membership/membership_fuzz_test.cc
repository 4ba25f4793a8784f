#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "tests/membership/membership_fuzz.h"

namespace cornelplank::membership {
namespace {

constexpr uint64_t kSteps = 50000;

// Guards against views that break the rules of the table under any mix of faults.
TEST(MembershipFuzzTest, FixedSeedHasNoViolation) {
  const auto violation = FuzzMembership(MembershipFault::kNone, 1, kSteps);
  EXPECT_FALSE(violation) << *violation;
}

// Guards against a zone that stops reading the platform, and against calls beyond the budget.
TEST(ReadersFuzzTest, FixedSeedHasNoViolation) {
  const auto violation = FuzzReaders(MembershipFault::kNone, 1, kSteps);
  EXPECT_FALSE(violation) << *violation;
}

// Guards against a fuzzer that overlooks a fall-back without a budget.
TEST(ReadersFuzzTest, FindsTheMissingBudget) {
  const auto violation = FuzzReaders(MembershipFault::kNoReadBudget, 1, kSteps);
  ASSERT_TRUE(violation);
  EXPECT_THAT(*violation, testing::HasSubstr("within 5 s"));
}

struct FaultCase {
  const char* name;
  MembershipFault fault;
  const char* violation;
};

class MembershipFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against a fuzzer that overlooks a table which breaks a rule.
TEST_P(MembershipFaultTest, IsFound) {
  const auto violation = FuzzMembership(GetParam().fault, 1, kSteps);
  ASSERT_TRUE(violation);
  EXPECT_THAT(*violation, testing::HasSubstr(GetParam().violation));
}

INSTANTIATE_TEST_SUITE_P(
    Table, MembershipFaultTest,
    testing::Values(FaultCase{"AcceptsOlder", MembershipFault::kAcceptOlder, "older incarnation"},
                    FaultCase{"Flaps", MembershipFault::kOneWayEvidence, "without two answers"},
                    FaultCase{"AgeFromCalls", MembershipFault::kAgeFromCalls, "looks younger"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::membership
