#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "libs/config/internal/document.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// Bounds of one patch. They are part of the rules of format 1: every node has to refuse the same patches.
inline constexpr size_t kMaxPatchBytes = 1'000'000;
inline constexpr size_t kMaxPatchOperations = 20'000;

/// What became of a patch.
struct PatchResult {
  std::optional<Document> document;  // present when the patch is acceptable
  ConfigReason reason;               // first fault, or kFormatUnknown when the result can't be processed
  Faults faults;                     // all faults
};

/// Applies an RFC 6902 patch by `author` to the canonical form of `document` and judges the result: all
/// operations succeed, the format stays or rises by one, the document is valid and within kMaxDocumentBytes,
/// and the author changed only what it owns. All faults of the result are reported. Pure; `document` is not
/// changed.
PatchResult ApplyPatch(const Document& document, std::string_view author, std::string_view patch_json,
                       int newest_format = kNewestFormat);

}  // namespace cornelplank::config
