#include "libs/serving/internal/routing_config.h"

#include <algorithm>

namespace cornelplank::serving {

bool Route::AllowsRegion(std::string_view region) const {
  return home_regions.empty() ||
         std::find(home_regions.begin(), home_regions.end(), region) != home_regions.end();
}

const std::string& Route::ServiceFor(uint64_t hash) const {
  static const std::string kNone;
  double total = 0;
  for (const WeightedService& entry : services) total += entry.weight;
  if (total <= 0) return kNone;
  double point = static_cast<double>(hash >> 11) * 0x1.0p-53 * total;
  for (const WeightedService& entry : services) {
    point -= entry.weight;
    if (point < 0) return entry.service;
  }
  return services.back().service;
}

const Route* RoutingConfig::Match(std::string_view host, std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != host || !path.starts_with(route.path_prefix)) continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) best = &route;
  }
  return best;
}

size_t RoutingConfig::RoutesAllowed(std::string_view host, std::string_view region) const {
  return static_cast<size_t>(std::count_if(routes.begin(), routes.end(), [&](const Route& route) {
    return route.host == host && route.AllowsRegion(region);
  }));
}

const Service* RoutingConfig::FindService(std::string_view name) const {
  const auto entry = services.find(name);
  return entry == services.end() ? nullptr : &entry->second;
}

}  // namespace cornelplank::serving
