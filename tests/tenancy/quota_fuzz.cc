#include "tests/tenancy/quota_fuzz.h"

#include "tests/fuzz/fuzz_target.h"
#include "tests/tenancy/quota_fleet.h"

namespace cornelplank::tenancy {
namespace {

using std::chrono::milliseconds;

enum Op {
  kFlood,
  kFloodOneVm,
  kIdle,
  kRestart,
  kRestartAll,
  kKill,
  kFreeze,
  kThaw,
  kCutRegion,
  kCutZone,
  kCutVm,
  kHeal,
  kNetwork,
  kRate,
  kOps
};

constexpr const char* kOpNames[] = {"flood",  "flood-vm", "idle",    "restart",    "restart-all",
                                    "kill",   "freeze",   "thaw",    "cut-region", "cut-zone",
                                    "cut-vm", "heal",     "network", "rate"};
constexpr size_t kVms = 12;
constexpr double kSlow = 36'000;
constexpr double kFast = 2'400'000;

struct Command {
  int op = 0;
  int vm = 0;
  int value = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << kOpNames[command.op] << "(vm " << command.vm << ", " << command.value << ")";
}

/// Offers several quotas for up to 8 s; some of the granted requests don't run.
void Flood(QuotaFleet& fleet, double rate, const Command& command) {
  double due = 0;
  for (int tick = 0; tick < command.value * 10; ++tick) {
    due += rate * 0.02 * (2 + command.value % 4);
    while (due > 0) {
      const double cost = 200 * std::pow(300, fleet.random().Unit());
      due -= cost;
      const size_t vm =
          command.op == kFlood ? fleet.random().Below(fleet.size()) : static_cast<size_t>(command.vm);
      fleet.Request(vm, cost, fleet.random().Below(10) == 0);
    }
    fleet.Advance(milliseconds(20));
  }
}

void Apply(QuotaFleet& fleet, double* rate, const Command& command) {
  const auto vm = static_cast<size_t>(command.vm);
  const auto cut = [&](int part, auto&& of) {
    for (size_t other = 0; other < fleet.size(); ++other) {
      if (of(other) == of(vm)) fleet.SetPart(other, part);
    }
  };
  switch (command.op) {
    case kFlood:
    case kFloodOneVm:
      return Flood(fleet, *rate, command);
    case kIdle:
      return fleet.Advance(milliseconds(200) * command.value);
    case kRestart:
      return fleet.Start(vm);
    case kRestartAll:
      for (size_t other = 0; other < fleet.size(); ++other) fleet.Start(other);
      return;
    case kKill:
      return fleet.Kill(vm);
    case kFreeze:
      return fleet.Freeze(vm, true);
    case kThaw:
      for (size_t other = 0; other < fleet.size(); ++other) fleet.Freeze(other, false);
      return;
    case kCutRegion:
      return cut(1 + static_cast<int>(fleet.RegionOf(vm)),
                 [&](size_t other) { return fleet.RegionOf(other); });
    case kCutZone:
      return cut(10 + static_cast<int>(fleet.ZoneOf(vm)), [&](size_t other) { return fleet.ZoneOf(other); });
    case kCutVm:
      return fleet.SetPart(vm, 20 + command.vm);
    case kHeal:
      for (size_t other = 0; other < fleet.size(); ++other) fleet.SetPart(other, 0);
      return;
    case kNetwork:
      fleet.network() = {command.value % 4 * 0.05, command.value % 3 * 0.2,
                         milliseconds(2 + command.value * 20)};
      return;
    default:
      *rate = command.value % 2 == 0 ? kSlow : kFast;
      return fleet.SetRate(*rate);
  }
}

rc::Gen<Command> AnyCommand() {
  const auto op = rc::gen::oneOf(rc::gen::inRange(0, static_cast<int>(kOps)),
                                 rc::gen::element<int>(kFlood, kFlood, kFloodOneVm, kIdle));
  return rc::gen::build<Command>(rc::gen::set(&Command::op, op),
                                 rc::gen::set(&Command::vm, rc::gen::inRange(0, static_cast<int>(kVms))),
                                 rc::gen::set(&Command::value, rc::gen::inRange(0, 40)));
}

}  // namespace

std::optional<std::string> FuzzQuotas(uint64_t seed, uint64_t steps, const QuotaBounds& bounds) {
  constexpr int kCommands = 100;
  return fuzz::CheckProperty(seed, std::max<uint64_t>(steps * 2 / kCommands, 1), kCommands, [&bounds] {
    const bool fast = *rc::gen::arbitrary<bool>();
    double rate = fast ? kFast : kSlow;
    QuotaFleet fleet(kVms, rate, {}, 1, bounds);
    fleet.Advance(std::chrono::seconds(20));
    for (const Command& command : *rc::gen::container<std::vector<Command>>(AnyCommand())) {
      Apply(fleet, &rate, command);
      if (fleet.worst_use() > 1) {
        RC_FAIL("a window has " + std::to_string(fleet.worst_use()) + " of the bound");
      }
    }
  });
}

namespace {

const bool kRegistered = fuzz::RegisterFuzzTarget(
    {"quotas", [](uint64_t seed, uint64_t steps) { return FuzzQuotas(seed, steps, {}); }});

}  // namespace
}  // namespace cornelplank::tenancy
