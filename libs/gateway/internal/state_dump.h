#pragma once

#include <nlohmann/json_fwd.hpp>

#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

// Each function returns one part of the state for the operator API, without request content or keys.
nlohmann::json DumpStatus(SharedState* shared);
nlohmann::json DumpConfig(SharedState* shared);
nlohmann::json DumpVms(SharedState* shared);
nlohmann::json DumpReplicas(SharedState* shared);
nlohmann::json DumpAdmission(SharedState* shared);
nlohmann::json DumpTickets(SharedState* shared);
nlohmann::json DumpRetries(SharedState* shared);

}  // namespace cornelplank::gateway
