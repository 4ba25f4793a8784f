#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "libs/base/base.h"
#include "libs/http/internal/message.h"

namespace cornelplank::http {

/// An error answer in the form of RFC 9457 with the extension members `code` and `outcome`.
struct Problem {
  int status = 500;
  std::string code;   // stable, for programs
  std::string title;  // one short sentence, for people
  std::string detail;
  base::Outcome outcome = base::Outcome::kUnknown;
  std::optional<std::chrono::seconds> retry_after;
};

/// The JSON text of the problem.
std::string ProblemJson(const Problem& problem);

/// A whole response of type application/problem+json.
Response ProblemResponse(const Problem& problem);

}  // namespace cornelplank::http
