#pragma once

#include <memory>

#include "apps/ctl/commands/transport.h"

namespace cornelplank::ctl {

/// A transport on the HTTP client of libs/http. `timeout` bounds each whole exchange.
std::unique_ptr<Transport> MakeHttpTransport(std::chrono::milliseconds timeout);

}  // namespace cornelplank::ctl
