#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// Stands for a `base` that is not a number. No version reaches it, so the entry is refused by every node.
inline constexpr uint64_t kNoBase = std::numeric_limits<uint64_t>::max();

/// One entry of the published log.
struct LogEntry {
  uint64_t seq = 0;
  uint64_t base = kNoBase;  // version number that the patch applies to
  std::string author;       // partner
  std::string patch_json;   // RFC 6902, keys in byte order and no blanks

  bool operator==(const LogEntry&) const = default;
};

/// One answer of the platform's log.
struct LogPage {
  uint64_t head_seq = 0;
  uint64_t oldest_seq = 0;
  std::vector<LogEntry> entries;

  bool operator==(const LogPage&) const = default;
};

/// Reads the published form {"head_seq","oldest_seq","entries"}. An entry needs a readable `seq` only: a
/// fault in another of its fields must not stop the log, so the entry is returned in a form that every node
/// refuses. Unknown fields outside the patch are ignored. Code: kMalformed.
std::optional<LogPage> ParseLogPage(std::string_view json, ConfigReason* reason);
std::string WriteLogPage(const LogPage& page);

/// One entry {"seq","base","author","patch"} by itself. Code: kMalformed.
std::optional<LogEntry> ParseLogEntry(std::string_view json, ConfigReason* reason);
std::string WriteLogEntry(const LogEntry& entry);

}  // namespace cornelplank::config
