#include "libs/config/internal/log_entry.h"

#include <utility>

#include "libs/config/internal/json_reader.h"

namespace cornelplank::config {
namespace {

// Nesting depth of an entry within a page. An entry read by itself has a depth limit that is lower by this,
// so that it gives the same patch as the entry read in a page.
constexpr int kEntryDepth = 2;

/// Parses log text after replacing values that are nested too deeply, so that they don't make the rest of the
/// log unreadable.
std::optional<Json> ParseLogJson(std::string_view text, int max_depth, ConfigReason* reason) {
  return base::IsTooDeep(text, max_depth) ? ParseJson(base::CutDeepValues(text, max_depth), reason)
                                          : ParseJson(text, reason);
}

std::optional<LogEntry> EntryFromJson(const Json& value, const JsonPath& path, Faults* faults) {
  ObjectReader reader(value, path, faults);
  const size_t faults_before = faults->size();
  LogEntry entry;
  entry.seq = reader.Unsigned("seq");
  if (faults->size() != faults_before) return std::nullopt;
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

/// Writes a patch that is not JSON as a string; only entries that were built in memory can have one.
Json EntryToJson(const LogEntry& entry) {
  Json patch = base::ParseJson(entry.patch_json);
  if (patch.is_discarded()) patch = entry.patch_json;
  Json value = {{"seq", entry.seq}, {"author", entry.author}, {"patch", std::move(patch)}};
  value["base"] = entry.base == kNoBase ? Json(nullptr) : Json(entry.base);
  return value;
}

}  // namespace

std::optional<LogPage> ParseLogPage(std::string_view json, ConfigReason* reason) {
  const auto value = ParseLogJson(json, base::kMaxJsonDepth, reason);
  if (!value) return std::nullopt;
  Faults faults;
  const JsonPath root;
  ObjectReader reader(*value, root, &faults);
  LogPage page;
  page.head_seq = reader.Unsigned("head_seq");
  page.oldest_seq = reader.Unsigned("oldest_seq");
  ForEachElement(&reader, "entries", true, &faults, [&](const Json& element, const JsonPath& path) {
    if (auto entry = EntryFromJson(element, path, &faults)) page.entries.push_back(*std::move(entry));
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
  const auto value = ParseLogJson(json, base::kMaxJsonDepth - kEntryDepth, reason);
  if (!value) return std::nullopt;
  Faults faults;
  const JsonPath root;
  auto entry = EntryFromJson(*value, root, &faults);
  if (!entry) base::SetReason(reason, ConfigCode::kMalformed, faults.front().Text());
  return entry;
}

std::string WriteLogEntry(const LogEntry& entry) { return EntryToJson(entry).dump(); }

}  // namespace cornelplank::config
