#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// The `base` of an entry whose published base is not a number. No version number reaches it, so every node
/// refuses the entry.
inline constexpr uint64_t kNoBase = std::numeric_limits<uint64_t>::max();

/// An entry of the published configuration log.
struct LogEntry {
  uint64_t seq = 0;
  uint64_t base = kNoBase;  // version number that the patch applies to
  std::string author;       // name of the partner that published the patch
  std::string patch_json;   // JSON patch (RFC 6902) with keys in byte order and no white space

  bool operator==(const LogEntry&) const = default;
};

/// A response of the platform's configuration log.
struct LogPage {
  uint64_t head_seq = 0;    // sequence number of the newest published entry
  uint64_t oldest_seq = 0;  // sequence number of the oldest entry that the platform still keeps
  std::vector<LogEntry> entries;

  bool operator==(const LogPage&) const = default;
};

/// Reads the published form {"head_seq","oldest_seq","entries"}. Only the `seq` of an entry must be readable:
/// a fault in another field must not stop the log, so such an entry is returned in a form that every node
/// refuses. Unknown fields outside the patch are ignored. On failure the result is empty and `reason` (may be
/// null) holds kMalformed.
std::optional<LogPage> ParseLogPage(std::string_view json, ConfigReason* reason);
std::string WriteLogPage(const LogPage& page);

/// Reads a single entry {"seq","base","author","patch"}. On failure the result is empty and `reason` (may be
/// null) holds kMalformed.
std::optional<LogEntry> ParseLogEntry(std::string_view json, ConfigReason* reason);
std::string WriteLogEntry(const LogEntry& entry);

}  // namespace cornelplank::config
