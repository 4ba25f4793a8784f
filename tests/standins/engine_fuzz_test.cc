#include "tests/standins/engine_fuzz.h"

#include <gtest/gtest.h>

namespace cornelplank::standins::engine {
namespace {

// Guards against an engine whose results depend on how often its time is advanced, that loses or duplicates
// requests, or that ignores slots, priorities or fences.
TEST(EngineFuzzTest, KeepsItsInvariants) {
  const auto violation = RunEngineFuzz(20261204, 20000);
  EXPECT_FALSE(violation) << *violation;
}

}  // namespace
}  // namespace cornelplank::standins::engine
