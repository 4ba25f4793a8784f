#pragma once

#include <optional>
#include <string_view>

#include "libs/base/base.h"

namespace cornelplank::serving {

/// How a request ended at this VM.
struct RequestSummary {
  std::string_view outcome;                  // event name of its last log line
  std::string_view reason;                   // of a refusal; empty otherwise
  int priority = 0;                          // of its route
  bool hop = false;                          // another VM had passed it on
  unsigned sends = 0;                        // replicas that it reached
  std::optional<base::Duration> first_byte;  // since its arrival; none when no answer of a replica began
  base::Duration total{0};                   // since its arrival
};

/// Hears of each request that has ended.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void OnRequestEnd(const RequestSummary& end) = 0;
};

}  // namespace cornelplank::serving
