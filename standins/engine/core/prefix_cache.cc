#include "standins/engine/core/prefix_cache.h"

#include <algorithm>

#include "standins/engine/core/tokens.h"

namespace cornelplank::standins::engine {
namespace {

constexpr size_t kMaxEvents = 20000;

}  // namespace

PrefixCache::PrefixCache(uint64_t capacity_tokens) : capacity_blocks_(capacity_tokens / kTokensPerBlock) {}

size_t PrefixCache::Use(const std::vector<uint64_t>& chain) {
  size_t hits = 0;
  while (hits < chain.size() && blocks_.contains(chain[hits])) ++hits;
  // The start of the prefix is marked last, so that it leaves after the blocks that depend on it.
  for (size_t index = hits; index > 0; --index) {
    order_.splice(order_.begin(), order_, blocks_.at(chain[index - 1]));
  }
  return hits;
}

void PrefixCache::Add(const std::vector<uint64_t>& chain, base::TimePoint now) {
  const size_t kept = std::min<size_t>(chain.size(), capacity_blocks_);
  for (size_t index = Use(chain); index < kept; ++index) {
    order_.push_front({chain[index], index == 0 ? 0 : chain[index - 1], (index + 1) * kTokensPerBlock});
    blocks_[chain[index]] = order_.begin();
    Record(true, order_.front(), now);
  }
  Use(chain);
  while (blocks_.size() > capacity_blocks_) {
    Record(false, order_.back(), now);
    blocks_.erase(order_.back().prefix);
    order_.pop_back();
  }
}

std::vector<uint64_t> PrefixCache::ChainOf(uint64_t prefix) const {
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
