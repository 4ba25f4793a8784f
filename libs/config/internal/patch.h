#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "libs/config/internal/document.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// Limits of a patch. They belong to the rules of format 1, because every node has to refuse the same
/// patches.
inline constexpr size_t kMaxPatchBytes = 1'000'000;
inline constexpr size_t kMaxPatchOperations = 20'000;

/// The result of applying a patch.
struct PatchResult {
  std::optional<Document> document;  // the patched document; empty when the patch is refused
  ConfigReason reason;               // first fault; kFormatUnknown when the patched format is unknown
  Faults faults;                     // all faults; empty when accepted or kFormatUnknown
};

/// Applies a JSON patch (RFC 6902) by the partner `author` to the canonical form of `document`. The patch is
/// accepted if all operations succeed, the format stays or rises by one, the resulting document is valid and
/// within kMaxDocumentBytes, and the author changed only entries that it owns. All faults of the resulting
/// document are reported, but only the first operation that fails. Deterministic; `document` is not changed.
PatchResult ApplyPatch(const Document& document, std::string_view author, std::string_view patch_json,
                       int newest_format = kNewestFormat);

}  // namespace cornelplank::config
