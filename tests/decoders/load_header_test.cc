#include <gtest/gtest.h>

#include "platform/platform.h"

namespace cornelplank::platform {
namespace {

struct LoadCase {
  const char* text;
  bool readable;
  std::optional<double> percent = std::nullopt;
};

struct LoadHeaderTest : ::testing::TestWithParam<LoadCase> {};

INSTANTIATE_TEST_SUITE_P(Cases, LoadHeaderTest,
                         ::testing::Values(LoadCase{"3,1,16", true}, LoadCase{"3,1,16,100", true, 100},
                                           LoadCase{"3, 1, 16, 62.5", true, 62.5},
                                           LoadCase{"3,1,16,0", true, 10}, LoadCase{"3,1,16,-5", true, 10},
                                           LoadCase{"3,1,16,1000000000", true, 2000},
                                           LoadCase{"3,1,16,1e9", true, 2000}, LoadCase{"3,1,16,nan", true},
                                           LoadCase{"3,1,16,x", true}, LoadCase{"3,1,16,", true},
                                           LoadCase{"3,1", false}, LoadCase{"3,x,1,16", false},
                                           LoadCase{"3,1,16,100,1", false}, LoadCase{"", false}));

// Guards against a figure out of range that later times are computed with, against one that makes the others
// unreadable, and against figures that are taken for their neighbours.
TEST_P(LoadHeaderTest, ThreeOrFourFiguresAreReadAndBounded) {
  net::ResponseHead head{200, {}};
  head.headers.Add("Server-Load", GetParam().text);
  const auto load = PlatformCodec().DecodeResponse(head).load;
  ASSERT_EQ(load.has_value(), GetParam().readable);
  if (!load) return;
  EXPECT_EQ(load->running, 3U);
  EXPECT_EQ(load->waiting, 1U);
  EXPECT_EQ(load->slots, 16U);
  EXPECT_EQ(load->percent, GetParam().percent);
}

}  // namespace
}  // namespace cornelplank::platform
