#include "libs/config/internal/log_entry.h"

#include <utility>

#include "libs/config/internal/json_reader.h"

namespace cornelplank::config {
namespace {

/// Marks the patch of an entry that is nested too deeply; it is not a list, so the entry is refused.
constexpr const char* kTooDeep = "nested too deeply";

/// Parses a log so that a value that is nested too deeply invalidates its own entry only. `entry_depth` is
/// the depth of the objects that are entries.
std::optional<Json> ParseLogJson(std::string_view text, int entry_depth, ConfigReason* reason) {
  bool too_deep = false;
  const auto limit_depth = [&too_deep, entry_depth](int depth, Json::parse_event_t event, Json& value) {
    if (depth > kMaxJsonDepth) {
      too_deep = true;
      return false;
    }
    if (too_deep && event == Json::parse_event_t::object_end && depth == entry_depth) {
      value["patch"] = kTooDeep;
      too_deep = false;
    }
    return true;
  };
  try {
    return IsTooDeep(text) ? Json::parse(text, limit_depth) : Json::parse(text);
  } catch (const Json::exception& error) {
    base::SetReason(reason, ConfigCode::kMalformed, std::string("not JSON: ") + error.what());
    return std::nullopt;
  }
}

std::optional<LogEntry> EntryFromJson(const Json& value, const Place& place, Faults* faults) {
  ObjectReader reader(value, place, faults);
  const size_t first = faults->size();
  LogEntry entry;
  entry.seq = reader.Unsigned("seq");
  if (faults->size() != first) return std::nullopt;
  if (const Json* base = reader.Find("base"); base != nullptr && base->is_number_unsigned()) {
    entry.base = base->get<uint64_t>();
  }
  if (const Json* author = reader.Find("author"); author != nullptr && author->is_string()) {
    entry.author = author->get<std::string>();
  }
  const Json* patch = reader.Find("patch");
  entry.patch_json = patch == nullptr ? "null" : patch->dump();
  return entry;
}

/// Keeps a patch that is not JSON (possible only for entries built in memory) as a string.
Json EntryToJson(const LogEntry& entry) {
  Json patch = Json::parse(entry.patch_json, nullptr, false);
  if (patch.is_discarded()) patch = entry.patch_json;
  Json value = {{"seq", entry.seq}, {"author", entry.author}, {"patch", std::move(patch)}};
  value["base"] = entry.base == kNoBase ? Json(nullptr) : Json(entry.base);
  return value;
}

}  // namespace

std::optional<LogPage> ParseLogPage(std::string_view json, ConfigReason* reason) {
  const auto value = ParseLogJson(json, 2, reason);
  if (!value) return std::nullopt;
  Faults faults;
  const Place root;
  ObjectReader reader(*value, root, &faults);
  LogPage page;
  page.head_seq = reader.Unsigned("head_seq");
  page.oldest_seq = reader.Unsigned("oldest_seq");
  ForEachElement(&reader, "entries", true, &faults, [&](const Json& element, const Place& place) {
    if (auto entry = EntryFromJson(element, place, &faults)) page.entries.push_back(*std::move(entry));
  });
  if (faults.empty()) return page;
  base::SetReason(reason, ConfigCode::kMalformed, faults.front().Text());
  return std::nullopt;
}

std::string WriteLogPage(const LogPage& page) {
  Json entries = Json::array();
  for (const LogEntry& entry : page.entries) entries.push_back(EntryToJson(entry));
  const Json value = {
      {"head_seq", page.head_seq}, {"oldest_seq", page.oldest_seq}, {"entries", std::move(entries)}};
  return value.dump();
}

std::optional<LogEntry> ParseLogEntry(std::string_view json, ConfigReason* reason) {
  const auto value = ParseLogJson(json, 0, reason);
  if (!value) return std::nullopt;
  Faults faults;
  const Place root;
  auto entry = EntryFromJson(*value, root, &faults);
  if (!entry) base::SetReason(reason, ConfigCode::kMalformed, faults.front().Text());
  return entry;
}

std::string WriteLogEntry(const LogEntry& entry) { return EntryToJson(entry).dump(); }

}  // namespace cornelplank::config
