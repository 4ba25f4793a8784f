#pragma once

#include <set>
#include <string>

#include "libs/config/internal/document.h"
#include "libs/config/internal/json_reader.h"

namespace cornelplank::config {

/// Limit of the tokens of a path in a patch. Paths of a valid document have at most 5 tokens. The limit keeps
/// repeated copies from nesting values deeply.
inline constexpr size_t kMaxPathTokens = 8;

/// Number of tokens of the JSON pointer in the field `key` of a patch operation; 0 when the field is absent
/// or not a string.
size_t CountPathTokens(const Json& operation, const char* key);

/// The part of a document that the operations of a patch can read or change, derived from their paths. A
/// patch is applied to this part only, because building and reading the JSON form of a full document takes
/// tens of milliseconds.
class PatchScope {
 public:
  explicit PatchScope(const Json& patch);

  /// The canonical form of the part in scope: all sections, but only the entries that the patch can reach.
  Json ToJson(const Document& document) const;
  /// The document without the entries in scope.
  Document SelectUnreachable(const Document& document) const;

 private:
  void AddPath(const Json& operation, const char* key);

  bool whole_document_ = false;
  std::set<std::string> sections_;                        // sections that are in scope as a whole
  std::map<std::string, std::set<std::string>> entries_;  // section -> names of its entries in scope
};

}  // namespace cornelplank::config
