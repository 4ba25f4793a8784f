#include "libs/gateway/internal/work.h"

#include <algorithm>

#include "libs/gateway/internal/prompt.h"

namespace cornelplank::gateway {

rpc::ForwardRequest ToForward(const Work& work, const std::string& own_zone, const std::string& attempt,
                              uint32_t resume_tokens, base::Duration remaining) {
  rpc::ForwardRequest request;
  request.attempt_id = attempt;
  request.kind = work.kind;
  request.remaining = std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
  request.config_seq = work.config_seq;
  request.visited_zones = work.visited_zones;
  request.visited_zones.push_back(own_zone);
  request.client_id = work.client;
  request.partner = work.partner;
  request.priority_class = work.priority_class;
  request.home = work.home;
  request.residency = work.residency;
  request.target = work.target;
  request.method = work.method;
  request.path = work.path;
  request.headers = work.headers;
  request.body = work.body;
  request.ticket = work.ticket;
  request.resume_tokens = resume_tokens;
  return request;
}

Work FromForward(const rpc::ForwardRequest& request, base::TimePoint now) {
  Work work;
  work.request_id = request.attempt_id.substr(0, request.attempt_id.find('.'));
  work.kind = request.kind;
  work.client = request.client_id;
  work.partner = request.partner;
  work.priority_class = request.priority_class;
  work.home = request.home;
  work.residency = request.residency;
  work.target = request.target;
  work.method = request.method;
  work.path = request.path;
  work.headers = request.headers;
  work.body = request.body;
  work.ticket = request.ticket;
  work.deadline = now + request.remaining;
  work.config_seq = request.config_seq;
  work.visited_zones = request.visited_zones;
  if (work.kind == rpc::ForwardKind::kCompletion) ReadPrompt(work.body, &work);
  return work;
}

}  // namespace cornelplank::gateway
