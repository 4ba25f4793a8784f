#include "libs/fleet/internal/stream_origin_table.h"

namespace cornelplank::fleet {

void StreamOriginTable::Record(uint64_t attempt, const StreamOrigin& origin, base::TimePoint now) {
  Entry& entry = entries_.try_emplace(attempt, Entry{origin, now}).first->second;
  entry.origin.Merge(origin);
  entry.recorded_at = now;
  order_.push_back({attempt, now});
  while (order_.size() > max_records_) ForgetOldest();
}

std::optional<StreamOrigin> StreamOriginTable::Find(uint64_t attempt) const {
  const auto entry = entries_.find(attempt);
  if (entry == entries_.end()) return std::nullopt;
  return entry->second.origin;
}

void StreamOriginTable::ForgetBefore(base::TimePoint time) {
  while (!order_.empty() && order_.front().at < time) ForgetOldest();
}

void StreamOriginTable::ForgetOldest() {
  const auto entry = entries_.find(order_.front().attempt);
  const bool renewed = entry == entries_.end() || entry->second.recorded_at != order_.front().at;
  if (!renewed) entries_.erase(entry);
  order_.pop_front();
}

}  // namespace cornelplank::fleet
