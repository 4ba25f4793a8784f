#pragma once

#include "libs/config/internal/document.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// Checks the rules that involve several entries (references, sums of shares, zones) and appends a fault for
/// each violation to `faults`.
void CheckDocument(const Document& document, Faults* faults);

}  // namespace cornelplank::config
