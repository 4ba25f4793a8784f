#include "libs/config/internal/reason.h"

namespace cornelplank::config {

std::string_view CodeName(ConfigCode code) {
  switch (code) {
    case ConfigCode::kNone:
      return "none";
    case ConfigCode::kMalformed:
      return "malformed";
    case ConfigCode::kInvalid:
      return "invalid";
    case ConfigCode::kFormatUnknown:
      return "format-unknown";
    case ConfigCode::kBase:
      return "base";
    case ConfigCode::kPatch:
      return "patch";
    case ConfigCode::kOwnership:
      return "ownership";
    case ConfigCode::kTooLarge:
      return "too-large";
    case ConfigCode::kGap:
      return "gap";
    case ConfigCode::kStale:
      return "stale";
    case ConfigCode::kConflict:
      return "conflict";
  }
  return "unknown";
}

}  // namespace cornelplank::config
