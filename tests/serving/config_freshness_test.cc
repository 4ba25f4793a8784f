#include <gtest/gtest.h>

#include "libs/serving/serving.h"

namespace cornelplank::serving {
namespace {

using State = ConfigFreshness::State;
using std::chrono::milliseconds;

constexpr milliseconds kMaxAge{3500};

struct FreshnessEvent {
  enum Kind { kConfirmed, kReadFailed, kApplied, kVersionHeard } kind;
  milliseconds at;
  uint64_t version = 0;
};

struct FreshnessCase {
  const char* name;
  std::vector<FreshnessEvent> events;
  milliseconds at;
  State expected;
};

class ConfigFreshnessTest : public ::testing::TestWithParam<FreshnessCase> {};

// Guards against requests that are placed by a configuration which a newer one has replaced.
TEST_P(ConfigFreshnessTest, Assesses) {
  const base::TimePoint start{std::chrono::hours(1)};
  ConfigFreshness freshness(kMaxAge);
  for (const FreshnessEvent& event : GetParam().events) {
    const base::TimePoint at = start + event.at;
    switch (event.kind) {
      case FreshnessEvent::kConfirmed:
        freshness.OnConfirmed(at);
        break;
      case FreshnessEvent::kReadFailed:
        freshness.OnReadFailed(at);
        break;
      case FreshnessEvent::kApplied:
        freshness.OnApplied(event.version);
        break;
      case FreshnessEvent::kVersionHeard:
        freshness.OnVersionHeard(event.version, at);
        break;
    }
  }
  const base::TimePoint now = start + GetParam().at;
  EXPECT_EQ(freshness.Assess(now), GetParam().expected) << ConfigStateName(freshness.Assess(now));
  const bool usable = GetParam().expected == State::kCurrent || GetParam().expected == State::kIsolated;
  EXPECT_EQ(freshness.MayPlaceBoundRequests(now), usable);
}

constexpr auto kConfirmed = FreshnessEvent::kConfirmed;
constexpr auto kReadFailed = FreshnessEvent::kReadFailed;
constexpr auto kApplied = FreshnessEvent::kApplied;
constexpr auto kVersionHeard = FreshnessEvent::kVersionHeard;

INSTANTIATE_TEST_SUITE_P(
    Histories, ConfigFreshnessTest,
    ::testing::Values(
        FreshnessCase{"NothingKnownYet", {}, milliseconds(9000), State::kCurrent},
        FreshnessCase{"Confirmed", {{kConfirmed, milliseconds(0)}}, milliseconds(3400), State::kCurrent},
        FreshnessCase{
            "ResumesAfterAPause", {{kConfirmed, milliseconds(0)}}, milliseconds(7000), State::kUnconfirmed},
        FreshnessCase{"ConnectionsBrokeDuringAPause",
                      {{kConfirmed, milliseconds(0)}, {kReadFailed, milliseconds(7000)}},
                      milliseconds(7100),
                      State::kUnconfirmed},
        FreshnessCase{"ConfirmedAfterAPause",
                      {{kConfirmed, milliseconds(0)},
                       {kReadFailed, milliseconds(7000)},
                       {kConfirmed, milliseconds(7050)}},
                      milliseconds(7100),
                      State::kCurrent},
        FreshnessCase{"StoreOutage",
                      {{kConfirmed, milliseconds(0)}, {kReadFailed, milliseconds(2400)}},
                      milliseconds(3600),
                      State::kIsolated},
        FreshnessCase{"StartsFromAnOutdatedPeer",
                      {{kReadFailed, milliseconds(0)}},
                      milliseconds(100),
                      State::kUnconfirmed},
        FreshnessCase{"StartsDuringAStoreOutage",
                      {{kReadFailed, milliseconds(0)}},
                      milliseconds(1100),
                      State::kIsolated},
        FreshnessCase{"NewerVersionOnItsWay",
                      {{kApplied, {}, 3}, {kConfirmed, milliseconds(0)}, {kVersionHeard, milliseconds(0), 5}},
                      milliseconds(900),
                      State::kCurrent},
        FreshnessCase{"NewerVersionMissed",
                      {{kApplied, {}, 3}, {kConfirmed, milliseconds(0)}, {kVersionHeard, milliseconds(0), 5}},
                      milliseconds(1100),
                      State::kOutdated},
        FreshnessCase{"EachOfASeriesMissed",
                      {{kApplied, {}, 3},
                       {kConfirmed, milliseconds(0)},
                       {kVersionHeard, milliseconds(0), 5},
                       {kVersionHeard, milliseconds(900), 7}},
                      milliseconds(1100),
                      State::kOutdated},
        FreshnessCase{"OutdatedThoughIsolated",
                      {{kApplied, {}, 3},
                       {kConfirmed, milliseconds(0)},
                       {kReadFailed, milliseconds(500)},
                       {kVersionHeard, milliseconds(600), 5}},
                      milliseconds(9000),
                      State::kOutdated},
        FreshnessCase{"CaughtUp",
                      {{kApplied, {}, 3},
                       {kConfirmed, milliseconds(0)},
                       {kVersionHeard, milliseconds(0), 5},
                       {kApplied, {}, 5}},
                      milliseconds(1100),
                      State::kCurrent}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::serving
