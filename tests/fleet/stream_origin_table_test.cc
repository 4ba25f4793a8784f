#include <gtest/gtest.h>

#include "libs/fleet/fleet.h"

namespace cornelplank::fleet {
namespace {

using std::chrono::seconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};

struct Step {
  int second;
  uint64_t attempt;
  uint64_t software;
};

struct TableCase {
  const char* name;
  size_t max_records;
  std::vector<Step> steps;
  int forget_before;  // second
  std::map<uint64_t, std::optional<StreamOrigin>> expected;
};

constexpr StreamOrigin kConflict{0, true};

class StreamOriginTableTest : public testing::TestWithParam<TableCase> {};

// Guards against records that are lost too early, kept for ever, or kept in any number, and against one of
// two recorded versions that is taken for the only one.
TEST_P(StreamOriginTableTest, KeepsWhatItShould) {
  StreamOriginTable table(GetParam().max_records);
  for (const Step& step : GetParam().steps) {
    table.Record(step.attempt, {step.software}, kStart + seconds(step.second));
    EXPECT_LE(table.size(), GetParam().max_records);
  }
  table.ForgetBefore(kStart + seconds(GetParam().forget_before));
  for (const auto& [attempt, origin] : GetParam().expected) EXPECT_EQ(table.Find(attempt), origin);
}

INSTANTIATE_TEST_SUITE_P(
    All, StreamOriginTableTest,
    testing::Values(
        TableCase{"Nothing", 4, {}, 0, {{1, std::nullopt}}},
        TableCase{"Recorded", 4, {{0, 1, 7}, {0, 2, 8}}, 0, {{1, {{7}}}, {2, {{8}}}, {3, std::nullopt}}},
        TableCase{"Forgotten", 4, {{0, 1, 7}, {5, 2, 8}}, 5, {{1, std::nullopt}, {2, {{8}}}}},
        TableCase{"Renewed", 4, {{0, 1, 7}, {5, 1, 7}}, 3, {{1, {{7}}}}},
        TableCase{"OtherVersion", 4, {{0, 1, 7}, {1, 1, 8}}, 0, {{1, kConflict}}},
        TableCase{
            "OtherVersionThenTheFirst", 4, {{0, 1, 7}, {1, 1, 8}, {2, 1, 7}, {3, 1, 7}}, 3, {{1, kConflict}}},
        TableCase{"OtherVersionForgotten", 4, {{0, 1, 7}, {1, 1, 8}}, 2, {{1, std::nullopt}}},
        TableCase{"OtherVersionRenewed", 4, {{0, 1, 7}, {1, 1, 8}, {9, 1, 8}}, 9, {{1, kConflict}}},
        TableCase{
            "Full", 2, {{0, 1, 7}, {1, 2, 7}, {2, 3, 7}}, 0, {{1, std::nullopt}, {2, {{7}}}, {3, {{7}}}}},
        TableCase{"FullByRenewals",
                  2,
                  {{0, 1, 7}, {1, 2, 7}, {2, 2, 7}, {3, 2, 7}},
                  0,
                  {{1, std::nullopt}, {2, {{7}}}}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::fleet
