#pragma once

#include <optional>

#include "libs/gateway/internal/gateway_request.h"
#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// Turns a client's HTTP http_request into request: authenticates the client, resolves its class, home and
/// deadline. Nothing is returned, with `failure` set, when the http_request can't be accepted.
std::optional<GatewayRequest> ReadRequest(SharedState* shared, const http::Request& http_request,
                                          Failure* failure);

/// Fills in the class attributes from the document; false when the partner has no such class.
bool ResolveClass(const config::Document& document, GatewayRequest* request);

}  // namespace cornelplank::gateway
