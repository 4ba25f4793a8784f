#include <gtest/gtest.h>

#include "tests/orders/orders_fuzz.h"

namespace cornelplank::orders {
namespace {

// Guards against an older model version on an engine that checks fences, engines that don't reach the state
// of the newest configuration, and orders from unconfirmed or paused planners.
TEST(OrdersFuzzTest, FixedSeedHasNoViolation) {
  const auto violation = FuzzOrders(OrdersFault::kNone, 1, 100000);
  EXPECT_FALSE(violation) << *violation;
}

// Guards against a fuzzer that misses a planner which sends old orders after a pause.
TEST(OrdersFuzzTest, FindsTheMissingGate) { EXPECT_TRUE(FuzzOrders(OrdersFault::kNoGate, 1, 20000)); }

// Guards against a fuzzer that misses orders with a fence below their configuration's sequence number.
TEST(OrdersFuzzTest, FindsTheLowFence) { EXPECT_TRUE(FuzzOrders(OrdersFault::kLowFence, 1, 20000)); }

}  // namespace
}  // namespace cornelplank::orders
