#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/config.h"

namespace cornelplank::upstreams {

/// Position of a name in one of the lists of a `Topology`. `kNone` stands for an unknown or missing name.
using Index = uint16_t;
inline constexpr Index kNone = 0xffff;

/// Largest numbers of models and regions, because sets of them are bits of a 64-bit word. Further ones get no
/// index and are never used.
inline constexpr size_t kMaxModels = 64;
inline constexpr size_t kMaxRegions = 64;

/// An availability zone with its region.
struct ZoneName {
  std::string region;
  std::string zone;
  Index region_index = kNone;
};

/// The names of one configuration, numbered in a fixed order. Lookups return kNone for an unknown name. They
/// are linear, allocate no memory, and are meant for the start of a request, where names are read from a
/// message.
class Topology {
 public:
  static Topology FromDocument(const config::Document& document);

  Index Region(std::string_view name) const { return Find(regions_, name); }
  Index Partner(std::string_view name) const { return Find(partners_, name); }
  Index Model(std::string_view name) const { return Find(models_, name); }
  Index Service(std::string_view name) const { return Find(services_, name); }
  Index Residency(std::string_view rule) const { return Find(residency_, rule); }
  Index Zone(std::string_view region, std::string_view zone) const;

  /// Returns a hash of all names in order. Indices of a topology are valid in another one with the same hash.
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
