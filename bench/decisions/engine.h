#pragma once

#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "libs/upstreams/upstreams.h"

namespace cornelplank::bench {

/// A simulated replica: a fixed number of slots, a first-in-first-out queue, and a prefix cache that evicts
/// the least recently used prefix.
struct Engine {
  std::string id;
  uint32_t zone = 0;
  uint32_t slots = 0;
  double price = 0;             // cost units for 1,000 tokens
  uint32_t cache_capacity = 0;  // prefixes

  bool alive = true;
  uint64_t incarnation = 1;                         // raised by each restart
  std::vector<uint32_t> running;                    // indexes of the requests that hold a slot
  std::deque<uint32_t> queue;                       // indexes of the requests that wait for one
  std::vector<upstreams::PrefixCacheEvent> events;  // changes of the cache since the last report
  uint64_t event_seq = 0;                           // of the last event

  /// Looks up a prefix and makes it the most recently used one. Returns true when it was cached; else adds
  /// it, and evicts another when the cache is full.
  bool UsePrefix(uint64_t prefix, uint32_t tokens) {
    const auto found = positions_.find(prefix);
    if (found != positions_.end()) {
      prefixes_by_use_.splice(prefixes_by_use_.begin(), prefixes_by_use_, found->second);
      return true;
    }
    if (prefixes_by_use_.size() >= cache_capacity) {
      events.push_back({++event_seq, upstreams::CacheOperation::kEvict, prefixes_by_use_.back(), 0});
      positions_.erase(prefixes_by_use_.back());
      prefixes_by_use_.pop_back();
    }
    prefixes_by_use_.push_front(prefix);
    positions_[prefix] = prefixes_by_use_.begin();
    events.push_back({++event_seq, upstreams::CacheOperation::kAdd, prefix, tokens});
    return false;
  }

  /// Returns the failed engine to service with an empty cache.
  void Restart() {
    alive = true;
    ++incarnation;
    event_seq = 0;
    events.clear();
    prefixes_by_use_.clear();
    positions_.clear();
  }

 private:
  std::list<uint64_t> prefixes_by_use_;  // most recently used first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> positions_;
};

}  // namespace cornelplank::bench
