#include <gtest/gtest.h>

#include "platform/platform.h"

namespace cornelplank::platform {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBound{4000};

struct ReadCase {
  const char* name;
  std::optional<milliseconds> confirmed_before;  // none: never
  int failed_reads;                              // in a row
  milliseconds last_read_before;
  bool expected;
};
class DirectReadPolicyTest : public ::testing::TestWithParam<ReadCase> {};

// Guards against changes that are not read in time, and against calls to the store beyond need.
TEST_P(DirectReadPolicyTest, ReadsBeforeTheBound) {
  const base::TimePoint start{std::chrono::hours(1)};
  const base::TimePoint now = start + std::chrono::seconds(60);
  DirectReadPolicy policy(kBound, start);
  for (int i = 0; i < GetParam().failed_reads; ++i) policy.OnRead(false, now - GetParam().last_read_before);
  std::optional<base::TimePoint> confirmed_at;
  if (GetParam().confirmed_before) confirmed_at = now - *GetParam().confirmed_before;
  EXPECT_EQ(policy.ShouldRead(confirmed_at, now), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Ages, DirectReadPolicyTest,
    ::testing::Values(ReadCase{"Confirmed", milliseconds(2800), 0, {}, false},
                      ReadCase{"NotConfirmed", milliseconds(2900), 0, {}, true},
                      ReadCase{"NeverConfirmed", std::nullopt, 0, {}, true},
                      ReadCase{"AfterAFailure", milliseconds(3400), 1, milliseconds(240), false},
                      ReadCase{"RetriesWithinTheBound", milliseconds(3400), 1, milliseconds(250), true},
                      ReadCase{"BacksOff", milliseconds(9000), 4, milliseconds(1900), false},
                      ReadCase{"LongOutage", milliseconds(90000), 20, milliseconds(4000), true}),
    [](const auto& info) { return info.param.name; });

// Guards against a pause that outlasts the outage it was made for.
TEST(DirectReadPolicy, StartsAnewAfterAnAnswer) {
  const base::TimePoint start{std::chrono::hours(1)};
  DirectReadPolicy policy(kBound, start);
  for (int i = 0; i < 8; ++i) policy.OnRead(false, start);
  policy.OnRead(true, start + std::chrono::seconds(10));
  EXPECT_TRUE(policy.ShouldRead(start, start + std::chrono::seconds(10)));
}

struct BoundCase {
  const char* name;
  milliseconds bound;
  bool ordinary_reads_suffice;
};
class ReadTimesTest : public ::testing::TestWithParam<BoundCase> {};

// Guards against VMs that refuse low bounds, and against direct reads beside sources that work.
TEST_P(ReadTimesTest, LeavesTimeForADirectRead) {
  const milliseconds bound = GetParam().bound;
  const ReadTimes times = ReadTimes::ForBound(bound);
  // The age that a VM may find when it reads from another one, with the way of both answers.
  const milliseconds ordinary_age = times.store_watch_wait + times.peer_watch_wait + milliseconds(200);
  const base::TimePoint now{std::chrono::hours(1)};
  DirectReadPolicy policy(bound, now - std::chrono::seconds(60));
  EXPECT_EQ(policy.ShouldRead(now - ordinary_age, now), !GetParam().ordinary_reads_suffice);
  EXPECT_TRUE(policy.ShouldRead(now - (bound - times.direct_read_margin), now));
  EXPECT_LE(times.direct_read_margin, bound / 3);
  EXPECT_GE(times.peer_watch_wait, milliseconds(200));
}

INSTANTIATE_TEST_SUITE_P(Bounds, ReadTimesTest,
                         ::testing::Values(BoundCase{"Least", ReadTimes::kMinBound, false},
                                           BoundCase{"TwoSeconds", milliseconds(2000), false},
                                           BoundCase{"ThreeSeconds", milliseconds(3000), true},
                                           BoundCase{"Default", milliseconds(4000), true},
                                           BoundCase{"LargeSites", milliseconds(5000), true},
                                           BoundCase{"DesignSize", milliseconds(14000), true}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::platform
