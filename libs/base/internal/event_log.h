#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace cornelplank::base {

/// One structured log line on standard output, in logfmt (`event=... key=value`), written when the object is
/// destroyed. Writing never blocks: a line that standard output can't take at once is dropped and counted,
/// and the next line that is written gives the number of dropped lines in `dropped_before`. Not thread-safe:
/// the counters of dropped lines are not synchronized.
class LogEvent {
 public:
  explicit LogEvent(std::string_view event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  /// Appends ` key=value`. Quotes the value where logfmt needs it; control characters in quotes become
  /// spaces.
  LogEvent& Text(std::string_view key, std::string_view value);
  LogEvent& Number(std::string_view key, int64_t value);
  /// Appends the duration in whole milliseconds, rounded towards zero.
  LogEvent& Time(std::string_view key, std::chrono::nanoseconds value);

 private:
  std::string line_;
};

/// Greatest number of routine lines (such as one per successful request) in one second of the wall clock. The
/// lines beyond it are dropped and counted. Other lines are not limited.
inline constexpr uint32_t kRoutineLinesPerSecond = 400;

/// Counts one routine line against `kRoutineLinesPerSecond`. Returns false when this second's lines are used
/// up; the caller then writes nothing, and the line counts as dropped.
bool AllowRoutineLogLine();

/// Sets standard output to non-blocking mode. Call once at the start of main().
void InitEventLog();

/// Number of lines dropped since the start of the process.
uint64_t DroppedLogLines();

}  // namespace cornelplank::base
