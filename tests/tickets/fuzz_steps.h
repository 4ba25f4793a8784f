#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "tests/fuzz/fuzz_target.h"

namespace cornelplank::fuzz {

/// One random command of a model under test, the world: its kind, an index into `World::kNames`, and two
/// arguments.
template <typename World>
struct Step {
  uint32_t bits = 0;

  size_t kind() const { return bits % std::size(World::kNames); }
  size_t a() const { return (bits / 64) % 61; }
  size_t b() const { return (bits / 4096) % 59; }
  friend std::ostream& operator<<(std::ostream& out, const Step& step) {
    return out << World::kNames[step.kind()] << "(" << step.a() << "," << step.b() << ")";
  }
};

/// Runs about `steps` commands in cases of up to `max_length` commands, each case on a new world made by
/// `make`. A world has `Apply(kind, a, b)`, `End()` for the checks after the last command, and a text
/// `violation`, which is empty while its oracle finds none. Returns the first violation with the commands
/// that lead to it, or nothing.
template <typename World, typename Make>
std::optional<std::string> RunWorlds(uint64_t seed, uint64_t steps, int max_length, Make make) {
  uint64_t done = 0;
  while (done < steps) {
    const uint64_t before = done;
    const uint64_t cases = std::clamp<uint64_t>((steps - done) / 50, 1, 2000);
    const auto property = [&] {
      const auto any = rc::gen::map(rc::gen::inRange<uint32_t>(0, 1U << 24),
                                    [](uint32_t bits) { return Step<World>{bits}; });
      const auto commands = *rc::gen::container<std::vector<Step<World>>>(any);
      World world = make();
      for (const auto& step : commands) {
        world.Apply(step.kind(), step.a(), step.b());
        if (!world.violation.empty()) RC_FAIL(world.violation);
      }
      done += commands.size() + 1;
      world.End();
      if (!world.violation.empty()) RC_FAIL(world.violation);
    };
    auto violation = CheckProperty(seed + before, cases, max_length, property);
    if (violation) return violation;
  }
  return std::nullopt;
}

}  // namespace cornelplank::fuzz
