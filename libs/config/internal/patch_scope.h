#pragma once

#include <set>
#include <string>

#include "libs/config/internal/document.h"
#include "libs/config/internal/json_reader.h"

namespace cornelplank::config {

/// Paths of a valid document have at most 5 tokens. The bound keeps repeated copies from nesting deeply.
inline constexpr size_t kMaxPathTokens = 8;

/// Number of tokens of the JSON pointer at `key` of a patch operation; 0 when it is absent or no string.
size_t PathTokens(const Json& operation, const char* key);

/// The part of a document that the operations of a patch can reach, found from their paths. A patch is
/// applied to this part only, because the JSON form of a full document takes tens of milliseconds to build
/// and read.
class PatchScope {
 public:
  explicit PatchScope(const Json& patch);

  /// The canonical form, without the entries that are out of reach. All sections are present.
  Json ToJson(const Document& document) const;
  /// The document without the entries that are within reach.
  Document Rest(const Document& document) const;

 private:
  void Add(const Json& operation, const char* key);

  bool whole_ = false;
  std::set<std::string> sections_;                        // reached as a whole
  std::map<std::string, std::set<std::string>> entries_;  // section -> names
};

}  // namespace cornelplank::config
