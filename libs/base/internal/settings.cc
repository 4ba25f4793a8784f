#include "libs/base/internal/settings.h"

#include <arpa/inet.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include "libs/base/internal/checked_number.h"

namespace cornelplank::base {
namespace {

struct IniLine {
  std::string section;
  std::string key;
  std::string value;
  int line;
};

/// The text that inih reads, with the number of the line that it read last.
struct ReaderState {
  std::istringstream text;
  std::vector<IniLine> lines;
  std::string rest;  // of a line that is longer than inih's buffer
  int line = 0;
};

std::string Trim(const std::string& text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// The line without an inline comment, which begins with a blank and a semicolon.
std::string WithoutInlineComment(const std::string& line) {
  for (const char* start : {" ;", "\t;"}) {
    const size_t comment = line.find(start);
    if (comment != std::string::npos) return WithoutInlineComment(line.substr(0, comment));
  }
  return line;
}

/// The length of the first part of `line` that fits into `most` bytes. inih removes blanks at the ends of a
/// part and takes one that begins with a comment character for a comment, so a line is not divided there.
size_t PartLength(const std::string& line, size_t most) {
  if (line.size() <= most) return line.size();
  size_t length = most;
  while (length > 1 &&
         (std::strchr(" \t;#", line[length]) != nullptr || std::strchr(" \t", line[length - 1]) != nullptr)) {
    --length;
  }
  return length > 1 ? length : most;
}

/// inih's reader, with the interface of fgets. A line longer than inih's buffer is handed over in parts, of
/// which each but the first is indented: inih takes it for the continuation of the value before it.
char* ReadLine(char* buffer, int size, void* stream) {
  auto* state = static_cast<ReaderState*>(stream);
  std::string line;
  const bool continued = !state->rest.empty();
  if (continued) {
    line = " " + std::exchange(state->rest, {});
  } else if (std::getline(state->text, line)) {
    ++state->line;
    line = WithoutInlineComment(line);
  } else {
    return nullptr;
  }
  const size_t length = PartLength(line, static_cast<size_t>(size) - 2);
  // Only values are continued, not comments, sections and lines that name no value.
  const std::string start = Trim(line.substr(0, length));
  const bool is_value = !start.empty() && std::strchr("[;#", start.front()) == nullptr &&
                        start.find_first_of("=:") != std::string::npos;
  if (continued || is_value) state->rest = line.substr(length);
  std::copy_n(line.begin(), length, buffer);
  buffer[length] = '\n';
  buffer[length + 1] = '\0';
  return buffer;
}

/// inih's handler for a key with its value, or with a further part of it. Returns 1 to go on.
int OnValue(void* user, const char* section, const char* key, const char* value) {
  auto* state = static_cast<ReaderState*>(user);
  if (!state->lines.empty() && state->lines.back().line == state->line) {
    state->lines.back().value += value;
  } else {
    state->lines.push_back({section, key, value, state->line});
  }
  return 1;
}

bool IsAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  in_addr address{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1) return false;
  return ParseNumber<uint16_t>(std::string_view(text).substr(colon + 1)).has_value();
}

template <typename T>
std::string RangeText(T low, T high) {
  std::ostringstream text;
  text << "must be a number from " << low << " to " << high;
  return text.str();
}

}  // namespace

std::string SettingsFault::Text() const {
  return file + ":" + std::to_string(line) + ": [" + section + "] " + key + ": " + problem;
}

Settings Settings::Load(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    Settings settings;
    settings.file_ = path;
    settings.faults_.push_back({path, 0, "", "", "the file can't be read"});
    return settings;
  }
  return Parse(path, std::string(std::istreambuf_iterator<char>(stream), {}));
}

Settings Settings::Parse(const std::string& name, const std::string& text) {
  Settings settings;
  settings.file_ = name;
  ReaderState state{std::istringstream(text), {}, "", 0};
  ini_parse_stream(ReadLine, &state, OnValue, &state);
  // ini_parse_stream reports only the first malformed line, so all lines that are neither a section nor a key
  // are searched for here.
  std::istringstream lines(text);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    const std::string trimmed = Trim(line);
    if (trimmed.empty() || trimmed[0] == ';' || trimmed[0] == '#') continue;
    const bool is_section = trimmed[0] == '[' && trimmed.find(']') != std::string::npos;
    if (!is_section && trimmed.find_first_of("=:") == std::string::npos) {
      settings.faults_.push_back({name, number, "", trimmed, "expected \"key = value\" or \"[section]\""});
    }
  }
  for (IniLine& entry : state.lines) {
    const Key key{entry.section, entry.key};
    if (settings.entries_.contains(key)) {
      settings.faults_.push_back({name, entry.line, entry.section, entry.key, "the key is given twice"});
      continue;
    }
    settings.entries_[key] = {std::move(entry.value), entry.line, false};
  }
  return settings;
}

const Settings::Entry* Settings::Find(const std::string& section, const std::string& key) {
  const auto found = entries_.find({section, key});
  if (found == entries_.end()) return nullptr;
  found->second.known = true;
  return &found->second;
}

std::string Settings::RequiredText(const std::string& section, const std::string& key) {
  const Entry* entry = Find(section, key);
  if (entry == nullptr || entry->value.empty()) {
    AddFault(section, key, "a value is required");
    return "";
  }
  return entry->value;
}

std::string Settings::Text(const std::string& section, const std::string& key, const std::string& fallback) {
  const Entry* entry = Find(section, key);
  return entry == nullptr ? fallback : entry->value;
}

int64_t Settings::Integer(const std::string& section, const std::string& key, int64_t fallback, int64_t low,
                          int64_t high) {
  const Entry* entry = Find(section, key);
  if (entry == nullptr) return fallback;
  const auto value = ParseNumber<int64_t>(entry->value);
  if (!value || *value < low || *value > high) {
    AddFault(section, key, RangeText(low, high));
    return fallback;
  }
  return *value;
}

double Settings::Number(const std::string& section, const std::string& key, double fallback, double low,
                        double high) {
  const Entry* entry = Find(section, key);
  if (entry == nullptr) return fallback;
  const auto value = ParseNumber<double>(entry->value);
  if (!value || !(*value >= low && *value <= high)) {
    AddFault(section, key, RangeText(low, high));
    return fallback;
  }
  return *value;
}

bool Settings::Flag(const std::string& section, const std::string& key, bool fallback) {
  const Entry* entry = Find(section, key);
  if (entry == nullptr) return fallback;
  if (entry->value == "true") return true;
  if (entry->value == "false") return false;
  AddFault(section, key, "must be true or false");
  return fallback;
}

std::chrono::milliseconds Settings::Time(const std::string& section, const std::string& key,
                                         std::chrono::milliseconds fallback, std::chrono::milliseconds high) {
  const Entry* entry = Find(section, key);
  if (entry == nullptr) return fallback;
  const size_t digits = std::min(entry->value.find_first_not_of("0123456789."), entry->value.size());
  const std::string unit = Trim(entry->value.substr(digits));
  const auto count = ParseNumber<double>(std::string_view(entry->value).substr(0, digits));
  const int factor = unit == "ms" ? 1 : unit == "s" ? 1000 : unit == "min" ? 60000 : 0;
  if (!count || factor == 0 || *count * factor > static_cast<double>(high.count())) {
    AddFault(section, key,
             "must be a number with the unit ms, s or min, at most " + std::to_string(high.count()) + "ms");
    return fallback;
  }
  return std::chrono::milliseconds{std::llround(*count * factor)};
}

std::string Settings::Address(const std::string& section, const std::string& key,
                              const std::string& fallback) {
  const Entry* entry = Find(section, key);
  const std::string value = entry == nullptr ? fallback : entry->value;
  if (!IsAddress(value)) AddFault(section, key, "must be IP:PORT");
  return value;
}

std::vector<std::string> Settings::List(const std::string& section, const std::string& key) {
  std::vector<std::string> values;
  const Entry* entry = Find(section, key);
  if (entry == nullptr) return values;
  std::istringstream stream(entry->value);
  for (std::string item; std::getline(stream, item, ',');) {
    if (std::string trimmed = Trim(item); !trimmed.empty()) values.push_back(std::move(trimmed));
  }
  return values;
}

void Settings::AddFault(const std::string& section, const std::string& key, std::string problem) {
  const auto found = entries_.find({section, key});
  const int line = found == entries_.end() ? 0 : found->second.line;
  faults_.push_back({file_, line, section, key, std::move(problem)});
}

std::vector<SettingsFault> Settings::Finish() {
  for (const auto& [key, entry] : entries_) {
    if (!entry.known) faults_.push_back({file_, entry.line, key.first, key.second, "unknown key"});
  }
  std::stable_sort(faults_.begin(), faults_.end(),
                   [](const SettingsFault& a, const SettingsFault& b) { return a.line < b.line; });
  return faults_;
}

}  // namespace cornelplank::base
