#pragma once

#include <string>

#include "libs/gateway/internal/gateway_request.h"

namespace cornelplank::gateway {

/// Fills in what routing needs to know of a completion: model, stream flag, prefix hash, and estimates in
/// tokens of the prompt, the shared prefix and the output. Returns false when the body is not a JSON object
/// with a model and messages.
bool ParsePrompt(const std::string& body, GatewayRequest* request);

/// The request body for one attempt. It asks the engine to continue after `resume_tokens` tokens, and always
/// carries a seed, so that another replica continues the same answer.
std::string AttemptBody(const GatewayRequest& request, uint32_t resume_tokens);

}  // namespace cornelplank::gateway
