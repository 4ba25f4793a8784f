#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/admission/admission.h"
#include "libs/base/base.h"

namespace cornelplank::bench {

/// The clients of one class, whose requests together arrive as a Poisson process.
struct Source {
  std::string partner;
  std::string priority_class;
  std::string client_prefix;  // of the clients' ids
  size_t clients = 1;
  double requests_per_s = 0;
  bool measured = true;     // false for the overload, whose own latency does not count
  bool cancellable = true;  // true for idempotent requests, which may be cancelled and sent again
  base::Duration start{0};  // time of the first arrivals
};

struct SimulationOptions {
  std::string pool;  // that all requests use
  base::Duration duration = std::chrono::minutes(30);
  base::Duration warm_up = std::chrono::minutes(3);    // requests before this are not measured
  base::Duration deadline = std::chrono::seconds(60);  // for the start of a request, since its arrival
  uint64_t seed = 1;
};

/// Latencies of the measured requests of one class, in seconds since their arrival.
struct ClassResult {
  std::vector<double> first_token;  // until the first token; the deadline when refused
  std::vector<double> complete;     // until the last token; the deadline when refused
  size_t refused = 0;
};

struct SimulationResult {
  std::map<std::string, ClassResult> classes;  // by "partner/class"
  double utilization = 0;                      // mean share of the slots in use
  size_t cancelled = 0;                        // requests of all classes
};

/// Simulates the requests of all sources at a controller in virtual time. A request holds a slot from its
/// grant to its last token. Each source draws its arrivals and sizes from its own seed, so that the same
/// source sends the same requests in each run.
SimulationResult Simulate(admission::Controller* controller, double slots, const std::vector<Source>& sources,
                          const SimulationOptions& options);

/// The `quantile`, from 0 to 1, of values in any order; 0 without values.
double Quantile(std::vector<double> values, double quantile);

}  // namespace cornelplank::bench
