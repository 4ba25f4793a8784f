#include "apps/ctl/commands/log_line.h"

#include <algorithm>
#include <charconv>

namespace cornelplank::ctl {
namespace {

constexpr std::string_view kTimeKey = "time_ms=";

/// Removes one value, quoted or up to the next space, from the front of `text` and returns it. Returns
/// nothing when a quoted value has no closing quote.
std::optional<std::string> TakeValue(std::string_view* text) {
  if (text->empty() || text->front() != '"') {
    const size_t end = std::min(text->find(' '), text->size());
    std::string value(text->substr(0, end));
    text->remove_prefix(end);
    return value;
  }
  std::string value;
  for (size_t i = 1; i < text->size(); ++i) {
    if ((*text)[i] == '"') {
      text->remove_prefix(i + 1);
      return value;
    }
    if ((*text)[i] == '\\' && i + 1 < text->size()) ++i;
    value += (*text)[i];
  }
  return std::nullopt;
}

/// The last word of the text before a log line, such as the VM name that a log collector puts there. Empty
/// when there is none.
std::string LastWord(std::string_view text) {
  const size_t end = text.find_last_not_of(" \t:|");
  if (end == std::string_view::npos) return "";
  const size_t space = text.find_last_of(" \t", end);
  const size_t begin = space == std::string_view::npos ? 0 : space + 1;
  return std::string(text.substr(begin, end - begin + 1));
}

}  // namespace

std::string LogLine::Field(const std::string& key) const {
  const auto field = fields.find(key);
  return field == fields.end() ? "" : field->second;
}

std::optional<LogLine> ParseLogLine(std::string_view text, const std::string& file) {
  while (!text.empty() && (text.back() == '\r' || text.back() == '\n')) text.remove_suffix(1);
  const size_t start = text.find(kTimeKey);
  if (start == std::string_view::npos) return std::nullopt;
  LogLine line;
  line.source = start == 0 ? file : LastWord(text.substr(0, start));
  if (line.source.empty()) line.source = file;
  std::string_view rest = text.substr(start);
  while (!rest.empty()) {
    const size_t equals = rest.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    const auto value = TakeValue(&rest);
    if (!value) return std::nullopt;
    if (!rest.empty()) rest.remove_prefix(1);
    if (key == "time_ms") {
      int64_t time = 0;
      const auto parsed = std::from_chars(value->data(), value->data() + value->size(), time);
      if (parsed.ec != std::errc()) return std::nullopt;
      line.time = std::chrono::milliseconds(time);
    } else if (key == "event") {
      line.event = *value;
    } else {
      line.fields[key] = *value;
    }
  }
  if (line.event.empty()) return std::nullopt;
  return line;
}

}  // namespace cornelplank::ctl
