#include "standins/engine/core/prefix_cache.h"

#include <algorithm>

#include "standins/engine/core/tokens.h"

namespace cornelplank::standins::engine {
namespace {

constexpr size_t kMaxEvents = 20000;

}  // namespace

PrefixCache::PrefixCache(uint64_t capacity_tokens) : capacity_blocks_(capacity_tokens / kTokensPerBlock) {}

size_t PrefixCache::Lookup(const std::vector<uint64_t>& chain) {
  size_t hits = 0;
  while (hits < chain.size() && blocks_.contains(chain[hits])) ++hits;
  // The first block is moved to the front last, so that it is evicted after the blocks that depend on it.
  for (size_t index = hits; index > 0; --index) {
    blocks_by_use_.splice(blocks_by_use_.begin(), blocks_by_use_, blocks_.at(chain[index - 1]));
  }
  return hits;
}

void PrefixCache::Add(const std::vector<uint64_t>& chain, base::TimePoint now) {
  const size_t kept = std::min<size_t>(chain.size(), capacity_blocks_);
  for (size_t index = Lookup(chain); index < kept; ++index) {
    blocks_by_use_.push_front(
        {chain[index], index == 0 ? 0 : chain[index - 1], (index + 1) * kTokensPerBlock});
    blocks_[chain[index]] = blocks_by_use_.begin();
    Record(true, blocks_by_use_.front(), now);
  }
  Lookup(chain);
  while (blocks_.size() > capacity_blocks_) {
    Record(false, blocks_by_use_.back(), now);
    blocks_.erase(blocks_by_use_.back().prefix);
    blocks_by_use_.pop_back();
  }
}

std::vector<uint64_t> PrefixCache::FindChain(uint64_t prefix) const {
  std::vector<uint64_t> chain;
  for (uint64_t at = prefix; at != 0;) {
    const auto found = blocks_.find(at);
    if (found == blocks_.end()) return {};
    chain.push_back(at);
    at = found->second->parent;
  }
  std::reverse(chain.begin(), chain.end());
  return chain;
}

uint64_t PrefixCache::tokens() const { return blocks_.size() * kTokensPerBlock; }

void PrefixCache::Record(bool added, const Block& block, base::TimePoint now) {
  events_.push_back({next_seq_++, added, block.prefix, block.tokens, now});
  if (events_.size() > kMaxEvents) events_.pop_front();
}

}  // namespace cornelplank::standins::engine
