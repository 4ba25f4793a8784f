#pragma once

#include <string_view>

#include "libs/config/internal/document.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// Compares two documents entry by entry and appends a fault for each change that `author` may not make:
/// it may add, change and remove its own section of `partners` and the entries that name it as partner before
/// and after the change. A link may be changed by the owner of either end. The format belongs to both.
void CheckOwnership(const Document& before, const Document& after, std::string_view author, Faults* faults);

}  // namespace cornelplank::config
