#include <gtest/gtest.h>

#include <limits>
#include <nlohmann/json.hpp>

#include "libs/base/base.h"

namespace cornelplank::base {
namespace {

constexpr double kInfinite = std::numeric_limits<double>::infinity();
constexpr uint64_t kMaxUnsigned = std::numeric_limits<uint64_t>::max();

struct IntegerCase {
  const char* name;
  double value;
  uint64_t least;
  uint64_t most;
  std::optional<uint64_t> expected;
};
class ToIntegerTest : public ::testing::TestWithParam<IntegerCase> {};

// Guards against conversions of numbers out of range, whose results differ between processors.
TEST_P(ToIntegerTest, ConvertsOnlyWhatFits) {
  const auto& param = GetParam();
  EXPECT_EQ(ToInteger<uint64_t>(param.value, param.least, param.most), param.expected);
}

INSTANTIATE_TEST_SUITE_P(
    Values, ToIntegerTest,
    ::testing::Values(IntegerCase{"Least", 3, 3, 9, 3}, IntegerCase{"BelowLeast", 2.9, 3, 9, {}},
                      IntegerCase{"Fraction", 8.9, 3, 9, 8}, IntegerCase{"Most", 9, 3, 9, 9},
                      IntegerCase{"AboveMost", 9.1, 3, 9, {}}, IntegerCase{"Negative", -1, 0, 9, {}},
                      IntegerCase{"NotANumber", std::nan(""), 0, kMaxUnsigned, {}},
                      IntegerCase{"Infinite", kInfinite, 0, kMaxUnsigned, {}},
                      IntegerCase{"TwoToThe64", 18446744073709551616.0, 0, kMaxUnsigned, {}},
                      IntegerCase{"TwoToThe63", 9223372036854775808.0, 0, kMaxUnsigned, 1ULL << 63}),
    [](const auto& info) { return info.param.name; });

struct NumberTextCase {
  const char* name;
  const char* text;
  std::optional<double> expected;
};
class ParseNumberTest : public ::testing::TestWithParam<NumberTextCase> {};

// Guards against numbers that are read although something else follows them, or that don't fit.
TEST_P(ParseNumberTest, ReadsOnlyWholeNumbersThatFit) {
  EXPECT_EQ(ParseNumber<double>(GetParam().text), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, ParseNumberTest,
    ::testing::Values(NumberTextCase{"Whole", "12", 12}, NumberTextCase{"Fraction", "0.25", 0.25},
                      NumberTextCase{"Blanks", " 12 ", 12}, NumberTextCase{"Negative", "-1", -1},
                      NumberTextCase{"Empty", "", {}}, NumberTextCase{"TextAfter", "12x", {}},
                      NumberTextCase{"TooLarge", "1e400", {}},
                      NumberTextCase{"Date", "Wed, 21 Oct 2026 07:28:00 GMT", {}}),
    [](const auto& info) { return info.param.name; });

struct DepthCase {
  const char* name;
  std::string text;
  bool readable;
};
class ParseJsonTest : public ::testing::TestWithParam<DepthCase> {};

// Guards against values whose nesting uses up the memory or the stack of a VM.
TEST_P(ParseJsonTest, RefusesDeepNesting) {
  EXPECT_EQ(!ParseJson(GetParam().text).is_discarded(), GetParam().readable);
}

std::string Nested(size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

INSTANTIATE_TEST_SUITE_P(Texts, ParseJsonTest,
                         ::testing::Values(DepthCase{"AtTheLimit", Nested(kMaxJsonDepth), true},
                                           DepthCase{"AboveTheLimit", Nested(kMaxJsonDepth + 1), false},
                                           DepthCase{"AMillionLevels", Nested(1'000'000), false},
                                           DepthCase{"NeverClosed", std::string(1'000'000, '['), false},
                                           DepthCase{"BracketsInText", '"' + std::string(100, '[') + '"',
                                                     true},
                                           DepthCase{"Malformed", "{", false}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::base
