#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "libs/upstreams/upstreams.h"

namespace cornelplank::routing {

/// Number of forwards between entry VMs that a request may take before it reaches its upstream.
inline constexpr size_t kMaxHops = 1;

/// The zones that have forwarded a request, in order. A path can't have more than `kMaxHops` zones, so a
/// chain of forwards always ends.
class HopPath {
 public:
  using Index = upstreams::Index;

  /// The path of a request that comes from a client.
  HopPath() = default;

  /// Returns a path that allows no further forward, only an upstream of the own zone. The owner VM of a
  /// ticket uses it, because it must not forward the call.
  static HopPath Exhausted() {
    HopPath route;
    route.zones_.fill(upstreams::kNone);
    route.hops_ = kMaxHops;
    return route;
  }

  /// Returns the path for the zones in a peer's message, or no value when there are more than `kMaxHops`.
  template <typename Zones>
  static std::optional<HopPath> FromZones(const Zones& zones) {
    HopPath route;
    for (const Index zone : zones) {
      const auto longer = route.Extend(zone);
      if (!longer) return std::nullopt;
      route = *longer;
    }
    return route;
  }

  /// Returns the number of forwards so far.
  size_t Hops() const { return hops_; }
  Index Zone(size_t hop) const { return zones_[hop]; }
  bool HasVisited(Index zone) const {
    for (size_t i = 0; i < hops_; ++i) {
      if (zones_[i] == zone) return true;
    }
    return false;
  }
  bool MayForward() const { return hops_ < kMaxHops; }

  /// Returns the path that a forward from `zone` carries, or no value when no further forward is allowed.
  std::optional<HopPath> Extend(Index zone) const {
    if (!MayForward()) return std::nullopt;
    HopPath longer = *this;
    longer.zones_[longer.hops_++] = zone;
    return longer;
  }

 private:
  std::array<Index, kMaxHops> zones_{};
  uint8_t hops_ = 0;
};

}  // namespace cornelplank::routing
