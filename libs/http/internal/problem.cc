#include "libs/http/internal/problem.h"

#include <nlohmann/json.hpp>

namespace cornelplank::http {

std::string ProblemJson(const Problem& problem) {
  nlohmann::json json = {{"type", "urn:cornelplank:problem:" + problem.code},
                         {"title", problem.title},
                         {"status", problem.status},
                         {"code", problem.code},
                         {"outcome", base::OutcomeName(problem.outcome)}};
  if (!problem.detail.empty()) json["detail"] = problem.detail;
  // Invalid UTF-8 in the detail is replaced, since nlohmann::json would throw an exception for it by default.
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Response ProblemResponse(const Problem& problem) {
  Response response;
  response.status = problem.status;
  response.headers["Content-Type"] = "application/problem+json";
  if (problem.retry_after) response.headers["Retry-After"] = std::to_string(problem.retry_after->count());
  response.body = ProblemJson(problem);
  return response;
}

}  // namespace cornelplank::http
