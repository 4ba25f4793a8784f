#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/internal/client_record.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// A response of the client directory: the changes since the revision that the request named.
struct ClientPage {
  uint64_t revision = 0;              // revision of the directory with these changes
  std::vector<ClientRecord> clients;  // new and changed clients
  std::vector<std::string> removed;   // ids of removed clients

  bool operator==(const ClientPage&) const = default;
};

/// Reads the published form {"revision","clients":[...],"removed":[ids]}. Unknown fields are ignored. A
/// faulty record is reported in `faults` (may be null), and its client is listed as removed if the id is
/// readable: an older record could hold a residency rule that no longer applies. If the page itself is not
/// readable, the result is empty and `reason` (may be null) holds kMalformed.
std::optional<ClientPage> ParseClientPage(std::string_view json, ConfigReason* reason, Faults* faults);
std::string WriteClientPage(const ClientPage& page);

}  // namespace cornelplank::config
