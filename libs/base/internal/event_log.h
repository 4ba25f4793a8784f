#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace cornelplank::base {

/// One structured log line on standard output, in logfmt (`event=... key=value`), written when the object is
/// destroyed. Writing never blocks: a line that standard output can't take at once is dropped and counted,
/// and the next line that goes out tells how many are missing.
class LogEvent {
 public:
  explicit LogEvent(std::string_view event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& Text(std::string_view key, std::string_view value);
  LogEvent& Number(std::string_view key, int64_t value);
  /// Whole milliseconds.
  LogEvent& Time(std::string_view key, std::chrono::nanoseconds value);

 private:
  std::string line_;
};

/// Routine lines (see `AllowRoutineLogLine`) beyond this many in a second are dropped and counted; all others
/// are kept.
inline constexpr uint32_t kRoutineLinesPerSecond = 400;

/// True while routine lines may still be written in this second.
bool AllowRoutineLogLine();

/// Sets standard output to non-blocking mode. Call once at the start of main().
void InitEventLog();

/// Lines dropped so far.
uint64_t DroppedLogLines();

}  // namespace cornelplank::base
