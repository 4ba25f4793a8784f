#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::config {

/// Why the configuration library refused a value, a log entry or a snapshot.
enum class ConfigCode {
  kNone,           // no error
  kMalformed,      // not JSON, or not the published form
  kInvalid,        // a document that breaks a rule of its format
  kFormatUnknown,  // a document format above the newest one known; nothing else was checked
  kBase,           // the patch names another version than the current one
  kPatch,          // an operation of the patch failed
  kOwnership,      // the author changed an entry of another partner
  kTooLarge,       // the document or the patch exceeds its size limit
  kGap,            // entries before this one are missing
  kStale,          // the entry or snapshot is not newer than the store's version
  kConflict,       // same sequence number but different content, or a lower version number: raises an alarm
};

/// The name of a code in logs and HTTP answers, for example "format-unknown".
std::string_view CodeName(ConfigCode code);

using ConfigReason = base::Reason<ConfigCode>;

/// A rule that a JSON value breaks. `pointer` is the JSON pointer (RFC 6901) of the field.
struct Fault {
  std::string pointer;
  std::string problem;

  /// "POINTER: PROBLEM"
  std::string Text() const { return pointer + ": " + problem; }
  bool operator==(const Fault&) const = default;
};
using Faults = std::vector<Fault>;

}  // namespace cornelplank::config
