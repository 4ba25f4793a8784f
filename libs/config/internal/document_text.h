#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "libs/config/internal/document.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// Largest document in its canonical text, in bytes. The platform's values end at 1 MB, and a snapshot adds
/// an envelope of about 200 bytes.
inline constexpr size_t kMaxDocumentBytes = 1'000'000 - 1'000;

/// Parses and checks a document. Pure: the same bytes and `newest_format` give the same result on every node.
/// On failure `reason` holds the first fault and `faults`, if given, all of them.
/// Codes: kMalformed, kInvalid, kFormatUnknown, kTooLarge.
std::optional<Document> ParseDocument(std::string_view json, ConfigReason* reason);
std::optional<Document> ParseDocument(std::string_view json, int newest_format, ConfigReason* reason,
                                      Faults* faults);

/// The canonical text: all fields, keys in byte order, no blanks. Equal documents give equal bytes.
std::string WriteDocument(const Document& document);

}  // namespace cornelplank::config
