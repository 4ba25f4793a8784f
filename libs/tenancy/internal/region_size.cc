#include "libs/tenancy/internal/region_size.h"

#include <algorithm>

namespace cornelplank::tenancy {

void RegionSize::Update(const std::set<uint32_t>& zones, std::map<uint32_t, uint32_t> live,
                        const std::set<uint32_t>& leaving, base::TimePoint now) {
  const auto left =
      std::count_if(live_.begin(), live_.end(), [&](const auto& vm) { return leaving.contains(vm.first); });
  most_ -= std::min(most_, static_cast<size_t>(left));
  if (live.size() >= most_ || now - most_at_ > kHoldTime) {
    most_ = live.size();
    most_at_ = now;
  }
  live_ = std::move(live);
  for (const auto& [vm, zone] : live_) seen_zones_.insert(zone);
  const auto seen = static_cast<size_t>(
      std::count_if(zones.begin(), zones.end(), [&](uint32_t zone) { return seen_zones_.contains(zone); }));
  expected_ = std::max<size_t>(1, most_);
  if (seen > 0 && now - started_ <= kHoldTime) expected_ = (expected_ * zones.size() + seen - 1) / seen;
}

}  // namespace cornelplank::tenancy
