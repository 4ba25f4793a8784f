#include "libs/upstreams/internal/prefix_cache_summary.h"

#include <algorithm>

namespace cornelplank::upstreams {
namespace {

constexpr uint64_t kTokenMask = PrefixCacheSummary::kMaxTokens;

// In an entry the upper 40 bits of the hash identify the prefix within its bucket, and the lower 24 bits hold
// the number of tokens. An empty entry is 0.
uint64_t Tag(uint64_t prefix) { return prefix & ~kTokenMask; }

uint64_t Entry(uint64_t prefix, uint32_t tokens) {
  return Tag(prefix) | std::clamp<uint64_t>(tokens, 1, kTokenMask);
}

}  // namespace

void PrefixCacheSummary::Add(uint64_t prefix, uint32_t tokens) {
  Bucket& bucket = BucketOf(prefix);
  for (auto& way : bucket) {
    const uint64_t entry = way.load(std::memory_order_relaxed);
    if (entry == 0 || Tag(entry) == Tag(prefix)) {
      way.store(Entry(prefix, tokens), std::memory_order_relaxed);
      return;
    }
  }
  const uint32_t victim = next_way_.fetch_add(1, std::memory_order_relaxed) % kWays;
  bucket[victim].store(Entry(prefix, tokens), std::memory_order_relaxed);
}

void PrefixCacheSummary::Evict(uint64_t prefix) {
  for (auto& way : BucketOf(prefix)) {
    const uint64_t entry = way.load(std::memory_order_relaxed);
    if (entry != 0 && Tag(entry) == Tag(prefix)) way.store(0, std::memory_order_relaxed);
  }
}

void PrefixCacheSummary::Clear() {
  for (auto& bucket : buckets_) {
    for (auto& way : bucket) way.store(0, std::memory_order_relaxed);
  }
}

uint32_t PrefixCacheSummary::Tokens(uint64_t prefix) const {
  for (const auto& way : BucketOf(prefix)) {
    const uint64_t entry = way.load(std::memory_order_relaxed);
    if (entry != 0 && Tag(entry) == Tag(prefix)) return static_cast<uint32_t>(entry & kTokenMask);
  }
  return 0;
}

}  // namespace cornelplank::upstreams
