#pragma once

#include <optional>

#include "libs/gateway/internal/gateway_request.h"
#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// Authenticates the client and converts its HTTP request: resolves class, home and deadline. Returns nothing
/// and sets `failure` when the request can't be accepted.
std::optional<GatewayRequest> ReadRequest(SharedState* shared, const http::Request& http_request,
                                          Failure* failure);

/// Copies the attributes of the request's priority class from the configuration. Returns false when the
/// partner has no such class.
bool ResolveClass(const config::Document& document, GatewayRequest* request);

}  // namespace cornelplank::gateway
