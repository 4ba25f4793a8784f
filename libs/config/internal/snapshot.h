#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "libs/config/internal/document.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// A configuration together with its position in the history.
struct Snapshot {
  Version version;
  Document document;

  bool operator==(const Snapshot&) const = default;
};

/// Reads the published form {"format","seq","version","digest","document"}; `format` must equal the format of
/// the document. Failures and codes are those of ParseDocument.
std::optional<Snapshot> ParseSnapshot(std::string_view json, ConfigReason* reason);
std::optional<Snapshot> ParseSnapshot(std::string_view json, int newest_format, ConfigReason* reason,
                                      Faults* faults);

/// Writes the published form as canonical text.
std::string WriteSnapshot(const Snapshot& snapshot);
std::string WriteSnapshot(const Version& version, const Document& document);

}  // namespace cornelplank::config
