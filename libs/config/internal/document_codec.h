#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "libs/config/internal/document.h"
#include "libs/config/internal/json_reader.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// Reads and checks a document. All faults are appended to `faults` (required); nothing is returned when
/// there is one. A `format` above `newest_format` gives kFormatUnknown and no other judgement.
std::optional<Document> DocumentFromJson(const Json& value, int newest_format, ConfigReason* reason,
                                         Faults* faults);

/// Reads and checks the entries of `value` joined with those of `rest`, which are valid and absent from
/// `value`. Returns the document even when there are faults; faulty fields then hold defaults. The caller has
/// made sure that the format is known.
Document ReadDocument(const Json& value, Document rest, int newest_format, Faults* faults);

/// True, with kFormatUnknown in `reason`, when the `format` of a document is above `newest_format`.
bool IsFormatUnknown(const Json& value, int newest_format, ConfigReason* reason);

/// The canonical form: every field present.
Json DocumentToJson(const Document& document);

}  // namespace cornelplank::config
