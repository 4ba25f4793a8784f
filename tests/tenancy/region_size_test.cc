#include <gtest/gtest.h>

#include "libs/tenancy/tenancy.h"

namespace cornelplank::tenancy {
namespace {

using std::chrono::seconds;

// Guards against halves of a region that refill as the whole, and against refills that stay low after VMs
// have left in order.
TEST(RegionSizeTest, CountsSilentButNoLeavingVms) {
  base::TimePoint now{std::chrono::hours(1)};
  RegionSize size(now);
  const std::set<uint32_t> zones = {1};
  size.Update(zones, {{1, 1}, {2, 1}, {3, 1}, {4, 1}}, {}, now);
  size.Update(zones, {{1, 1}, {2, 1}}, {}, now += seconds(1));
  EXPECT_EQ(size.expected(), 4);
  size.Update(zones, {{1, 1}, {2, 1}, {3, 1}, {4, 1}}, {}, now += seconds(1));
  size.Update(zones, {{1, 1}, {2, 1}}, {3, 4}, now += seconds(1));
  EXPECT_EQ(size.expected(), 2);
  size.Update(zones, {{1, 1}}, {3, 4}, now += seconds(1));
  EXPECT_EQ(size.expected(), 2);
  size.Update(zones, {{1, 1}}, {}, now += RegionSize::kHoldTime + seconds(1));
  EXPECT_EQ(size.expected(), 1);
}

// Guards against the VMs of a zone that all restart while it is cut off and then refill as the whole region.
TEST(RegionSizeTest, ExpectsVmsOfUnseenZones) {
  base::TimePoint now{std::chrono::hours(1)};
  RegionSize size(now);
  size.Update({1, 2, 3}, {{1, 1}, {2, 1}}, {}, now);
  EXPECT_EQ(size.expected(), 6);
  size.Update({1, 2, 3}, {{1, 1}, {2, 1}, {3, 2}, {4, 3}}, {}, now += seconds(1));
  EXPECT_EQ(size.expected(), 4);
  size.Update({1, 2, 3, 4}, {{1, 1}, {2, 1}, {3, 2}, {4, 3}}, {}, now += RegionSize::kHoldTime + seconds(1));
  EXPECT_EQ(size.expected(), 4);
}

}  // namespace
}  // namespace cornelplank::tenancy
