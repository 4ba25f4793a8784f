#pragma once

#include <nlohmann/json_fwd.hpp>

#include "libs/gateway/internal/core.h"

namespace cornelplank::gateway {

// Each function renders one part of the state without request content or keys.
nlohmann::json DumpStatus(Core* core);
nlohmann::json DumpConfig(Core* core);
nlohmann::json DumpVms(Core* core);
nlohmann::json DumpReplicas(Core* core);
nlohmann::json DumpAdmission(Core* core);
nlohmann::json DumpTickets(Core* core);
nlohmann::json DumpRetries(Core* core);

}  // namespace cornelplank::gateway
