#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "libs/base/base.h"

namespace cornelplank::fleet {

/// What is recorded of a stream.
struct StreamOrigin {
  uint64_t software = 0;     // SoftwareKey; 0 when the records conflict
  bool conflicting = false;  // records name several versions

  bool operator==(const StreamOrigin&) const = default;
  /// Adds what another record says.
  void Merge(const StreamOrigin& other) {
    if (*this != other) *this = {0, true};
  }
};

/// The software versions at which streams began, by attempt. Not thread-safe; the caller passes in the time,
/// which never goes back.
class StreamOriginTable {
 public:
  static constexpr size_t kMaxRecords = 16384;  // some 100 bytes each

  /// Beyond `max_records` the oldest records are forgotten.
  explicit StreamOriginTable(size_t max_records = kMaxRecords) : max_records_(max_records) {}

  /// Adds a record, or renews the one that is there. A stream with records of several versions is conflicting
  /// until all are forgotten.
  void Record(uint64_t attempt, const StreamOrigin& origin, base::TimePoint now);
  std::optional<StreamOrigin> Find(uint64_t attempt) const;
  /// Forgets what was recorded before this time.
  void ForgetBefore(base::TimePoint time);
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    StreamOrigin origin;
    base::TimePoint recorded_at{};
  };
  /// Each call of `Record` that may still count.
  struct Recorded {
    uint64_t attempt = 0;
    base::TimePoint at{};
  };

  void ForgetOldest();

  size_t max_records_;
  std::unordered_map<uint64_t, Entry> entries_;  // by attempt
  std::deque<Recorded> order_;                   // oldest first
};

}  // namespace cornelplank::fleet
