#include <gtest/gtest.h>

#include "tests/orders/orders_fuzz.h"

namespace cornelplank::orders {
namespace {

// Guards against fencing engines that go back, others that don't converge, and orders from nodes in doubt.
TEST(OrdersFuzzTest, FixedSeedHasNoViolation) {
  const auto violation = FuzzOrders(OrdersFault::kNone, 1, 100000);
  EXPECT_FALSE(violation) << *violation;
}

// Guards against a fuzzer that overlooks a planner which sends after a pause.
TEST(OrdersFuzzTest, FindsTheMissingGate) { EXPECT_TRUE(FuzzOrders(OrdersFault::kNoGate, 1, 20000)); }

// Guards against a fuzzer that overlooks orders with a fence below their configuration.
TEST(OrdersFuzzTest, FindsTheLowFence) { EXPECT_TRUE(FuzzOrders(OrdersFault::kLowFence, 1, 20000)); }

}  // namespace
}  // namespace cornelplank::orders
