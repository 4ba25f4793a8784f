#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tests/fuzz/fuzz_target.h"

namespace cornelplank::fuzz {

/// A random word from which a command and its arguments are taken, so that they shrink together.
class CommandWord {
 public:
  explicit CommandWord(uint32_t word) : word_(word) {}
  /// Takes the next number in [0, bound).
  int Take(uint32_t bound) {
    const auto value = static_cast<int>(word_ % bound);
    word_ /= bound;
    return value;
  }

 private:
  uint32_t word_;
};

/// Runs random sequences of commands, each on a new simulation from `make()`, until about `steps` commands
/// were run. A simulation has `Step(CommandWord)`, which runs one command, and `Finish()`; both return a
/// violation or nothing. Returns the violation found, nothing if there was none. Without `shrink` it is the
/// first one as it was found, not reduced to a short sequence; that is enough for a deliberate fault.
template <typename Make>
std::optional<std::string> RunCommands(uint64_t seed, uint64_t steps, bool shrink, Make make) {
  constexpr int kMaxLength = 400;
  uint64_t used = 0;
  std::optional<std::string> first;
  for (uint64_t round = 0; used < steps; ++round) {
    const auto violation = CheckProperty(seed + round * 1000003, 50, kMaxLength, [&] {
      // Words are drawn at full size, as only the length of the sequence should grow with the size.
      const auto word = rc::gen::resize(100, rc::gen::inRange<uint32_t>(0, 1U << 31));
      const auto words = *rc::gen::container<std::vector<uint32_t>>(word).as("commands");
      used += words.size();
      if (first && !shrink) return;
      auto simulation = make();
      std::optional<std::string> found;
      for (size_t i = 0; i < words.size() && !found; ++i) found = simulation.Step(CommandWord(words[i]));
      if (!found) found = simulation.Finish();
      if (!found) return;
      if (!first) first = found;
      RC_FAIL(*found);
    });
    if (violation) return shrink ? violation : first;
  }
  return std::nullopt;
}

}  // namespace cornelplank::fuzz
