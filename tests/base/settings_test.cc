#include <gtest/gtest.h>

#include "libs/base/base.h"

namespace cornelplank::base {
namespace {

using std::chrono::milliseconds;

struct FaultCase {
  const char* name;
  const char* text;
  const char* expected;
};

class SettingsFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against a malformed setting that is accepted, or reported without its file, line, section and key.
TEST_P(SettingsFaultTest, NamesFileLineSectionAndKey) {
  Settings settings = Settings::Parse("vm.ini", GetParam().text);
  settings.Address("listen", "clients", "127.0.0.1:0");
  settings.Integer("limits", "streams", 100, 1, 1000);
  settings.Time("limits", "drain", milliseconds{10}, milliseconds{60000});
  settings.Flag("limits", "strict", true);
  const auto faults = settings.Finish();
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0].Text(), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SettingsFaultTest,
    testing::Values(
        FaultCase{"UnknownKey", "[listen]\nclinets = 127.0.0.1:1\n",
                  "vm.ini:2: [listen] clinets: unknown key"},
        FaultCase{"BadAddress", "[listen]\nclients = host:80\n",
                  "vm.ini:2: [listen] clients: must be IP:PORT"},
        FaultCase{"OutOfRange", "\n[limits]\nstreams = 0\n",
                  "vm.ini:3: [limits] streams: must be a number from 1 to 1000"},
        FaultCase{"NoUnit", "[limits]\ndrain = 10\n",
                  "vm.ini:2: [limits] drain: must be a number with the unit ms, s or min, at most 60000ms"},
        FaultCase{"TwoPoints", "[limits]\ndrain = 1.5.2s\n",
                  "vm.ini:2: [limits] drain: must be a number with the unit ms, s or min, at most 60000ms"},
        FaultCase{"TooLong", "[limits]\ndrain = 60.001s\n",
                  "vm.ini:2: [limits] drain: must be a number with the unit ms, s or min, at most 60000ms"},
        FaultCase{"Negative", "[limits]\ndrain = -1s\n",
                  "vm.ini:2: [limits] drain: must be a number with the unit ms, s or min, at most 60000ms"},
        FaultCase{"BadFlag", "[limits]\nstrict = yes\n", "vm.ini:2: [limits] strict: must be true or false"},
        FaultCase{"GivenTwice", "[limits]\nstreams = 5\nstreams = 6\n",
                  "vm.ini:3: [limits] streams: the key is given twice"},
        FaultCase{"NoValue", "[limits]\nstreams\n",
                  "vm.ini:2: [] streams: expected \"key = value\" or \"[section]\""}),
    [](const auto& info) { return info.param.name; });

struct TimeCase {
  const char* text;
  milliseconds expected;
};
class SettingsTimeTest : public testing::TestWithParam<TimeCase> {};

// Guards against a time that is refused, or changed, since it is written as a fraction.
TEST_P(SettingsTimeTest, IsReadInItsUnit) {
  Settings settings = Settings::Parse("vm.ini", std::string("[limits]\ndrain = ") + GetParam().text + "\n");
  EXPECT_EQ(settings.Time("limits", "drain", milliseconds{10}, milliseconds{600000}), GetParam().expected);
  EXPECT_TRUE(settings.Finish().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table, SettingsTimeTest,
    testing::Values(TimeCase{"250ms", milliseconds{250}}, TimeCase{"0s", milliseconds{0}},
                    TimeCase{"4000.0ms", milliseconds{4000}}, TimeCase{"7.5s", milliseconds{7500}},
                    TimeCase{"0.1005 s", milliseconds{101}}, TimeCase{"10min", milliseconds{600000}}));

// Guards against values that are cut where the INI library's buffer ends, and against parts of one that are
// taken for a comment or lose their blanks.
TEST(SettingsTest, ReadsLinesOfAnyLength) {
  for (size_t length = 1; length < 2000; length += length < 450 ? 1 : 111) {
    std::string value;
    for (size_t i = 0; value.size() < length; ++i) {
      value += i % 7 == 3 ? "a b" : i % 5 == 2 ? "x;y#z" : "zone:r,";
    }
    value.resize(length, 'x');
    value.back() = 'x';
    const std::string comment(length, '=');
    Settings settings = Settings::Parse("vm.ini", "; " + comment + "\n[vm]\nzones = " + value + " ; " +
                                                      comment + "\n# a " + comment + "\nname = vm-1\n");
    EXPECT_EQ(settings.RequiredText("vm", "zones"), value);
    EXPECT_EQ(settings.RequiredText("vm", "name"), "vm-1");
    EXPECT_TRUE(settings.Finish().empty());
  }
}

// Guards against a missing required key that is not reported.
TEST(SettingsTest, ReportsMissingRequiredKey) {
  Settings settings = Settings::Parse("vm.ini", "");
  settings.RequiredText("vm", "id");
  const auto faults = settings.Finish();
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0].Text(), "vm.ini:0: [vm] id: a value is required");
}

}  // namespace
}  // namespace cornelplank::base
