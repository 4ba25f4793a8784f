#pragma once

#include <string>
#include <utility>

namespace cornelplank::base {

/// Why a call failed: an error code and a text for people. Functions that return an empty value on failure
/// take a pointer to one. Each library has its own `Code` enum and translates the reasons of the libraries
/// below it.
template <typename Code>
struct Reason {
  Code code{};
  std::string detail;
};

/// Stores the code and the detail in `*reason` unless it is null.
template <typename Code>
void SetReason(Reason<Code>* reason, Code code, std::string detail) {
  if (reason != nullptr) *reason = Reason<Code>{code, std::move(detail)};
}

}  // namespace cornelplank::base
