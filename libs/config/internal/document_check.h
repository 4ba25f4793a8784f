#pragma once

#include "libs/config/internal/document.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// Checks the rules that span several entries (references, shares, zones) and appends each fault.
void CheckDocument(const Document& document, Faults* faults);

}  // namespace cornelplank::config
