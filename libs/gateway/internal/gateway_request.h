#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/routing/routing.h"
#include "libs/rpc/rpc.h"

namespace cornelplank::gateway {

/// One forward as the entry VM has understood it, or as a peer forwarded it.
struct GatewayRequest {
  std::string request_id;  // 16 hexadecimal digits, unique
  rpc::ForwardKind kind = rpc::ForwardKind::kCompletion;
  std::string client;
  std::string partner;
  std::string priority_class;
  int priority = 4;
  std::string home;
  std::string residency;
  std::string target;  // model or service
  std::string method;
  std::string path;  // of a service call, without the gateway's prefix
  rpc::HeaderList headers;
  std::string body;
  std::string ticket;
  bool stream = false;
  bool idempotent = true;
  bool hedge = false;
  bool may_wait = false;
  uint32_t prompt_tokens = 0;
  uint32_t prefix_tokens = 0;
  uint32_t output_tokens = 0;
  uint64_t prefix = 0;
  base::TimePoint deadline{};
  uint64_t config_seq = 0;                 // configuration under which it was accepted
  std::vector<std::string> visited_zones;  // empty at the entry VM
  bool own_zone_only = false;              // only an upstream of this zone may run it
};

/// Why a forward was not answered.
struct Failure {
  int status = 503;
  std::string code;
  std::string detail;
  base::Outcome outcome = base::Outcome::kUnknown;
  std::chrono::milliseconds retry_after{0};
  bool client_error = false;  // the forward itself is at fault; no other replica would take it
};

/// Names one attempt of a forward on the wire.
inline std::string WireAttemptId(const std::string& request_id, uint32_t number) {
  return request_id + "." + std::to_string(number);
}

/// The form of the request that travels over a hop. `remaining` is the time left now.
rpc::ForwardRequest ToForward(const GatewayRequest& request, const std::string& own_zone,
                              const std::string& attempt_id, uint32_t resume_tokens,
                              base::Duration remaining);
/// The request that a peer forwarded. The class attributes are filled in by the receiver's configuration.
GatewayRequest FromForward(const rpc::ForwardRequest& forward, base::TimePoint now);

}  // namespace cornelplank::gateway
