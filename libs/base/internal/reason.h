#pragma once

#include <string>
#include <utility>

namespace cornelplank::base {

/// Why the last call returned no value. Each library has its own `Code` enum and translates the reasons of
/// the libraries below it.
template <typename Code>
struct Reason {
  Code code{};
  std::string detail;
};

/// Stores a reason if the caller asked for one.
template <typename Code>
void SetReason(Reason<Code>* reason, Code code, std::string detail) {
  if (reason != nullptr) *reason = Reason<Code>{code, std::move(detail)};
}

}  // namespace cornelplank::base
