#pragma once

#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "libs/upstreams/upstreams.h"

namespace cornelplank::bench {

/// A modelled replica: a fixed number of slots, a queue in arrival order, and a prefix cache that evicts the
/// least recently used prefix.
struct Engine {
  std::string id;
  uint32_t zone = 0;
  uint32_t slots = 0;
  double price = 0;
  uint32_t cache_capacity = 0;  // prefixes

  bool alive = true;
  uint64_t incarnation = 1;
  std::vector<uint32_t> running;  // requests
  std::deque<uint32_t> queue;
  std::vector<upstreams::PrefixCacheEvent> events;  // since the last report
  uint64_t event_seq = 0;

  /// True on a hit. Adds the prefix and evicts another when the cache is full.
  bool Touch(uint64_t prefix, uint32_t tokens) {
    const auto found = positions_.find(prefix);
    if (found != positions_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      return true;
    }
    if (order_.size() >= cache_capacity) {
      events.push_back({++event_seq, upstreams::CacheOperation::kEvict, order_.back(), 0});
      positions_.erase(order_.back());
      order_.pop_back();
    }
    order_.push_front(prefix);
    positions_[prefix] = order_.begin();
    events.push_back({++event_seq, upstreams::CacheOperation::kAdd, prefix, tokens});
    return false;
  }

  /// Starts again with an empty cache.
  void Restart() {
    alive = true;
    ++incarnation;
    event_seq = 0;
    events.clear();
    order_.clear();
    positions_.clear();
  }

 private:
  std::list<uint64_t> order_;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> positions_;
};

}  // namespace cornelplank::bench
