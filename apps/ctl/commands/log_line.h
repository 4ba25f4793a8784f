#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cornelplank::ctl {

/// One line of an entry VM's log.
struct LogLine {
  std::string source;  // the file, or the text before the line as a collector of logs writes it
  std::chrono::milliseconds time{0};  // since the epoch, by the clock of the VM
  std::string event;
  std::map<std::string, std::string> fields;  // without time and event

  /// The value of a field; empty when there is none.
  std::string Field(const std::string& key) const;
};

/// Takes `key=value` pairs with quoted values. Nothing when the text holds no line of a log.
std::optional<LogLine> ParseLogLine(std::string_view text, const std::string& file);

}  // namespace cornelplank::ctl
