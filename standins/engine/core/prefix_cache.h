#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::standins::engine {

struct CacheEvent {
  uint64_t seq = 0;
  bool added = true;
  uint64_t prefix = 0;
  uint64_t tokens = 0;  // length of the prefix
  base::TimePoint at;
};

/// A prefix cache of bounded size. Blocks leave in order of their last use, the end of a prefix before its
/// start.
class PrefixCache {
 public:
  explicit PrefixCache(uint64_t capacity_tokens);

  /// The number of leading blocks of `chain` that are cached. Marks them as used.
  size_t Use(const std::vector<uint64_t>& chain);
  /// Adds the blocks of `chain` that are missing and evicts others where needed.
  void Add(const std::vector<uint64_t>& chain, base::TimePoint now);
  /// The chain that ends with `prefix`, or an empty one when it is not cached whole.
  std::vector<uint64_t> ChainOf(uint64_t prefix) const;
  uint64_t tokens() const;

  /// The latest events, oldest first; older ones are dropped.
  const std::deque<CacheEvent>& events() const { return events_; }

 private:
  struct Block {
    uint64_t prefix;
    uint64_t parent;  // 0 at the start of a prefix
    uint64_t tokens;  // length of the prefix up to and including this block
  };
  using Order = std::list<Block>;

  void Record(bool added, const Block& block, base::TimePoint now);

  uint64_t capacity_blocks_;
  Order order_;  // most recently used first
  std::unordered_map<uint64_t, Order::iterator> blocks_;
  std::deque<CacheEvent> events_;
  uint64_t next_seq_ = 1;
};

}  // namespace cornelplank::standins::engine
