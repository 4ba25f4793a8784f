#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace cornelplank::admission {

/// Demands (running + waiting requests) of the clients of one class. Finds the max-min fair level: the
/// greatest L for which the sum of min(demand, L) fits into a capacity. A Fenwick tree, O(log kLevels) per
/// operation.
class DemandTree {
 public:
  static constexpr size_t kLevels = 1024;  // greater demands count as 1,024

  /// Moves one client from one demand to another; 0 means that it is not active.
  void Move(size_t from, size_t to) {
    if (from > 0) Add(std::min(from, kLevels), -1);
    if (to > 0) Add(std::min(to, kLevels), 1);
  }

  int64_t active() const { return active_; }

  struct Level {
    size_t level = kLevels;  // kLevels when every demand fits
    int64_t below = 0;       // sum of the demands up to the level
    int64_t greatest = 0;    // demand of the client with the greatest one
  };
  Level Fair(double capacity) const {
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
    return {position, sum, Greatest()};
  }

 private:
  int64_t Greatest() const {
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
