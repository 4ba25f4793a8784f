#include "libs/config/internal/log_entry.h"

#include <utility>

#include "libs/config/internal/json_reader.h"

namespace cornelplank::config {
namespace {

// An entry lies two levels deep in a page, and both ways of reading it have to give the same patch.
constexpr int kEntryDepth = 2;

/// A value that is nested too deeply must not make the rest of the log unreadable.
std::optional<Json> ParseLogJson(std::string_view text, int max_depth, ConfigReason* reason) {
  return IsTooDeep(text, max_depth) ? ParseJson(CutDeepValues(text, max_depth), reason)
                                    : ParseJson(text, reason);
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
  const auto value = ParseLogJson(json, kMaxJsonDepth, reason);
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
  const auto value = ParseLogJson(json, kMaxJsonDepth - kEntryDepth, reason);
  if (!value) return std::nullopt;
  Faults faults;
  const Place root;
  auto entry = EntryFromJson(*value, root, &faults);
  if (!entry) base::SetReason(reason, ConfigCode::kMalformed, faults.front().Text());
  return entry;
}

std::string WriteLogEntry(const LogEntry& entry) { return EntryToJson(entry).dump(); }

}  // namespace cornelplank::config
