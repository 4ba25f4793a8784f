#include "libs/gateway/internal/gateway_request.h"

#include <algorithm>

#include "libs/gateway/internal/prompt.h"

namespace cornelplank::gateway {

rpc::ForwardRequest ToForward(const GatewayRequest& request, const std::string& own_zone,
                              const std::string& attempt_id, uint32_t resume_tokens,
                              base::Duration remaining) {
  rpc::ForwardRequest forward;
  forward.attempt_id = attempt_id;
  forward.kind = request.kind;
  forward.remaining = std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
  forward.config_seq = request.config_seq;
  forward.visited_zones = request.visited_zones;
  forward.visited_zones.push_back(own_zone);
  forward.client_id = request.client;
  forward.partner = request.partner;
  forward.priority_class = request.priority_class;
  forward.home = request.home;
  forward.residency = request.residency;
  forward.target = request.target;
  forward.method = request.method;
  forward.path = request.path;
  forward.headers = request.headers;
  forward.body = request.body;
  forward.ticket = request.ticket;
  forward.resume_tokens = resume_tokens;
  return forward;
}

GatewayRequest FromForward(const rpc::ForwardRequest& forward, base::TimePoint now) {
  GatewayRequest request;
  request.request_id = forward.attempt_id.substr(0, forward.attempt_id.find('.'));
  request.kind = forward.kind;
  request.client = forward.client_id;
  request.partner = forward.partner;
  request.priority_class = forward.priority_class;
  request.home = forward.home;
  request.residency = forward.residency;
  request.target = forward.target;
  request.method = forward.method;
  request.path = forward.path;
  request.headers = forward.headers;
  request.body = forward.body;
  request.ticket = forward.ticket;
  request.deadline = now + forward.remaining;
  request.config_seq = forward.config_seq;
  request.visited_zones = forward.visited_zones;
  if (request.kind == rpc::ForwardKind::kCompletion) ParsePrompt(request.body, &request);
  return request;
}

}  // namespace cornelplank::gateway
