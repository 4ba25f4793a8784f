#pragma once

#include <string_view>

namespace cornelplank::base {

/// What is known of a request that was not answered with success.
enum class Outcome {
  kNotRun,   // no byte of it may have reached an upstream
  kRan,      // an upstream ran it
  kUnknown,  // it may or may not have run
};

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
