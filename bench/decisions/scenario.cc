#include "bench/decisions/scenario.h"

#include <algorithm>
#include <cmath>

#include "libs/base/base.h"

namespace cornelplank::bench {
namespace {

constexpr double kHomeBoundShare = 0.31;
constexpr double kMeanOutputTokens = 232;
constexpr double kPi = 3.14159265358979;

void AddRegion(config::Document& document, const std::string& partner, const std::string& region,
               const std::vector<int>& slots, double price) {
  document.regions[region] = {partner, {"z"}};
  for (size_t i = 0; i < slots.size(); ++i) {
    config::Upstream upstream;
    upstream.partner = partner;
    upstream.region = region;
    upstream.zone = std::string{"z"};
    upstream.slots = slots[i];
    upstream.price = price;
    upstream.models = {"m"};
    std::string id = region;
    id.append("-").append(std::to_string(100 + i));
    document.upstreams[id] = upstream;
  }
}

Deployment MakeDeployment(const std::string& name, config::Objective objective, double away_penalty,
                          double mbit_s) {
  Deployment deployment;
  deployment.name = name;
  deployment.partner = name;
  config::Document& document = deployment.document;
  document.partners[name] = {objective, away_penalty, {}, {}};
  document.models["m"] = {name, "1", 10, 1};
  document.residency["any"] = {name, {"a", "b", "c"}};
  document.residency["home"] = {name, {"home"}};
  for (const auto& [a, b] : {std::pair{"a", "b"}, std::pair{"a", "c"}, std::pair{"b", "c"}}) {
    document.links.push_back({a, b, mbit_s, std::chrono::milliseconds{80}});
  }
  return deployment;
}

double Exponential(base::Random& random, double mean) { return -mean * std::log(1 - random.Unit()); }

// A rank below `count` whose popularity follows Zipf's law with exponent 0.8; inverts the continuous
// distribution.
uint32_t PopularPrefix(base::Random& random, uint32_t count) {
  constexpr double kInverseExponent = 0.2;  // 1 - 0.8
  const double rank =
      std::pow(random.Unit() * (std::pow(count, kInverseExponent)) + 1e-9, 1 / kInverseExponent);
  return std::min(static_cast<uint32_t>(rank), count - 1);
}

}  // namespace

Deployment Gavekvittering() {
  Deployment deployment = MakeDeployment("gavekvittering", config::Objective::kCost, 50, 2000);
  AddRegion(deployment.document, deployment.partner, "a", {40, 32, 24, 16, 16, 8, 8, 4, 4}, 1.0);
  AddRegion(deployment.document, deployment.partner, "b", {32, 16, 16, 8, 4, 4}, 1.2);
  AddRegion(deployment.document, deployment.partner, "c", {16, 16, 8, 4, 4}, 1.5);
  deployment.nodes = {3, 2, 2};
  deployment.demand = {0.5, 0.3, 0.2};
  deployment.waiting_share = 0.25;
  deployment.prefixes_per_zone = 500;
  deployment.cached_prefixes = 80;
  return deployment;
}

Deployment Leakline() {
  Deployment deployment = MakeDeployment("leakline", config::Objective::kLatency, 200, 140);
  AddRegion(deployment.document, deployment.partner, "a", {40, 24, 24, 16, 16, 8, 8, 4}, 1.0);
  AddRegion(deployment.document, deployment.partner, "b", {32, 24, 16, 8, 8, 4, 4}, 1.0);
  AddRegion(deployment.document, deployment.partner, "c", {24, 16, 8, 8, 4}, 1.1);
  deployment.nodes = {2, 2, 3};
  deployment.demand = {0.45, 0.33, 0.22};
  deployment.prefixes_per_zone = 500;
  deployment.cached_prefixes = 80;
  return deployment;
}

Deployment LargeZones() {
  Deployment deployment = MakeDeployment("large-zones", config::Objective::kLatency, 200, 2000);
  std::vector<int> slots;
  for (int i = 0; i < 46; ++i) slots.push_back(i % 10 == 0 ? 600 : i % 3 == 0 ? 60 : 247);
  for (const char* region : {"a", "b", "c"}) {
    AddRegion(deployment.document, deployment.partner, region, slots, 1.0);
  }
  deployment.nodes = {14, 14, 14};
  deployment.demand = {0.34, 0.33, 0.33};
  deployment.prefixes_per_zone = 20000;
  deployment.cached_prefixes = 600;
  return deployment;
}

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> scenarios;
  for (const double delay : {0.1, 0.5, 1.0, 2.0, 5.0}) {
    Scenario scenario;
    scenario.name.append("steady, reports ")
        .append(std::to_string(static_cast<int>(delay * 1000)))
        .append(" ms late");
    scenario.report_delay_s = delay;
    scenario.load = 0.8;
    scenarios.push_back(scenario);
  }
  Scenario peak;
  peak.name = "daily peak, offset";
  peak.load = 0.75;
  peak.amplitude = 0.5;
  peak.duration_s = 1320;
  peak.report_delay_s = 0.5;
  scenarios.push_back(peak);
  Scenario overload;
  overload.name = "overload, 1.3 of capacity";
  overload.load = 1.3;
  overload.duration_s = 600;
  overload.report_delay_s = 0.5;
  scenarios.push_back(overload);
  Scenario loss;
  loss.name = "loss of region c and return";
  loss.load = 0.65;
  loss.report_delay_s = 0.5;
  loss.lost_zone = 2;
  loss.lost_s = 300;
  loss.returned_s = 600;
  scenarios.push_back(loss);
  loss.name = "return of region b, cold";
  loss.lost_zone = 1;
  loss.lost_s = 30;
  loss.returned_s = 300;
  loss.warmup_s = 300;
  loss.duration_s = 600;
  scenarios.push_back(loss);
  return scenarios;
}

std::vector<Arrival> MakeArrivals(const Deployment& deployment, const Scenario& scenario, uint64_t seed) {
  double slots = 0;
  for (const auto& [id, upstream] : deployment.document.upstreams) slots += upstream.slots;
  const double requests_per_s = scenario.load * slots / (kMeanOutputTokens * kTokenMs / 1000);
  base::Random random(seed);
  std::vector<Arrival> arrivals;
  for (uint32_t zone = 0; zone < deployment.nodes.size(); ++zone) {
    const double mean_rate = requests_per_s * deployment.demand[zone];
    const double peak_rate = mean_rate * (1 + scenario.amplitude);
    const double phase = 2 * kPi * zone / static_cast<double>(deployment.nodes.size());
    double now = 0;
    while ((now += Exponential(random, 1 / peak_rate)) < scenario.duration_s) {
      const double swing = scenario.amplitude * std::sin(2 * kPi * now / scenario.day_s + phase);
      if (random.Unit() * peak_rate > mean_rate * (1 + swing)) continue;
      Arrival arrival;
      arrival.time_ns = static_cast<int64_t>(now * 1e9);
      arrival.zone = zone;
      arrival.node = static_cast<uint32_t>(random.Below(deployment.nodes[zone]));
      arrival.home_bound = random.Unit() < kHomeBoundShare;
      arrival.waits_for_spare = random.Unit() < deployment.waiting_share;
      const uint32_t rank = PopularPrefix(random, deployment.prefixes_per_zone);
      arrival.prefix = base::Random(zone * 1000003ULL + rank + 1).Next() | 1U;
      arrival.prefix_tokens = 1000 + static_cast<uint32_t>(arrival.prefix % 4000);
      arrival.prompt_tokens = arrival.prefix_tokens + 50 + static_cast<uint32_t>(random.Below(300));
      arrival.output_tokens =
          std::clamp<uint32_t>(static_cast<uint32_t>(Exponential(random, kMeanOutputTokens)), 16, 1500);
      arrivals.push_back(arrival);
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.time_ns < b.time_ns; });
  return arrivals;
}

}  // namespace cornelplank::bench
