#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "libs/config/internal/document.h"
#include "libs/config/internal/json_reader.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// Reads and checks a document. All faults are appended to `faults` (required); nothing is returned when
/// there is one. A `format` above `known_format` gives kFormatUnknown and no other judgement.
std::optional<Document> DocumentFromJson(const Json& value, int known_format, ConfigReason* reason,
                                         Faults* faults);
/// The same, where `rest` holds valid entries that `value` leaves out. The entries of both are joined, and
/// the rules that span several entries are checked on the whole.
std::optional<Document> DocumentFromJson(const Json& value, Document rest, int known_format,
                                         ConfigReason* reason, Faults* faults);

/// The canonical form: every field present.
Json DocumentToJson(const Document& document);

}  // namespace cornelplank::config
