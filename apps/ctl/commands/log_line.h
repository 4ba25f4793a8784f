#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cornelplank::ctl {

/// One parsed line of an entry VM's structured log.
struct LogLine {
  std::string source;  // VM name that a log collector wrote before the line; else the file name
  std::chrono::milliseconds time{0};  // since the Unix epoch, by the VM's clock
  std::string event;
  std::map<std::string, std::string> fields;  // all pairs but time_ms and event

  /// The value of a field; empty when the line has no such field.
  std::string Field(const std::string& key) const;
};

/// Parses `key=value` pairs, whose values may be quoted, from `time_ms=` to the end of `text`. `file` becomes
/// the source of a line without a VM name before it. Returns nothing when `text` holds no log line.
std::optional<LogLine> ParseLogLine(std::string_view text, const std::string& file);

}  // namespace cornelplank::ctl
