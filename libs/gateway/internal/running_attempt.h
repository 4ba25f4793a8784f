#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "libs/gateway/internal/gateway_request.h"

namespace cornelplank::gateway {

/// One step of an attempt's answer.
struct AttemptEvent {
  enum class Kind { kHead, kData, kEnd, kFailed, kNothing };
  Kind kind = Kind::kNothing;
  int status = 0;
  rpc::HeaderList headers;
  std::string data;
  Failure failure;
};

/// Where an attempt runs, for retries and for `explain`.
struct AttemptPlace {
  uint64_t key = 0;  // hash of the replica's or the zone's name
  bool is_zone = false;
  upstreams::Index zone = upstreams::kNone;
  std::string served_by;  // replica or zone
  std::string region;
  std::string route_reason;  // the terms of the choice in one line
  double cost = 0;           // estimated cost units
};

/// One attempt at a replica of the own zone or at another zone. Destroying it cancels the request.
class RunningAttempt {
 public:
  virtual ~RunningAttempt() = default;
  /// Waits at most `limit` for the next event. After kEnd or kFailed nothing follows.
  virtual AttemptEvent Next(std::chrono::milliseconds limit) = 0;
  virtual const AttemptPlace& place() const = 0;
};

}  // namespace cornelplank::gateway
