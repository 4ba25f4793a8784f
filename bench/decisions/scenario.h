#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/config/config.h"

namespace cornelplank::bench {

/// The configuration and the sizes of one simulated deployment.
struct Deployment {
  std::string name;
  config::Document document;
  std::string partner;
  std::vector<uint32_t> nodes;     // number of entry VMs by zone, in the order of the topology
  std::vector<double> demand;      // share of the arrivals, by zone
  double waiting_share = 0;        // share of requests whose class waits for spare capacity
  uint32_t prefixes_per_zone = 0;  // distinct prompt prefixes that a zone's clients use
  uint32_t cached_prefixes = 0;    // prefixes that the cache of one replica holds
};

/// The load of a deployment over time, and what fails.
struct Scenario {
  std::string name;
  double load = 0.7;  // mean arrivals as a share of the capacity of all replicas
  // Of the daily variation, as a share of the mean. The zones peak at equal distances in the day.
  double amplitude = 0;
  double day_s = 600;  // length of a simulated day, which is compressed
  double duration_s = 900;
  double warmup_s = 120;              // requests that arrive before are not counted
  double report_delay_s = 0.1;        // least age of a load report when it reaches a node
  std::optional<uint32_t> lost_zone;  // index of the zone whose engines fail; none: nothing fails
  double lost_s = 0;                  // time at which they fail
  double returned_s = 0;              // time at which they return, with empty caches
};

/// Three zones with 7 nodes and 20 replicas, routed by cost; a quarter of the requests wait for spare
/// capacity.
Deployment Gavekvittering();
/// Three zones with 7 nodes and 20 replicas, routed by latency.
Deployment Leakline();
/// Three zones of the size that the system is designed for: 14 nodes and 46 replicas each, with 245 slots
/// per replica.
Deployment LargeZones();

/// The scenarios that run on each of the small deployments.
std::vector<Scenario> Scenarios();

/// One request, as all routers of a comparison receive it.
struct Arrival {
  int64_t time_ns = 0;           // since the start of the scenario
  uint32_t zone = 0;             // of the client
  uint32_t node = 0;             // within the zone
  bool home_bound = false;       // its data may not leave the home region
  bool waits_for_spare = false;  // its class waits for spare capacity
  uint64_t prefix = 0;           // hash of the prompt's prefix
  uint32_t prefix_tokens = 0;
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;
};

/// Draws the arrivals of a scenario, ordered by time. Equal seeds give equal arrivals.
std::vector<Arrival> MakeArrivals(const Deployment& deployment, const Scenario& scenario, uint64_t seed);

/// Virtual time between two output tokens of a stream.
inline constexpr double kTokenMs = 62;

}  // namespace cornelplank::bench
