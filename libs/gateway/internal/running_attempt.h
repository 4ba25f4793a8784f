#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "libs/gateway/internal/gateway_request.h"

namespace cornelplank::gateway {

/// One event of an attempt's answer. Which fields are set depends on the kind.
struct AttemptEvent {
  enum class Kind {
    kHead,    // `status` and `headers` of the response
    kData,    // `data`: a part of the body
    kEnd,     // the body is complete
    kFailed,  // `failure`; the attempt delivers nothing more
    kNothing  // the wait ended without an event
  };
  Kind kind = Kind::kNothing;
  int status = 0;  // HTTP
  rpc::HeaderList headers;
  std::string data;
  Failure failure;
};

/// Where an attempt runs: for the exclusion lists of retries, the response headers and `explain`.
struct AttemptPlace {
  uint64_t key = 0;  // hash of the replica's or the zone's name
  bool is_zone = false;
  upstreams::Index zone = upstreams::kNone;
  std::string served_by;  // id of the replica, the VM or the zone, for the Served-By header
  std::string region;
  std::string route_reason;  // what led to the choice, in one line, for the Route-Reason header
  double cost = 0;           // estimated cost units
};

/// An attempt in progress, at a replica of the own zone or at another VM. Destroying it cancels the attempt.
/// retry::AttemptInfo is the record that the retry policy keeps of it.
class RunningAttempt {
 public:
  virtual ~RunningAttempt() = default;
  /// Waits at most `limit` for the next event. kEnd and kFailed are the last one.
  virtual AttemptEvent Next(std::chrono::milliseconds limit) = 0;
  virtual const AttemptPlace& place() const = 0;
};

}  // namespace cornelplank::gateway
