#pragma once

#include <cstdint>

namespace cornelplank::base {

/// SplitMix64 pseudo-random generator. The same seed gives the same numbers on every platform. Not for
/// secrets.
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}

  uint64_t Next() {
    uint64_t value = (state_ += 0x9e3779b97f4a7c15ULL);
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
  }

  /// Uniform in [0, bound); 0 when bound is 0.
  uint64_t Below(uint64_t bound) {
    return bound == 0 ? 0 : static_cast<uint64_t>((static_cast<unsigned __int128>(Next()) * bound) >> 64);
  }

  /// Uniform in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

 private:
  uint64_t state_;
};

/// Returns 64 random bits from the operating system, for seeds, VM incarnations and secrets.
uint64_t EntropySeed();

}  // namespace cornelplank::base
