#pragma once

#include <string>

#include "libs/gateway/internal/gateway_request.h"

namespace cornelplank::gateway {

/// Fills in what routing needs of a completion request: model, stream flag, and estimates of prompt, prefix
/// and output in tokens. False when the body is not a JSON object with a model and messages.
bool ParsePrompt(const std::string& body, GatewayRequest* request);

/// The body for one attempt: resumed after `resume_tokens`, always with a seed, so that another replica
/// continues the same answer.
std::string AttemptBody(const GatewayRequest& request, uint32_t resume_tokens);

}  // namespace cornelplank::gateway
