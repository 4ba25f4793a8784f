#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::config {

enum class ConfigCode {
  kNone,           // no fault
  kMalformed,      // not JSON, or not the published form
  kInvalid,        // a document that breaks a rule of its format
  kFormatUnknown,  // a document format above the newest one known; nothing was processed
  kBase,           // the patch names another version than the current one
  kPatch,          // an operation of the patch failed
  kOwnership,      // the author changed what is not its own
  kTooLarge,       // the document or the patch exceeds its size limit
  kGap,            // the entry is not the next one
  kStale,          // the entry or snapshot is not newer than the store
  kConflict,       // same sequence number, other content: an alarm
};

/// The published name of a code, for example "format-unknown".
std::string_view CodeName(ConfigCode code);

using ConfigReason = base::Reason<ConfigCode>;

/// One fault of a JSON value. `pointer` is the JSON pointer (RFC 6901) of the field.
struct Fault {
  std::string pointer;
  std::string problem;

  /// "POINTER: PROBLEM"
  std::string Text() const { return pointer + ": " + problem; }
  bool operator==(const Fault&) const = default;
};
using Faults = std::vector<Fault>;

}  // namespace cornelplank::config
