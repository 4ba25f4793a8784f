#include "libs/fleet/internal/stream_origin_table.h"

namespace cornelplank::fleet {

void StreamOriginTable::Record(uint64_t attempt, uint64_t software, base::TimePoint now) {
  entries_[attempt] = {software, now};
  order_.push_back({attempt, now});
  while (order_.size() > max_records_) ForgetOldest();
}

std::optional<uint64_t> StreamOriginTable::Find(uint64_t attempt) const {
  const auto entry = entries_.find(attempt);
  if (entry == entries_.end()) return std::nullopt;
  return entry->second.software;
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
