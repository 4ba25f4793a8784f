#include <gtest/gtest.h>

#include "platform/platform.h"

namespace cornelplank::platform {
namespace {

std::string ManyRoutes(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    text += R"({"name":"r-)" + std::to_string(i * 7919) + R"(","host":"h.example","path_prefix":"/p)" +
            std::to_string(i) + R"(/","kind":"safe","timeout_ms":2000,"service":"svc","attempts":2},)";
  }
  return text;
}

std::string WithoutLastByte(const std::string& value) {
  std::string packed = PackValue(value);
  packed.pop_back();
  return packed;
}

struct PackCase {
  const char* name;
  std::string value;
};
class ValuePackingTest : public ::testing::TestWithParam<PackCase> {};

// Guards against a changed value between two VMs.
TEST_P(ValuePackingTest, UnpacksWhatItPacked) {
  const std::string packed = PackValue(GetParam().value);
  EXPECT_EQ(UnpackValue(packed, GetParam().value.size()), GetParam().value);
}

INSTANTIATE_TEST_SUITE_P(Values, ValuePackingTest,
                         ::testing::Values(PackCase{"Empty", ""}, PackCase{"Short", "{}"},
                                           PackCase{"Zeros", std::string(100000, '\0')},
                                           PackCase{"Routes", ManyRoutes(3000)}),
                         [](const auto& info) { return info.param.name; });

// Guards against a large configuration that fills the links of small VMs.
TEST(ValuePacking, ShrinksAConfiguration) {
  const std::string value = ManyRoutes(1000);
  EXPECT_LT(PackValue(value).size() * 5, value.size());
}

// Guards against values that a VM can pack but no other VM can unpack: whether the last bits of a packed
// value suffice to find its end depends on the value.
TEST(ValuePacking, UnpacksEachOfManyConfigurations) {
  base::Random random(33);
  int unreadable = 0;
  for (int i = 0; i < 600; ++i) {
    std::string value;
    for (uint64_t route = 200 + random.Below(100); route > 0; --route) {
      value += R"({"name":"r-)" + std::to_string(random.Next()) + R"(","path_prefix":"/p)" +
               std::to_string(random.Below(1000)) + R"(/","kind":"streaming","timeout_ms":)" +
               std::to_string(2000 + random.Below(10000)) + R"(,"home_regions":[]},)";
    }
    unreadable += UnpackValue(PackValue(value), value.size()) == value ? 0 : 1;
  }
  EXPECT_EQ(unreadable, 0);
}

struct MalformedCase {
  const char* name;
  std::string packed;
  size_t size;
};
class MalformedValueTest : public ::testing::TestWithParam<MalformedCase> {};

// Guards against memory and values beyond what the sender states.
TEST_P(MalformedValueTest, IsRefused) {
  EXPECT_EQ(UnpackValue(GetParam().packed, GetParam().size), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(Bytes, MalformedValueTest,
                         ::testing::Values(MalformedCase{"Nothing", "", 3},
                                           MalformedCase{"NoDeflate", "\xff\xff\xff", 3},
                                           MalformedCase{"CutOff", PackValue("abcdefgh").substr(0, 4), 8},
                                           MalformedCase{"LastByteMissing", WithoutLastByte("abcdefgh"), 8},
                                           MalformedCase{"BytesAfterTheEnd", PackValue("abcdefgh") + "x", 8},
                                           MalformedCase{"Longer", PackValue("abcdefgh"), 7},
                                           MalformedCase{"Shorter", PackValue("abcdefgh"), 9},
                                           MalformedCase{"TooLong", PackValue("a"), kMaxUnpackedBytes + 1}),
                         [](const auto& info) { return info.param.name; });

// Guards against a page whose packed values are lost or mixed up.
TEST(StorePage, CarriesPackedValues) {
  StorePage page;
  page.changes = {{"op/config", ManyRoutes(100), 7, PackValue(ManyRoutes(100))},
                  {"op/evacuate/z", "{}", 8, ""}};
  StorePage read;
  ASSERT_TRUE(DecodePage(EncodePage(page), &read));
  ASSERT_EQ(read.changes.size(), 2U);
  EXPECT_EQ(read.changes[0].value, page.changes[0].value);
  EXPECT_EQ(read.changes[0].revision, 7U);
  EXPECT_EQ(read.changes[1].value, page.changes[1].value);
}

}  // namespace
}  // namespace cornelplank::platform
