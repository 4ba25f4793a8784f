#include "libs/routing/internal/decision.h"

namespace cornelplank::routing {

std::string_view RouteCodeName(RouteCode code) {
  switch (code) {
    case RouteCode::kStaleNames:
      return "stale-names";
    case RouteCode::kResidency:
      return "residency";
    case RouteCode::kHomeOnly:
      return "home-only";
    case RouteCode::kLoop:
      return "loop";
    case RouteCode::kNotServed:
      return "not-served";
    case RouteCode::kUnreachable:
      return "unreachable";
    case RouteCode::kLeaving:
      return "leaving";
    case RouteCode::kEjected:
      return "ejected";
    case RouteCode::kExcluded:
      return "excluded";
    case RouteCode::kShare:
      return "share";
    case RouteCode::kWaitForSpare:
      return "wait-for-spare";
    case RouteCode::kDeadline:
      return "deadline";
  }
  return "unknown";
}

}  // namespace cornelplank::routing
