#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/config.h"

namespace cornelplank::upstreams {

/// Position of a name in one of the lists of a `Topology`. `kNone` means unknown.
using Index = uint16_t;
inline constexpr Index kNone = 0xffff;

/// Models and regions are kept as bits of one word. Further ones get no index and are never routed to.
inline constexpr size_t kMaxModels = 64;
inline constexpr size_t kMaxRegions = 64;

struct ZoneName {
  std::string region;
  std::string zone;
  Index region_index = kNone;
};

/// The names of one configuration in a fixed order. Lookups are linear and meant for the edge of a request,
/// where names are read from a message; they allocate nothing.
class Topology {
 public:
  static Topology FromDocument(const config::Document& document);

  Index Region(std::string_view name) const { return Find(regions_, name); }
  Index Partner(std::string_view name) const { return Find(partners_, name); }
  Index Model(std::string_view name) const { return Find(models_, name); }
  Index Service(std::string_view name) const { return Find(services_, name); }
  Index Residency(std::string_view rule) const { return Find(residency_, rule); }
  Index Zone(std::string_view region, std::string_view zone) const;

  /// Equal for equal lists of names, so that indices of one topology are valid in the other.
  uint64_t Identity() const { return identity_; }

  const std::vector<std::string>& Regions() const { return regions_; }
  const std::vector<std::string>& Partners() const { return partners_; }
  const std::vector<std::string>& Models() const { return models_; }
  const std::vector<std::string>& Services() const { return services_; }
  const std::vector<std::string>& ResidencyRules() const { return residency_; }
  const std::vector<ZoneName>& Zones() const { return zones_; }
  Index ZoneCount() const { return static_cast<Index>(zones_.size()); }

 private:
  void SetIdentity();
  static Index Find(const std::vector<std::string>& names, std::string_view name);

  std::vector<std::string> regions_;
  std::vector<std::string> partners_;
  std::vector<std::string> models_;
  std::vector<std::string> services_;
  std::vector<std::string> residency_;
  std::vector<ZoneName> zones_;
  uint64_t identity_ = 0;
};

}  // namespace cornelplank::upstreams
