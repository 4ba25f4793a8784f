#include "libs/upstreams/internal/topology.h"

#include "libs/base/base.h"

namespace cornelplank::upstreams {
namespace {

template <typename Map>
std::vector<std::string> Keys(const Map& map, size_t limit) {
  std::vector<std::string> keys;
  for (const auto& [name, value] : map) {
    if (keys.size() == limit) break;
    keys.push_back(name);
  }
  return keys;
}

}  // namespace

Topology Topology::FromDocument(const config::Document& document) {
  Topology topology;
  topology.regions_ = Keys(document.regions, kMaxRegions);
  topology.partners_ = Keys(document.partners, kNone);
  topology.models_ = Keys(document.models, kMaxModels);
  topology.services_ = Keys(document.services, kNone);
  topology.residency_ = Keys(document.residency, kNone);
  const auto region_count = static_cast<Index>(topology.regions_.size());
  for (Index region = 0; region < region_count; ++region) {
    const std::string& name = topology.regions_[region];
    for (const std::string& zone : document.regions.at(name).zones) {
      topology.zones_.push_back(ZoneName{name, zone, region});
    }
  }
  topology.SetIdentity();
  return topology;
}

void Topology::SetIdentity() {
  const auto add = [this](std::string_view name) { identity_ = base::Hash64(name, identity_ + 1); };
  for (const auto* names : {&regions_, &partners_, &models_, &services_, &residency_}) {
    for (const std::string& name : *names) add(name);
    add({});
  }
  for (const ZoneName& zone : zones_) {
    add(zone.region);
    add(zone.zone);
  }
}

Index Topology::Find(const std::vector<std::string>& names, std::string_view name) {
  for (size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return static_cast<Index>(i);
  }
  return kNone;
}

Index Topology::Zone(std::string_view region, std::string_view zone) const {
  for (size_t i = 0; i < zones_.size(); ++i) {
    if (zones_[i].zone == zone && zones_[i].region == region) return static_cast<Index>(i);
  }
  return kNone;
}

}  // namespace cornelplank::upstreams
