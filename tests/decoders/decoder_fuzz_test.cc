#include "tests/decoders/decoder_fuzz.h"

#include <gtest/gtest.h>

namespace cornelplank {
namespace {

// Guards against texts of other writers that a decoder converts to a value out of its bounds, or that end the
// process.
TEST(DecoderFuzzTest, KeepsTheBoundsOfAllFields) {
  const auto fault = FuzzDecoders(1, 3000);
  EXPECT_FALSE(fault) << *fault;
}

}  // namespace
}  // namespace cornelplank
