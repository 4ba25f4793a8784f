#pragma once

#include <optional>

#include "libs/gateway/internal/core.h"
#include "libs/gateway/internal/work.h"

namespace cornelplank::gateway {

/// Turns a client's HTTP request into work: authenticates the client, resolves its class, home and deadline.
/// Nothing is returned, with `failure` set, when the request can't be accepted.
std::optional<Work> ReadRequest(Core* core, const http::Request& request, Failure* failure);

/// Fills in the class attributes from the document; false when the partner has no such class.
bool ResolveClass(const config::Document& document, Work* work);

}  // namespace cornelplank::gateway
