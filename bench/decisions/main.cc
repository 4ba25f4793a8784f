#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>

#include "bench/decisions/model.h"
#include "bench/decisions/speed.h"

namespace cornelplank::bench {
namespace {

constexpr uint64_t kDecisions = 200000;

void PrintHeader(const std::string& deployment) {
  std::printf("\n## %s\n", deployment.c_str());
  std::printf("%-30s %-7s %8s %7s %7s %7s %7s %6s %6s %6s %8s %6s %7s %7s\n", "scenario", "router",
              "requests", "p50 ms", "p95 ms", "p99 ms", "cost", "away%", "hit%", "peakq", "refused%", "lost%",
              "retries", "wait s");
}

void PrintRow(const std::string& scenario, const char* router, const Metrics& metrics) {
  std::printf("%-30s %-7s %8lu %7.0f %7.0f %7.0f %7.4f %6.1f %6.1f %6lu %8.2f %6.2f %7lu %7.1f\n",
              scenario.c_str(), router, metrics.requests, metrics.p50_ms, metrics.p95_ms, metrics.p99_ms,
              metrics.cost, metrics.away_share * 100, metrics.hit_share * 100, metrics.peak_queue,
              metrics.refused_share * 100, metrics.lost_share * 100, metrics.retries, metrics.waited_s);
  std::fflush(stdout);
}

/// What to run, from the command line.
struct Choice {
  uint64_t seed = 1;
  bool naive = true;
  bool scored = true;
};

void Compare(const Deployment& deployment, const Scenario& scenario, const Choice& choice) {
  const std::vector<Arrival> arrivals = MakeArrivals(deployment, scenario, choice.seed);
  if (choice.naive) {
    PrintRow(scenario.name, "naive", Model(deployment, scenario, arrivals, routing::NaiveRouter()).Run());
  }
  if (choice.scored) {
    PrintRow(scenario.name, "scored", Model(deployment, scenario, arrivals, routing::ScoredRouter()).Run());
  }
}

void CompareAll(const Choice& choice) {
  for (const Deployment& deployment : {Gavekvittering(), Leakline()}) {
    PrintHeader(deployment.name);
    for (const Scenario& scenario : Scenarios()) Compare(deployment, scenario, choice);
  }
  PrintHeader(LargeZones().name);
  for (const double delay : {0.5, 5.0}) {
    Scenario scenario;
    scenario.name = delay < 1 ? "steady, reports 500 ms late" : "steady, reports 5000 ms late";
    scenario.load = 0.85;
    scenario.duration_s = 60;
    scenario.warmup_s = 30;
    scenario.report_delay_s = delay;
    Compare(LargeZones(), scenario, choice);
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
  const auto speed = cornelplank::bench::MeasureSpeed(cornelplank::bench::kDecisions);
  std::printf(
      "1,200 replicas, 26 zones: %.0f decisions/s, p50 %.2f us, p99 %.2f us, %lu allocations in %lu "
      "decisions\n",
      speed.per_second, speed.p50_us, speed.p99_us, speed.allocations, cornelplank::bench::kDecisions);
  if (values.count("speed-only") == 0) {
    cornelplank::bench::CompareAll({values["seed"].as<uint64_t>(), router != "scored", router != "naive"});
  }
  return 0;
}
