#include <malloc.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <iostream>
#include <memory>
#include <vector>

#include "bench/control/fleet.h"

namespace cornelplank::bench {
namespace {

namespace po = boost::program_options;
using std::chrono::seconds;

/// The results for one fleet size; negative seconds mean that some node never got there.
struct Row {
  int nodes = 0;
  int zones = 0;
  // Bytes per node and second; without configuration changes unless said otherwise.
  double message_bytes_per_s = 0;       // without call overhead
  double wire_bytes_per_s = 0;          // with it
  double max_wire_bytes_per_s = 0;      // of the busiest node
  double wire_bytes_per_s_changes = 0;  // at 770 changes a day
  double cpu_ppm = 0;                   // millionths of a core per node
  double platform_calls_per_s = 0;      // of the whole fleet
  double memory_kb = 0;                 // per node
  double propagation_p50_s = 0;         // from publication to in force at every node
  double propagation_max_s = 0;
  double healed_s = 0;     // from the end of a partition to in force at every node; longest of six
  double returned_s = 0;   // from the end of a platform outage to in force at every node
  int return_peak = 0;     // platform calls in the busiest second after the outage
  double suspected_s = 0;  // from a VM's death until its whole zone suspects it; longest of four
  // Shares of node time in which a node's configuration was not confirmed as the newest.
  double unconfirmed = 0;
  double unconfirmed_outage = 0;  // in the last half of a platform outage
};

/// Spreads the nodes over zones of up to 14 (370 nodes over 26 zones), and these over up to 9 regions.
FleetShape MakeShape(int nodes) {
  FleetShape shape;
  shape.nodes = nodes;
  shape.zones = nodes < 10 ? 1 : std::max(2, (nodes + 13) / 14);
  if (nodes == 370) shape.zones = 26;
  shape.regions = std::min(9, std::min(shape.zones, std::max(2, (shape.zones + 2) / 3)));
  return shape;
}

/// Bytes that are allocated on the heap.
size_t HeapBytes() { return mallinfo2().uordblks; }

/// Simulates one fleet: quiet, with changes, with partitions, with a platform outage and with failing VMs.
Row Measure(const FleetShape& shape) {
  constexpr int kQuietSeconds = 60;
  constexpr int kChangeCount = 40;
  Row row;
  row.nodes = shape.nodes;
  row.zones = shape.zones;
  const size_t heap = HeapBytes();
  Fleet fleet(shape);
  fleet.RunFor(seconds{60});
  row.memory_kb = static_cast<double>(HeapBytes() - heap) / 1024 / shape.nodes;

  const double node_s = static_cast<double>(kQuietSeconds) * shape.nodes;
  fleet.ResetCounters();
  fleet.RunFor(seconds{kQuietSeconds});
  const FleetCounters quiet = fleet.Counters();
  row.message_bytes_per_s = quiet.message_bytes / node_s;
  row.wire_bytes_per_s = quiet.wire_bytes / node_s;
  row.max_wire_bytes_per_s = quiet.max_wire_bytes / kQuietSeconds;
  row.cpu_ppm = quiet.cpu_s / node_s * 1e6;
  row.platform_calls_per_s = quiet.platform_calls / kQuietSeconds;
  row.unconfirmed = quiet.unconfirmed_node_s / node_s;

  // 770 changes a day are one every 112 s. To save time one is published about every 3 s, and the bytes per
  // change are scaled back to 770 a day.
  base::Random random(shape.seed + 9);
  fleet.ResetCounters();
  const base::TimePoint from = fleet.now();
  for (int i = 0; i < kChangeCount; ++i) {
    fleet.Publish();
    fleet.RunFor(std::chrono::milliseconds{2000 + random.Below(2000)});
  }
  const double changes_s = std::chrono::duration<double>(fleet.now() - from).count();
  const double bytes_per_change =
      (fleet.Counters().wire_bytes / shape.nodes - row.wire_bytes_per_s * changes_s) / kChangeCount;
  row.wire_bytes_per_s_changes = row.wire_bytes_per_s + bytes_per_change * 770 / 86400;
  const auto propagation_s = fleet.TakePropagationTimes();
  row.propagation_p50_s = propagation_s[propagation_s.size() / 2];
  row.propagation_max_s = propagation_s.front() < 0 ? -1 : propagation_s.back();

  // Partitions a region, a zone or both from all others and from the platform while entries are published.
  for (int round = 0; round < 6; ++round) {
    if (round % 3 != 1) fleet.CutRegion((shape.regions - 1 + round) % shape.regions);
    if (round % 3 != 0) fleet.CutZone((shape.zones - 1 + round) % shape.zones);
    for (int i = 0; i < 6; ++i) {
      fleet.RunFor(std::chrono::milliseconds{4000 + random.Below(2000)});
      fleet.Publish();
    }
    const base::TimePoint healed_at = fleet.now();
    fleet.Heal();
    fleet.RunFor(seconds{30});
    const double healed_s = fleet.SecondsToHead(healed_at);
    if (row.healed_s >= 0) row.healed_s = healed_s < 0 ? -1 : std::max(row.healed_s, healed_s);
  }

  fleet.StopPlatform();
  fleet.RunFor(seconds{60});
  fleet.ResetCounters();
  fleet.RunFor(seconds{60});
  row.unconfirmed_outage = fleet.Counters().unconfirmed_node_s / (60.0 * shape.nodes);
  fleet.ResetCounters();
  fleet.StartPlatform();
  fleet.Publish();
  const base::TimePoint returned_at = fleet.now();
  fleet.RunFor(seconds{30});
  row.returned_s = fleet.SecondsToHead(returned_at);
  row.return_peak = fleet.Counters().platform_peak;

  // Kills one VM after another and waits until its zone suspects it.
  for (int victim = 0; victim < std::min(4, shape.nodes / 2); ++victim) {
    fleet.Kill(victim);
    const base::TimePoint died_at = fleet.now();
    while (!fleet.SuspectedByItsZone(victim) && fleet.now() - died_at < seconds{60}) {
      fleet.RunFor(std::chrono::milliseconds{100});
    }
    row.suspected_s = std::max(row.suspected_s, std::chrono::duration<double>(fleet.now() - died_at).count());
  }
  return row;
}

/// Fits a line to a column by least squares over the fleets of up to 100 nodes, and prints its slope and its
/// value at 370 nodes.
void PrintFit(const char* name, const std::vector<Row>& rows,
              const std::function<double(const Row&)>& column) {
  double count = 0;
  double sum_x = 0;  // x: nodes, y: the column
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const Row& row : rows) {
    if (row.nodes > 100) continue;
    count += 1;
    sum_x += row.nodes;
    sum_y += column(row);
    sum_xx += static_cast<double>(row.nodes) * row.nodes;
    sum_xy += row.nodes * column(row);
  }
  const double divisor = count * sum_xx - sum_x * sum_x;
  const double slope = divisor == 0 ? 0 : (count * sum_xy - sum_x * sum_y) / divisor;
  const double intercept = count == 0 ? 0 : (sum_y - slope * sum_x) / count;
  std::printf("%-34s slope %10.4f a node, at 370 nodes %10.2f\n", name, slope, intercept + slope * 370);
}

void Print(const std::vector<Row>& rows) {
  std::printf(
      "nodes zones | msg B/s wire B/s busiest +changes | cpu ppm | calls/s | KB/node | spread p50   max | "
      "healed | returned peak | suspected | unconfirmed quiet outage\n");
  for (const Row& row : rows) {
    std::printf(
        "%5d %5d | %7.0f %8.0f %7.0f %8.0f | %7.0f | %7.1f | %7.1f | %8.3f s %5.3f | %5.2f s | %6.2f s %5d | "
        "%7.1f s | "
        "%10.4f %10.4f\n",
        row.nodes, row.zones, row.message_bytes_per_s, row.wire_bytes_per_s, row.max_wire_bytes_per_s,
        row.wire_bytes_per_s_changes, row.cpu_ppm, row.platform_calls_per_s, row.memory_kb,
        row.propagation_p50_s, row.propagation_max_s, row.healed_s, row.returned_s, row.return_peak,
        row.suspected_s, row.unconfirmed, row.unconfirmed_outage);
  }
  PrintFit("message bytes a node a second", rows, [](const Row& row) { return row.message_bytes_per_s; });
  PrintFit("wire bytes a node a second", rows, [](const Row& row) { return row.wire_bytes_per_s_changes; });
  PrintFit("processor, millionths of a core", rows, [](const Row& row) { return row.cpu_ppm; });
  PrintFit("platform calls a second", rows, [](const Row& row) { return row.platform_calls_per_s; });
  PrintFit("memory, KB a node", rows, [](const Row& row) { return row.memory_kb; });
  PrintFit("spread max, s", rows, [](const Row& row) { return row.propagation_max_s; });
  PrintFit("healed, s", rows, [](const Row& row) { return row.healed_s; });
}

}  // namespace
}  // namespace cornelplank::bench

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("cornelplank-bench-control [options]");
  options.add_options()("help", "print this text")("version", "print the version")(
      "seed", po::value<uint64_t>()->default_value(1), "seed of the run")(
      "round-ms", po::value<int>()->default_value(1000), "time between two gossip rounds of a node, ms")(
      "small-zone", po::value<int>()->default_value(4), "VMs of a zone up to which a round makes two calls")(
      "nodes", po::value<std::vector<int>>()->multitoken(), "fleet sizes; default 2 10 25 50 100 and 370");
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
  if (values.count("version") > 0) {
    std::cout << cornelplank::base::kVersion << "\n";
    return 0;
  }
  std::vector<int> sizes{2, 10, 25, 50, 100, 370};
  if (values.count("nodes") > 0) sizes = values["nodes"].as<std::vector<int>>();
  std::vector<cornelplank::bench::Row> rows;
  for (const int nodes : sizes) {
    auto shape = cornelplank::bench::MakeShape(nodes);
    shape.seed = values["seed"].as<uint64_t>();
    shape.gossip.round_interval = std::chrono::milliseconds{values["round-ms"].as<int>()};
    shape.gossip.small_zone_vms = static_cast<size_t>(values["small-zone"].as<int>());
    rows.push_back(cornelplank::bench::Measure(shape));
  }
  cornelplank::bench::Print(rows);
  return 0;
}
