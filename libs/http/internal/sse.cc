#include "libs/http/internal/sse.h"

#include <utility>

namespace cornelplank::http {

std::string FormatSse(const SseEvent& event) {
  std::string text;
  if (!event.event.empty()) text += "event: " + event.event + "\n";
  size_t start = 0;
  while (true) {
    const size_t end = event.data.find('\n', start);
    text += "data: " + event.data.substr(start, end == std::string::npos ? end : end - start) + "\n";
    if (end == std::string::npos) break;
    start = end + 1;
  }
  return text + "\n";
}

bool SseParser::Feed(std::string_view bytes, const std::function<bool(const SseEvent&)>& on_event) {
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (line_.size() + event_.data.size() > kMaxEventBytes) return false;
    if (end == std::string_view::npos) return true;
    bytes.remove_prefix(end + 1);
    if (!ParseLine(on_event)) return false;
  }
  return true;
}

bool SseParser::ParseLine(const std::function<bool(const SseEvent&)>& on_event) {
  std::string line = std::exchange(line_, {});
  if (!line.empty() && line.back() == '\r') line.pop_back();
  if (line.empty()) {
    const SseEvent event = std::exchange(event_, {});
    return std::exchange(has_data_, false) ? on_event(event) : true;
  }
  const size_t colon = line.find(':');
  if (colon == 0) return true;  // a comment
  const std::string field = line.substr(0, colon);
  std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.erase(0, 1);
  if (field == "event") {
    event_.event = std::move(value);
  } else if (field == "data") {
    if (has_data_) event_.data += '\n';
    event_.data += value;
    has_data_ = true;
  }
  return true;
}

}  // namespace cornelplank::http
