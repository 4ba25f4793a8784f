#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "tests/membership/membership_fuzz.h"

namespace cornelplank::membership {
namespace {

constexpr uint64_t kSteps = 50000;

// Guards against VM tables that break their rules under a mix of kills, pauses, partitions, lost, late and
// repeated messages and old VM lists.
TEST(MembershipFuzzTest, FixedSeedHasNoViolation) {
  const auto violation = FuzzMembership(MembershipFault::kNone, 1, kSteps);
  EXPECT_FALSE(violation) << *violation;
}

// Guards against a zone that stops reading the platform, and against more fall-back reads than one per 5 s
// and node.
TEST(ReadersFuzzTest, FixedSeedHasNoViolation) {
  const auto violation = FuzzReaders(MembershipFault::kNone, 1, kSteps);
  EXPECT_FALSE(violation) << *violation;
}

// Guards against a fuzzer that misses fall-back reads without a limit.
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

// Guards against a fuzzer that misses a deliberate breach of the rules.
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
