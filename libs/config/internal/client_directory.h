#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/internal/client_record.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// One answer of the client directory: the changes since a revision.
struct ClientPage {
  uint64_t revision = 0;
  std::vector<ClientRecord> clients;  // new and changed
  std::vector<std::string> removed;   // ids

  bool operator==(const ClientPage&) const = default;
};

/// Reads the published form {"revision","clients":[...],"removed":[ids]}. Unknown fields are ignored. A
/// record with a fault is reported in `faults` (may be null) and its client is listed as removed when the id
/// is readable: an older record could hold a residency rule that no longer applies. Code: kMalformed when the
/// page itself is not readable.
std::optional<ClientPage> ParseClientPage(std::string_view json, ConfigReason* reason, Faults* faults);
std::string WriteClientPage(const ClientPage& page);

}  // namespace cornelplank::config
