#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "libs/config/internal/document.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// Size limit of a document's canonical text, in bytes. The platform stores values of at most 1 MB, and a
/// snapshot wraps the document in an envelope of about 200 bytes.
inline constexpr size_t kMaxDocumentBytes = 1'000'000 - 1'000;

/// Parses and checks a document. Deterministic: the same bytes and `newest_format` give the same result on
/// every node. On failure the result is empty, `reason` (may be null) holds the first fault, and `faults`
/// (may be null) receives all of them. Codes: kMalformed, kInvalid, kFormatUnknown, kTooLarge.
std::optional<Document> ParseDocument(std::string_view json, ConfigReason* reason);
std::optional<Document> ParseDocument(std::string_view json, int newest_format, ConfigReason* reason,
                                      Faults* faults);

/// The canonical text: all fields present, keys in byte order, no white space. Equal documents give equal
/// bytes.
std::string WriteDocument(const Document& document);

}  // namespace cornelplank::config
