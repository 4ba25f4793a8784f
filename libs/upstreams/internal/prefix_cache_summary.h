#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace cornelplank::upstreams {

/// The prompt prefixes that a replica has cached, as far as this node knows. Readers and writers may run
/// concurrently, because each entry is one atomic word. The summary is a bounded set-associative table and
/// loses entries: a full bucket overwrites its ways in turn. A wrong entry costs a prefill and never changes
/// an answer.
class PrefixCacheSummary {
 public:
  static constexpr size_t kBuckets = 256;
  static constexpr size_t kWays = 4;
  static constexpr uint32_t kMaxTokens = (1U << 24U) - 1;

  /// Records that `tokens` tokens of the prefix with the hash `prefix` are cached.
  void Add(uint64_t prefix, uint32_t tokens);
  void Evict(uint64_t prefix);
  void Clear();

  /// Returns the number of cached tokens of `prefix`, or 0 when there is no entry.
  uint32_t Tokens(uint64_t prefix) const;

  /// True when all cache events of the replica's incarnation were applied. When false, a prefix without an
  /// entry may be cached nevertheless.
  bool Complete() const { return complete_.load(std::memory_order_relaxed); }
  void SetComplete(bool complete) { complete_.store(complete, std::memory_order_relaxed); }

 private:
  using Bucket = std::array<std::atomic<uint64_t>, kWays>;

  Bucket& BucketOf(uint64_t prefix) { return buckets_[prefix % kBuckets]; }
  const Bucket& BucketOf(uint64_t prefix) const { return buckets_[prefix % kBuckets]; }

  std::array<Bucket, kBuckets> buckets_{};
  std::atomic<uint32_t> next_way_{0};
  std::atomic<bool> complete_{false};
};

}  // namespace cornelplank::upstreams
