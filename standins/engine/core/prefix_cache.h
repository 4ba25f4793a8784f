#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::standins::engine {

/// A block that was added to the prefix cache or evicted from it, as reported to subscribers.
struct BlockCacheEvent {
  uint64_t seq = 0;
  bool added = true;    // false if it was evicted
  uint64_t prefix = 0;  // chained hash that names the prefix; see PrefixChain
  uint64_t tokens = 0;  // length of the prefix in tokens, up to and including the block
  base::TimePoint at;
};

/// A KV prefix cache of bounded size that holds the names of blocks, not their contents. Evicts the least
/// recently used block first, and the last block of a prefix before the earlier ones that it depends on.
class PrefixCache {
 public:
  /// `capacity_tokens` is rounded down to whole blocks.
  explicit PrefixCache(uint64_t capacity_tokens);

  /// Returns how many leading blocks of `chain` are cached and marks these as used.
  size_t Lookup(const std::vector<uint64_t>& chain);
  /// Adds the missing blocks of `chain`, at most as many as the cache holds, and evicts others to make room.
  void Add(const std::vector<uint64_t>& chain, base::TimePoint now);
  /// Returns the chain of blocks that ends with `prefix`, or an empty one if any of its blocks is not cached.
  std::vector<uint64_t> FindChain(uint64_t prefix) const;
  /// The number of tokens in the cache.
  uint64_t tokens() const;

  /// The latest events, oldest first. Beyond 20,000 events the oldest ones are dropped.
  const std::deque<BlockCacheEvent>& events() const { return events_; }

 private:
  struct Block {
    uint64_t prefix;
    uint64_t parent;  // prefix that the block continues; 0 for the first block
    uint64_t tokens;  // length of the prefix up to and including this block
  };
  using BlockList = std::list<Block>;

  void Record(bool added, const Block& block, base::TimePoint now);

  uint64_t capacity_blocks_;
  BlockList blocks_by_use_;  // most recently used first
  std::unordered_map<uint64_t, BlockList::iterator> blocks_;
  std::deque<BlockCacheEvent> events_;
  uint64_t next_seq_ = 1;
};

}  // namespace cornelplank::standins::engine
