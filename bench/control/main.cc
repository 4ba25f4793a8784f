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

struct Row {
  int nodes = 0;
  int zones = 0;
  double messages = 0;      // bytes a node a second, quiet
  double wire = 0;          // likewise with overhead
  double most_wire = 0;     // of the busiest node
  double wire_changes = 0;  // at 770 changes a day
  double cpu = 0;           // share of a core a node, in millionths
  double platform = 0;      // calls a second of the fleet
  double memory_kb = 0;     // a node
  double spread_p50 = 0;    // seconds from publication to in force everywhere
  double spread_max = 0;
  double healed = 0;       // seconds from the heal to in force everywhere
  double returned = 0;     // seconds from the platform's return to in force everywhere
  int return_peak = 0;     // platform calls in the busiest second after its return
  double suspected = 0;    // seconds from a VM's death until its whole zone suspects it, longest of four
  double unconfirmed = 0;  // share of node time, quiet
  double unconfirmed_outage = 0;  // share of node time, last half of a platform outage
};

FleetShape ShapeOf(int nodes) {
  FleetShape shape;
  shape.nodes = nodes;
  shape.zones = nodes < 10 ? 1 : std::max(2, (nodes + 13) / 14);
  if (nodes == 370) shape.zones = 26;
  shape.regions = std::min(9, std::min(shape.zones, std::max(2, (shape.zones + 2) / 3)));
  return shape;
}

size_t HeapBytes() { return mallinfo2().uordblks; }

Row Measure(const FleetShape& shape) {
  constexpr int kQuiet = 60;
  constexpr int kChanges = 40;
  Row row;
  row.nodes = shape.nodes;
  row.zones = shape.zones;
  const size_t heap = HeapBytes();
  Fleet fleet(shape);
  fleet.RunFor(seconds{60});
  row.memory_kb = static_cast<double>(HeapBytes() - heap) / 1024 / shape.nodes;

  const double node_s = static_cast<double>(kQuiet) * shape.nodes;
  fleet.ResetCounters();
  fleet.RunFor(seconds{kQuiet});
  const FleetCounters quiet = fleet.Counters();
  row.messages = quiet.messages / node_s;
  row.wire = quiet.wire / node_s;
  row.most_wire = quiet.most_wire / kQuiet;
  row.cpu = quiet.cpu_s / node_s * 1e6;
  row.platform = quiet.platform_calls / kQuiet;
  row.unconfirmed = quiet.unconfirmed_node_s / node_s;

  // 770 changes a day, one every 112 s, compressed to one every 3 s or so; the cost of a change is scaled
  // back.
  base::Random random(shape.seed + 9);
  fleet.ResetCounters();
  const base::TimePoint from = fleet.now();
  for (int i = 0; i < kChanges; ++i) {
    fleet.Publish();
    fleet.RunFor(std::chrono::milliseconds{2000 + random.Below(2000)});
  }
  const double changes_s = std::chrono::duration<double>(fleet.now() - from).count();
  const double per_change = (fleet.Counters().wire / shape.nodes - row.wire * changes_s) / kChanges;
  row.wire_changes = row.wire + per_change * 770 / 86400;
  const auto spread = fleet.TakeSpread();
  row.spread_p50 = spread[spread.size() / 2];
  row.spread_max = spread.front() < 0 ? -1 : spread.back();

  // A region, a zone or both are cut off from all others and from the platform while entries are published.
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
    const double healed = fleet.SecondsToHead(healed_at);
    if (row.healed >= 0) row.healed = healed < 0 ? -1 : std::max(row.healed, healed);
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
  row.returned = fleet.SecondsToHead(returned_at);
  row.return_peak = fleet.Counters().platform_peak;

  // One VM after another dies; its zone must notice.
  for (int victim = 0; victim < std::min(4, shape.nodes / 2); ++victim) {
    fleet.Kill(victim);
    const base::TimePoint died_at = fleet.now();
    while (!fleet.SuspectedByItsZone(victim) && fleet.now() - died_at < seconds{60}) {
      fleet.RunFor(std::chrono::milliseconds{100});
    }
    row.suspected = std::max(row.suspected, std::chrono::duration<double>(fleet.now() - died_at).count());
  }
  return row;
}

/// Least-squares line of a column over the fleets of up to 100 nodes; prints its slope and its value at 370
/// nodes.
void PrintFit(const char* name, const std::vector<Row>& rows,
              const std::function<double(const Row&)>& column) {
  double n = 0;
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const Row& row : rows) {
    if (row.nodes > 100) continue;
    n += 1;
    x += row.nodes;
    y += column(row);
    xx += static_cast<double>(row.nodes) * row.nodes;
    xy += row.nodes * column(row);
  }
  const double spread = n * xx - x * x;
  const double slope = spread == 0 ? 0 : (n * xy - x * y) / spread;
  const double start = n == 0 ? 0 : (y - slope * x) / n;
  std::printf("%-34s slope %10.4f a node, at 370 nodes %10.2f\n", name, slope, start + slope * 370);
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
        row.nodes, row.zones, row.messages, row.wire, row.most_wire, row.wire_changes, row.cpu, row.platform,
        row.memory_kb, row.spread_p50, row.spread_max, row.healed, row.returned, row.return_peak,
        row.suspected, row.unconfirmed, row.unconfirmed_outage);
  }
  PrintFit("message bytes a node a second", rows, [](const Row& row) { return row.messages; });
  PrintFit("wire bytes a node a second", rows, [](const Row& row) { return row.wire_changes; });
  PrintFit("processor, millionths of a core", rows, [](const Row& row) { return row.cpu; });
  PrintFit("platform calls a second", rows, [](const Row& row) { return row.platform; });
  PrintFit("memory, KB a node", rows, [](const Row& row) { return row.memory_kb; });
  PrintFit("spread max, s", rows, [](const Row& row) { return row.spread_max; });
  PrintFit("healed, s", rows, [](const Row& row) { return row.healed; });
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
    auto shape = cornelplank::bench::ShapeOf(nodes);
    shape.seed = values["seed"].as<uint64_t>();
    shape.gossip.round_interval = std::chrono::milliseconds{values["round-ms"].as<int>()};
    shape.gossip.small_zone_vms = static_cast<size_t>(values["small-zone"].as<int>());
    rows.push_back(cornelplank::bench::Measure(shape));
  }
  cornelplank::bench::Print(rows);
  return 0;
}
