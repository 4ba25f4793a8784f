#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "libs/retry/retry.h"
#include "tests/retry/retry_fuzz.h"

namespace cornelplank::retry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::HasSubstr;
using testing::Optional;

// Guards against calls that are repeated although they must not be, exceeded budgets, and parts of a response
// that are passed on from the wrong attempt.
TEST(RetryFuzzTest, FixedSeedFindsNoViolation) {
  const auto violation = FuzzRetry(1, 100000, RetryFault::kNone);
  EXPECT_FALSE(violation) << *violation;
}

// Guards against tokens that are lost, repeated or reordered, and streams that break off without an error.
TEST(StreamFuzzTest, FixedSeedFindsNoViolation) {
  const auto violation = FuzzStream(1, 100000, StreamFault::kNone);
  EXPECT_FALSE(violation) << *violation;
}

template <typename Fault>
struct FaultCase {
  Fault fault;
  const char* violation;
};
class RetryFaultTest : public testing::TestWithParam<FaultCase<RetryFault>> {};
class StreamFaultTest : public testing::TestWithParam<FaultCase<StreamFault>> {};

// Guards against an oracle that can't fail: it must detect each deliberate fault.
TEST_P(RetryFaultTest, OracleCatchesIt) {
  EXPECT_THAT(FuzzRetry(1, 100000, GetParam().fault), Optional(HasSubstr(GetParam().violation)));
}
TEST_P(StreamFaultTest, OracleCatchesIt) {
  EXPECT_THAT(FuzzStream(1, 100000, GetParam().fault), Optional(HasSubstr(GetParam().violation)));
}

INSTANTIATE_TEST_SUITE_P(
    Faults, RetryFaultTest,
    testing::Values(FaultCase<RetryFault>{RetryFault::kRetryAfterBytesLeft, "must not be repeated"},
                    FaultCase<RetryFault>{RetryFault::kPastDeadline, "past the deadline"},
                    FaultCase<RetryFault>{RetryFault::kNoBudget, "than the budget"},
                    FaultCase<RetryFault>{RetryFault::kSameReplica, "the same replica"},
                    FaultCase<RetryFault>{RetryFault::kDoubleSend, "a late part was passed on"},
                    FaultCase<RetryFault>{RetryFault::kAnyIdAccepted, "a part"}));
INSTANTIATE_TEST_SUITE_P(
    Faults, StreamFaultTest,
    testing::Values(FaultCase<StreamFault>{StreamFault::kTokenTwice, "at place"},
                    FaultCase<StreamFault>{StreamFault::kNoTerminal, "ended with tokens missing"},
                    FaultCase<StreamFault>{StreamFault::kEndWithGap, "ended with tokens missing"},
                    FaultCase<StreamFault>{StreamFault::kLateAccepted, "a token of a replaced attempt"}));

struct PolicyCase {
  const char* name;
  RetryCode expected;
  void (*change)(RetryQuery*, double* tokens);
};
class RetryPolicyTest : public testing::TestWithParam<PolicyCase> {};

// Guards against a retry that is not allowed, a refusal with the wrong reason, and a refusal that uses up
// budget.
TEST_P(RetryPolicyTest, RefusesWithTheReason) {
  const std::vector<RetryCandidate> candidates{{1, 1, milliseconds(100)}, {2, 0, milliseconds(100)}};
  RetryQuery query;
  query.idempotent = true;
  query.deadline = query.now + seconds(2);
  query.candidates = candidates;
  double tokens = 10;
  RetryBudget full_budget(0.1, tokens);
  ASSERT_EQ(RetryPolicy().Decide(query, &full_budget, nullptr)->replica, 2U);
  GetParam().change(&query, &tokens);
  RetryBudget budget(0.1, tokens);
  RetryReason reason;
  EXPECT_FALSE(RetryPolicy().Decide(query, &budget, &reason));
  EXPECT_EQ(reason.code, GetParam().expected);
  EXPECT_EQ(budget.tokens(), tokens);
}

INSTANTIATE_TEST_SUITE_P(
    Table, RetryPolicyTest,
    testing::Values(
        PolicyCase{"Forwarded", RetryCode::kNotEntryVm, [](RetryQuery* q, double*) { q->entry_vm = false; }},
        PolicyCase{"NotIdempotent", RetryCode::kNotIdempotent,
                   [](RetryQuery* q, double*) { q->idempotent = false; }},
        PolicyCase{"Answered", RetryCode::kAnswered,
                   [](RetryQuery* q, double*) { q->outcome = base::Outcome::kRan; }},
        PolicyCase{"PartlySent", RetryCode::kNotResumable,
                   [](RetryQuery* q, double*) { q->response_partly_sent = true; }},
        PolicyCase{"Attempts", RetryCode::kTooManyAttempts, [](RetryQuery* q, double*) { q->attempts = 4; }},
        PolicyCase{"NoReplica", RetryCode::kNoReplica, [](RetryQuery* q, double*) { q->candidates = {}; }},
        PolicyCase{"Deadline", RetryCode::kDeadline,
                   [](RetryQuery* q, double*) { q->deadline = q->now + milliseconds(100); }},
        PolicyCase{"Budget", RetryCode::kBudgetExhausted,
                   [](RetryQuery*, double* tokens) { *tokens = 0.5; }}),
    [](const auto& info) { return info.param.name; });

// Guards against a hedge delay that is far from the 95th percentile or does not follow a change of the
// latency.
TEST(HedgeDelayTest, FollowsTheRunningQuantile) {
  HedgeDelay delay;
  EXPECT_FALSE(delay.Delay());
  for (int i = 0; i < 1000; ++i) delay.Record(milliseconds(i % 100 < 95 ? 200 : 3000));
  EXPECT_NEAR(static_cast<double>(delay.Delay()->count()) / 1e6, 200, 20);
  for (int i = 0; i < 4000; ++i) delay.Record(milliseconds(800));
  EXPECT_NEAR(static_cast<double>(delay.Delay()->count()) / 1e6, 800, 80);
}

}  // namespace
}  // namespace cornelplank::retry
