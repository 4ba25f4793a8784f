#pragma once

#include <memory>

#include "apps/ctl/commands/transport.h"

namespace cornelplank::ctl {

/// Creates a transport that uses the HTTP client of libs/http. `timeout` limits each request from connecting
/// to the end of the response.
std::unique_ptr<Transport> MakeHttpTransport(std::chrono::milliseconds timeout);

}  // namespace cornelplank::ctl
