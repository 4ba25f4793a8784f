#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "libs/base/base.h"
#include "libs/http/internal/message.h"

namespace cornelplank::http {

/// An error response in the form of RFC 9457 (problem details) with the extension members `code` and
/// `outcome`.
struct Problem {
  int status = 500;
  std::string code;    // stable identifier, for programs
  std::string title;   // one short sentence, for people
  std::string detail;  // what is particular to this occurrence, for people; left out when empty
  base::Outcome outcome = base::Outcome::kUnknown;
  std::optional<std::chrono::seconds> retry_after;  // sent as the header Retry-After
};

/// The problem as a JSON object.
std::string ProblemJson(const Problem& problem);

/// The problem as a response of type application/problem+json.
Response ProblemResponse(const Problem& problem);

}  // namespace cornelplank::http
