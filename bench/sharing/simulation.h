#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/admission/admission.h"
#include "libs/base/base.h"

namespace cornelplank::bench {

/// Clients of one class that together offer a Poisson stream of requests.
struct Source {
  std::string partner;
  std::string priority_class;
  std::string client_prefix;
  size_t clients = 1;
  double requests_per_s = 0;
  bool measured = true;     // false: the overload, whose own latency does not count
  bool cancellable = true;  // idempotent streams
  base::Duration start{0};
};

struct SimulationOptions {
  std::string pool;
  base::Duration length = std::chrono::minutes(30);
  base::Duration warm_up = std::chrono::minutes(3);  // requests before this are not measured
  base::Duration deadline = std::chrono::seconds(60);
  uint64_t seed = 1;
};

/// What the measured requests of one class saw, in seconds.
struct ClassResult {
  std::vector<double> first_token;  // wait and time to the first token; the deadline when refused
  std::vector<double> complete;     // until the last token
  size_t refused = 0;
};

struct SimulationResult {
  std::map<std::string, ClassResult> classes;  // by "partner/class"
  double utilisation = 0;                      // mean share of the slots in use
  size_t cancelled = 0;
};

/// Runs the sources against a controller in virtual time. A slot is held from the grant to the last token.
/// Each source draws its arrivals and sizes from its own seed, so the same source sends the same requests in
/// each run.
SimulationResult Simulate(admission::Controller* controller, double slots, const std::vector<Source>& sources,
                          const SimulationOptions& options);

double Quantile(std::vector<double> values, double quantile);

}  // namespace cornelplank::bench
