#pragma once

#include <cstddef>

#include "libs/config/internal/document.h"

namespace cornelplank::config {

/// Size of WriteDocument(document) in bytes, computed without building the text.
size_t DocumentSize(const Document& document);

}  // namespace cornelplank::config
