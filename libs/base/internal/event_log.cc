#include "libs/base/internal/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <charconv>
#include <ctime>

namespace cornelplank::base {
namespace {

uint64_t dropped_lines = 0;
uint64_t reported_drops = 0;  // drops that a `dropped_before` has reported

void AppendNumber(std::string* line, int64_t value) {
  char digits[24];
  const auto result = std::to_chars(digits, digits + sizeof digits, value);
  line->append(digits, result.ptr);
}

timespec WallClock() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return now;
}

bool IsControl(char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; }

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" =\"\\") != std::string_view::npos ||
         std::any_of(value.begin(), value.end(), IsControl);
}

/// Appends the value with a blank for each control character and a question mark for each byte that belongs
/// to no valid UTF-8 sequence, since a name from outside may hold any bytes.
void AppendReadable(std::string* line, std::string_view value, bool quoted) {
  using Utf8 = boost::locale::utf::utf_traits<char>;
  for (auto next = value.begin(); next != value.end();) {
    const auto begin = next;
    const auto code_point = Utf8::decode(next, value.end());
    if (code_point == boost::locale::utf::illegal || code_point == boost::locale::utf::incomplete) {
      *line += '?';
      next = begin + 1;
      continue;
    }
    if (quoted && (*begin == '"' || *begin == '\\')) *line += '\\';
    if (IsControl(*begin)) {
      *line += ' ';
    } else {
      line->append(begin, next);
    }
  }
}

}  // namespace

void InitEventLog() {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

uint64_t DroppedLogLines() { return dropped_lines; }

bool AllowRoutineLogLine() {
  static time_t second = 0;
  static uint32_t lines = 0;
  const time_t now = WallClock().tv_sec;
  if (now != second) {
    second = now;
    lines = 0;
  }
  if (++lines <= kRoutineLinesPerSecond) return true;
  ++dropped_lines;
  return false;
}

LogEvent::LogEvent(std::string_view event) {
  const timespec now = WallClock();
  line_.reserve(256);
  line_ += "time_ms=";
  AppendNumber(&line_, now.tv_sec * 1000 + now.tv_nsec / 1000000);
  line_ += " event=";
  line_ += event;
}

LogEvent& LogEvent::Text(std::string_view key, std::string_view value) {
  line_ += ' ';
  line_ += key;
  line_ += '=';
  const bool quoted = NeedsQuotes(value);
  if (quoted) line_ += '"';
  AppendReadable(&line_, value, quoted);
  if (quoted) line_ += '"';
  return *this;
}

LogEvent& LogEvent::Number(std::string_view key, int64_t value) {
  line_ += ' ';
  line_ += key;
  line_ += '=';
  AppendNumber(&line_, value);
  return *this;
}

LogEvent& LogEvent::Time(std::string_view key, std::chrono::nanoseconds value) {
  return Number(key, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

LogEvent::~LogEvent() {
  if (dropped_lines != reported_drops) {
    Number("dropped_before", static_cast<int64_t>(dropped_lines - reported_drops));
  }
  line_ += '\n';
  // A non-blocking write of up to PIPE_BUF bytes to a pipe writes all of them or none, so a dropped line
  // leaves no fragment.
  if (write(STDOUT_FILENO, line_.data(), line_.size()) == static_cast<ssize_t>(line_.size())) {
    reported_drops = dropped_lines;
  } else {
    ++dropped_lines;
  }
}

}  // namespace cornelplank::base
