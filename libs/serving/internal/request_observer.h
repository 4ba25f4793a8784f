#pragma once

#include <optional>
#include <string_view>

#include "libs/base/base.h"
#include "libs/pace/pace.h"

namespace cornelplank::serving {

/// How a request ended at this VM.
struct RequestSummary {
  std::string_view outcome;                  // event name of its last log line
  std::string_view reason;                   // why it was refused; empty for other outcomes
  std::string_view tenant;                   // name; empty: of no tenant
  int priority = 0;                          // of its tenant or route
  bool hop = false;                          // an entry VM of another region forwarded it to this one
  unsigned sends = 0;                        // attempts whose bytes may have reached a replica
  std::optional<base::Duration> first_byte;  // since its arrival; none when no response of a replica began
  base::Duration total{0};                   // since its arrival
  // What was forecast for its first attempt, and its course; none without a replica of known speed.
  std::optional<pace::Forecast> forecast;
  pace::Course course;
};

/// Is notified of the end of each request, for example to update metrics.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void OnRequestEnd(const RequestSummary& summary) = 0;
};

}  // namespace cornelplank::serving
