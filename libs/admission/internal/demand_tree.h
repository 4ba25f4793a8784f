#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace cornelplank::admission {

/// The demands (running plus waiting requests) of the clients of one class, in a Fenwick tree. Finds the
/// max-min fair level, which is the greatest L for which the sum of min(demand, L) over the clients fits into
/// a capacity. Each operation takes O(log kLevels).
class DemandTree {
 public:
  static constexpr size_t kLevels = 1024;  // greater demands count as 1,024

  /// Moves one client from one demand to another; 0 stands for a client without requests.
  void Move(size_t from, size_t to) {
    if (from > 0) Add(std::min(from, kLevels), -1);
    if (to > 0) Add(std::min(to, kLevels), 1);
  }

  /// The number of clients with a demand.
  int64_t active() const { return active_; }

  struct FairLevel {
    size_t level = kLevels;    // requests per client; kLevels when every demand fits
    int64_t demand_below = 0;  // sum of the demands that are at most `level`
    int64_t max_demand = 0;    // the greatest demand of a client
  };
  /// Finds the fair level of `capacity` slots.
  FairLevel FindFairLevel(double capacity) const {
    size_t position = 0;
    int64_t count = 0;
    int64_t sum = 0;
    for (size_t step = kLevels; step > 0; step /= 2) {
      const size_t next = position + step;
      if (next > kLevels) continue;
      const int64_t next_count = count + counts_[next];
      const int64_t next_sum = sum + sums_[next];
      const double used = static_cast<double>(next_sum + (active_ - next_count) * static_cast<int64_t>(next));
      if (used > capacity) continue;
      position = next;
      count = next_count;
      sum = next_sum;
    }
    return {position, sum, MaxDemand()};
  }

 private:
  int64_t MaxDemand() const {
    size_t position = 0;
    int64_t count = 0;
    for (size_t step = kLevels; step > 0; step /= 2) {
      const size_t next = position + step;
      if (next > kLevels || count + counts_[next] >= active_) continue;
      position = next;
      count += counts_[next];
    }
    return active_ == 0 ? 0 : static_cast<int64_t>(position + 1);
  }

  void Add(size_t level, int64_t sign) {
    active_ += sign;
    for (size_t i = level; i <= kLevels; i += i & (~i + 1)) {
      counts_[i] += sign;
      sums_[i] += sign * static_cast<int64_t>(level);
    }
  }

  int64_t active_ = 0;
  std::array<int64_t, kLevels + 1> counts_{};
  std::array<int64_t, kLevels + 1> sums_{};
};

}  // namespace cornelplank::admission
