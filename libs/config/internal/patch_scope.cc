#include "libs/config/internal/patch_scope.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libs/config/internal/document_codec.h"

namespace cornelplank::config {
namespace {

/// Returns a copy of those entries of `from` that `names` lists.
template <typename Entry>
std::map<std::string, Entry> CopyEntries(const std::map<std::string, Entry>& from,
                                         const std::set<std::string>& names) {
  std::map<std::string, Entry> selected;
  for (const std::string& name : names) {
    if (const auto found = from.find(name); found != from.end()) selected.insert(*found);
  }
  return selected;
}

/// Calls `visit(section name, section of from, section of to)` for each section that is a map.
template <typename From, typename To, typename Visit>
void ForEachSection(From& from, To& to, Visit&& visit) {
  visit("regions", from.regions, to.regions);
  visit("partners", from.partners, to.partners);
  visit("residency", from.residency, to.residency);
  visit("services", from.services, to.services);
  visit("models", from.models, to.models);
  visit("upstreams", from.upstreams, to.upstreams);
}

}  // namespace

size_t CountPathTokens(const Json& operation, const char* key) {
  const auto field = operation.find(key);
  if (field == operation.end() || !field->is_string()) return 0;
  const auto& path = field->get_ref<const std::string&>();
  return static_cast<size_t>(std::count(path.begin(), path.end(), '/'));
}

PatchScope::PatchScope(const Json& patch) {
  if (!patch.is_array()) return;
  for (const Json& operation : patch) {
    if (!operation.is_object()) continue;
    AddPath(operation, "path");
    AddPath(operation, "from");
  }
}

void PatchScope::AddPath(const Json& operation, const char* key) {
  const auto field = operation.find(key);
  if (field == operation.end() || !field->is_string()) return;
  if (CountPathTokens(operation, key) > kMaxPathTokens) return;  // the operation is refused later
  try {
    Json::json_pointer pointer(field->get_ref<const std::string&>());
    std::vector<std::string> tokens;
    for (; !pointer.empty(); pointer.pop_back()) tokens.insert(tokens.begin(), pointer.back());
    if (tokens.empty()) {
      whole_document_ = true;
    } else if (tokens.size() == 1) {
      sections_.insert(tokens[0]);
    } else {
      entries_[tokens[0]].insert(tokens[1]);
    }
  } catch (const Json::exception&) {
    // Not a JSON pointer: the operation fails later without changing anything.
    return;
  }
}

Json PatchScope::ToJson(const Document& document) const {
  if (whole_document_) return DocumentToJson(document);
  Document part;
  part.format = document.format;
  part.links = document.links;
  ForEachSection(document, part, [this](const char* section, const auto& from, auto& to) {
    if (sections_.contains(section)) {
      to = from;
    } else if (const auto names = entries_.find(section); names != entries_.end()) {
      to = CopyEntries(from, names->second);
    }
  });
  return DocumentToJson(part);
}

Document PatchScope::SelectUnreachable(const Document& document) const {
  Document unreachable;
  unreachable.format = document.format;
  if (whole_document_) return unreachable;
  ForEachSection(document, unreachable, [this](const char* section, const auto& from, auto& to) {
    if (sections_.contains(section)) return;
    to = from;
    const auto names = entries_.find(section);
    if (names == entries_.end()) return;
    for (const std::string& name : names->second) to.erase(name);
  });
  return unreachable;
}

}  // namespace cornelplank::config
