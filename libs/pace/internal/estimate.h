#pragma once

#include <optional>

#include "libs/pace/internal/replica_pace.h"

namespace cornelplank::pace {

/// Work at a replica, of which some may be younger than the newest report.
struct ReplicaLoad {
  double requests = 0;        // running and waiting
  double prefill_tokens = 0;  // prompt tokens that are still to be processed
  uint32_t slots = 1;         // requests that run at once
};

/// The work of one request.
struct RequestShape {
  double prompt_tokens = 0;   // that the replica has to process, without those in its cache
  double output_tokens = 0;   // at most
  uint32_t event_tokens = 0;  // tokens of one event; 0: the service has no model engine
};

/// The course of a request at a replica, in times since it is sent.
struct Forecast {
  ExpectedTime first_event;
  ExpectedTime longest_pause;  // between two events
  ExpectedTime end;
  base::Duration wait{0};         // the part of the first event that is due to other requests
  base::Duration added_pause{0};  // by which the request's prompt lengthens a pause of streams that run there
};

/// The observed counterpart of a Forecast; what did not happen has no value.
struct Course {
  std::optional<base::Duration> first_event;
  std::optional<base::Duration> longest_pause;
  base::Duration end{0};
  bool whole = false;  // the response ended by itself, else it was cut off at `end`
};

/// Estimates the course of a request that is sent to the replica now.
Forecast Estimate(const ReplicaPace& replica, const ServicePace& service, const ReplicaLoad& load,
                  const RequestShape& request, base::TimePoint now);

/// Corrects later estimates of the service by an observed course.
void Calibrate(ServicePace* service, const Forecast& forecast, const Course& observed);

}  // namespace cornelplank::pace
