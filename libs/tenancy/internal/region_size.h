#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "libs/base/base.h"

namespace cornelplank::tenancy {

/// Estimates how many VMs the own region has, including those that are alive behind a network partition: the
/// greatest number seen lately without those that have announced that they leave, and as many for each zone
/// of which no VM has been seen as for the other zones.
class RegionSize {
 public:
  /// Time for which silent VMs and unseen zones are counted. What is gone for longer isn't expected back.
  static constexpr std::chrono::minutes kHoldTime{10};

  explicit RegionSize(base::TimePoint started) : started_(started) {}

  /// `zones`: the zones of the region in the settings. `live`: zone of each live VM of the region that
  /// doesn't leave. `leaving`: VMs that are known to leave.
  void Update(const std::set<uint32_t>& zones, std::map<uint32_t, uint32_t> live,
              const std::set<uint32_t>& leaving, base::TimePoint now);
  size_t live() const { return live_.size(); }
  size_t expected() const { return expected_; }

 private:
  base::TimePoint started_;
  std::map<uint32_t, uint32_t> live_;
  std::set<uint32_t> seen_zones_;
  size_t most_ = 1;
  base::TimePoint most_at_{};  // when `most_` was last reached or set
  size_t expected_ = 1;
};

}  // namespace cornelplank::tenancy
