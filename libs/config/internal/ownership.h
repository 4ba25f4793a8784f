#pragma once

#include <string_view>

#include "libs/config/internal/document.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// Compares two documents entry by entry and appends a fault for each change that the partner `author` may
/// not make. It may add, change and remove its own entry in `partners` and the entries whose `partner` field
/// names it before and after the change. The owner of the region at either end of a link may change the link.
/// Every partner may change the format. An `author` that is not a partner in `before` gives a single fault.
void CheckOwnership(const Document& before, const Document& after, std::string_view author, Faults* faults);

}  // namespace cornelplank::config
