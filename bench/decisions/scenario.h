#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/config/config.h"

namespace cornelplank::bench {

/// Names and sizes of one deployment.
struct Deployment {
  std::string name;
  config::Document document;
  std::string partner;
  std::vector<uint32_t> nodes;     // by zone, in the order of the topology
  std::vector<double> demand;      // share of the arrivals, by zone
  double waiting_share = 0;        // share of requests whose class waits for spare capacity
  uint32_t prefixes_per_zone = 0;  // distinct prompt prefixes of a zone's clients
  uint32_t cached_prefixes = 0;    // prefixes that a replica's cache holds
};

struct Scenario {
  std::string name;
  double load = 0.7;     // arrivals as a share of the whole capacity
  double amplitude = 0;  // of the daily swing; zones are offset by equal parts of the day
  double day_s = 600;    // length of the compressed day
  double duration_s = 900;
  double warmup_s = 120;  // results before are not counted
  double report_delay_s = 0.1;
  std::optional<uint32_t> lost_zone;  // loses its engines
  double lost_s = 0;
  double returned_s = 0;
};

Deployment Gavekvittering();
Deployment Leakline();
/// Three zones of the design scale: 14 nodes and 46 replicas each, 245 slots per replica.
Deployment LargeZones();

std::vector<Scenario> Scenarios();

/// One request of the common arrival list.
struct Arrival {
  int64_t time_ns = 0;
  uint32_t zone = 0;
  uint32_t node = 0;   // within the zone
  bool bound = false;  // to its home region
  bool waits = false;
  uint64_t prefix = 0;
  uint32_t prefix_tokens = 0;
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;
};

/// The arrivals of a scenario; equal for equal seeds.
std::vector<Arrival> MakeArrivals(const Deployment& deployment, const Scenario& scenario, uint64_t seed);

/// Virtual time between two output tokens of a stream.
inline constexpr double kTokenMs = 62;

}  // namespace cornelplank::bench
