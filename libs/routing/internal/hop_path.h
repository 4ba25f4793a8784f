#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "libs/upstreams/upstreams.h"

namespace cornelplank::routing {

/// Forwards between entry VMs that a request may take before it reaches its upstream.
inline constexpr size_t kMaxHops = 1;

/// The zones that a request has been forwarded from, in order. There is no way to make one with more than
/// `kMaxHops` zones, so a chain of forwards always ends.
class HopPath {
 public:
  using Index = upstreams::Index;

  /// A request straight from a client.
  HopPath() = default;

  /// A route with no hop left: only an upstream of the own zone may follow. For the owner of a ticket, which
  /// must not hand the call on.
  static HopPath Exhausted() {
    HopPath route;
    route.zones_.fill(upstreams::kNone);
    route.hops_ = kMaxHops;
    return route;
  }

  /// A route read from a peer's message; no value when it has too many zones.
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

  size_t Hops() const { return hops_; }
  Index Zone(size_t hop) const { return zones_[hop]; }
  bool Visited(Index zone) const {
    for (size_t i = 0; i < hops_; ++i) {
      if (zones_[i] == zone) return true;
    }
    return false;
  }
  bool MayForward() const { return hops_ < kMaxHops; }

  /// The route that a forward from `zone` carries; no value when no further hop is allowed.
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
