#include "libs/serving/internal/sse_event_splitter.h"

#include <charconv>

namespace cornelplank::serving {
namespace {

/// Length of the first event with the blank line that ends it; npos when that line is missing.
size_t EventLength(std::string_view text) {
  size_t line_start = 0;
  while (true) {
    const size_t end = text.find('\n', line_start);
    if (end == std::string_view::npos) return end;
    const std::string_view line = text.substr(line_start, end - line_start);
    if (line.empty() || line == "\r") return end + 1;
    line_start = end + 1;
  }
}

/// The number of the first `id:` line that holds one.
std::optional<uint64_t> EventId(std::string_view event) {
  size_t start = 0;
  while (start < event.size()) {
    size_t end = event.find('\n', start);
    if (end == std::string_view::npos) end = event.size();
    std::string_view line = event.substr(start, end - start);
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      while (line.starts_with(' ')) line.remove_prefix(1);
      uint64_t id = 0;
      const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
      if (parsed.ec == std::errc()) return id;
    }
    start = end + 1;
  }
  return std::nullopt;
}

}  // namespace

std::optional<RawSseEvent> SseEventSplitter::Next() {
  const size_t length = EventLength(buffer_);
  if (length == std::string_view::npos) return std::nullopt;
  RawSseEvent event;
  event.text = buffer_.substr(0, length);
  event.id = EventId(event.text);
  buffer_.erase(0, length);
  return event;
}

}  // namespace cornelplank::serving
