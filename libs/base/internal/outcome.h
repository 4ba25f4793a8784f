#pragma once

#include <string_view>

namespace cornelplank::base {

/// Whether a request that failed was executed. A client may safely repeat it only after `kNotRun`.
enum class Outcome {
  kNotRun,   // certain: no byte of it can have reached an upstream
  kRan,      // certain: an upstream executed it
  kUnknown,  // it may or may not have been executed
};

/// The value of the field `outcome` in error responses and logs.
constexpr std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kRan:
      return "ran";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace cornelplank::base
