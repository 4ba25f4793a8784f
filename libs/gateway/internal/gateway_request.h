#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/routing/routing.h"
#include "libs/rpc/rpc.h"

namespace cornelplank::gateway {

/// One request of a client, as parsed by its entry VM or as received from a peer that forwarded it.
struct GatewayRequest {
  std::string request_id;  // 16 hexadecimal digits, unique over all VMs
  rpc::ForwardKind kind = rpc::ForwardKind::kCompletion;
  std::string client;
  std::string partner;
  std::string priority_class;
  int priority = 4;       // of the class: 0 is served first, 7 last
  std::string home;       // home region of the client's data
  std::string residency;  // name of the rule on where the data may be processed
  std::string target;     // name of the model or service
  std::string method;
  std::string path;  // of a service call, without /v1/services/NAME
  rpc::HeaderList headers;
  std::string body;
  std::string ticket;  // of a call that must run at most once; else empty
  bool stream = false;
  bool idempotent = true;      // may be sent more than once
  bool hedge = false;          // the class allows hedged attempts
  bool may_wait = false;       // the class waits for spare capacity
  uint32_t prompt_tokens = 0;  // estimate
  uint32_t prefix_tokens = 0;  // length of the prefix that other requests may share
  uint32_t output_tokens = 0;  // estimate or the request's limit
  uint64_t prefix = 0;         // the engines' hash of the shared prefix; 0 is none
  base::TimePoint deadline{};
  uint64_t config_seq = 0;                 // sequence number of the configuration under which it was accepted
  std::vector<std::string> visited_zones;  // zones that forwarded it, in order; empty at the entry VM
  bool own_zone_only = false;              // only an upstream of this zone may run it
};

/// Why a request or an attempt failed.
struct Failure {
  int status = 503;    // HTTP status for the client
  std::string code;    // stable name, for problem details and metrics
  std::string detail;  // for people
  base::Outcome outcome = base::Outcome::kUnknown;
  std::chrono::milliseconds retry_after{0};  // 0: none is suggested
  bool client_error = false;  // the request itself is invalid: no other replica would accept it
};

/// The id of an attempt on the wire: REQUEST_ID.NUMBER, where 1 is the first attempt.
inline std::string WireAttemptId(const std::string& request_id, uint32_t number) {
  return request_id + "." + std::to_string(number);
}

/// The message that forwards the request to a peer. `remaining` is the time left to its deadline; the clocks
/// of two VMs may differ.
rpc::ForwardRequest ToForward(const GatewayRequest& request, const std::string& own_zone,
                              const std::string& attempt_id, uint32_t resume_tokens,
                              base::Duration remaining);
/// The request that a peer forwarded, with the deadline by the own clock. The attributes of its class are
/// left for ResolveClass to fill in.
GatewayRequest FromForward(const rpc::ForwardRequest& forward, base::TimePoint now);

}  // namespace cornelplank::gateway
