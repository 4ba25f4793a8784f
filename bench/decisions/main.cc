#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>

#include "bench/decisions/routing_simulation.h"
#include "bench/decisions/speed.h"

namespace cornelplank::bench {
namespace {

constexpr uint64_t kTimedDecisions = 200000;

void PrintHeader(const std::string& deployment) {
  std::printf("\n## %s\n", deployment.c_str());
  std::printf("%-30s %-7s %8s %7s %7s %7s %7s %6s %6s %6s %8s %6s %7s %7s\n", "scenario", "router",
              "requests", "p50 ms", "p95 ms", "p99 ms", "cost", "away%", "hit%", "peakq", "refused%", "lost%",
              "retries", "wait s");
}

void PrintRow(const std::string& scenario, const char* router, const RoutingResults& results) {
  std::printf("%-30s %-7s %8lu %7.0f %7.0f %7.0f %7.4f %6.1f %6.1f %6lu %8.2f %6.2f %7lu %7.1f\n",
              scenario.c_str(), router, results.requests, results.p50_ms, results.p95_ms, results.p99_ms,
              results.cost, results.away_share * 100, results.hit_share * 100, results.peak_queue,
              results.refused_share * 100, results.lost_share * 100, results.retries,
              results.waiting_first_token_s);
  std::fflush(stdout);
}

/// What to run, from the command line.
struct RunOptions {
  uint64_t seed = 1;
  bool naive = true;
  bool scored = true;
};

/// Runs the same arrivals with each chosen router and prints a row for each.
void RunScenario(const Deployment& deployment, const Scenario& scenario, const RunOptions& options) {
  const std::vector<Arrival> arrivals = MakeArrivals(deployment, scenario, options.seed);
  if (options.naive) {
    PrintRow(scenario.name, "naive",
             RoutingSimulation(deployment, scenario, arrivals, routing::NaiveRouter()).Run());
  }
  if (options.scored) {
    PrintRow(scenario.name, "scored",
             RoutingSimulation(deployment, scenario, arrivals, routing::ScoredRouter()).Run());
  }
}

void RunAllScenarios(const RunOptions& options) {
  for (const Deployment& deployment : {Gavekvittering(), Leakline()}) {
    PrintHeader(deployment.name);
    for (const Scenario& scenario : Scenarios()) RunScenario(deployment, scenario, options);
  }
  PrintHeader(LargeZones().name);
  for (const double delay : {0.5, 5.0}) {
    Scenario scenario;
    scenario.name = delay < 1 ? "steady, reports 500 ms late" : "steady, reports 5000 ms late";
    scenario.load = 0.85;
    scenario.duration_s = 60;
    scenario.warmup_s = 30;
    scenario.report_delay_s = delay;
    RunScenario(LargeZones(), scenario, options);
  }
}

}  // namespace
}  // namespace cornelplank::bench

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("cornelplank-bench-decisions [options]");
  options.add_options()("help", "print this text")("seed", po::value<uint64_t>()->default_value(1),
                                                   "seed of the arrivals")(
      "router", po::value<std::string>()->default_value("both"), "scored, naive or both")(
      "speed-only", "time decisions only");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  if (values.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  const auto router = values["router"].as<std::string>();
  if (router != "both" && router != "scored" && router != "naive") {
    std::cerr << "--router must be scored, naive or both\n";
    return 2;
  }
  const auto speed = cornelplank::bench::MeasureSpeed(cornelplank::bench::kTimedDecisions);
  std::printf(
      "1,200 replicas, 26 zones: %.0f decisions/s, p50 %.2f us, p99 %.2f us, %lu allocations in %lu "
      "decisions\n",
      speed.decisions_per_s, speed.p50_us, speed.p99_us, speed.allocations,
      cornelplank::bench::kTimedDecisions);
  if (values.count("speed-only") == 0) {
    cornelplank::bench::RunAllScenarios(
        {values["seed"].as<uint64_t>(), router != "scored", router != "naive"});
  }
  return 0;
}
