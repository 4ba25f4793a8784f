#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace cornelplank::upstreams {

/// What a replica has in its prompt prefix cache, as far as this node knows. Readers and writers may run at
/// once: each entry is one atomic word. The summary is bounded and lossy: a full bucket overwrites its oldest
/// way. A wrong entry costs a prefill, never a wrong answer.
class PrefixCacheSummary {
 public:
  static constexpr size_t kBuckets = 256;
  static constexpr size_t kWays = 4;
  static constexpr uint32_t kMaxTokens = (1U << 24U) - 1;

  /// Remembers that `tokens` tokens of `prefix` are cached.
  void Add(uint64_t prefix, uint32_t tokens);
  void Evict(uint64_t prefix);
  void Clear();

  /// Cached tokens of `prefix`; 0 when there is no entry.
  uint32_t Tokens(uint64_t prefix) const;

  /// False after a gap in the events: a missing entry then says nothing.
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
