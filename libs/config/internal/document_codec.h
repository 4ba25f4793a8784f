#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "libs/config/internal/document.h"
#include "libs/config/internal/json_reader.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// Reads and checks a document. All faults are appended to `faults`, which must not be null; if there is any,
/// the result is empty and `reason` holds kInvalid with the first one. If `format` is above `newest_format`,
/// the result is empty, `reason` holds kFormatUnknown and nothing else is checked.
std::optional<Document> DocumentFromJson(const Json& value, int newest_format, ConfigReason* reason,
                                         Faults* faults);

/// Reads the entries of `value`, adds them to those of `unchanged` and checks the whole. The entries of
/// `unchanged` must be valid and absent from `value`. Returns the document even when there are faults; faulty
/// fields then hold defaults. The caller must have checked the format with IsFormatUnknown.
Document ReadDocument(const Json& value, Document unchanged, int newest_format, Faults* faults);

/// True when the `format` of the document `value` is above `newest_format`; `reason` then holds
/// kFormatUnknown.
bool IsFormatUnknown(const Json& value, int newest_format, ConfigReason* reason);

/// The canonical form, in which every field is present.
Json DocumentToJson(const Document& document);

}  // namespace cornelplank::config
