#include "libs/serving/internal/routing_config.h"

#include <algorithm>

namespace cornelplank::serving {

bool RouteConfig::AllowsRegion(std::string_view region) const {
  return home_regions.empty() ||
         std::find(home_regions.begin(), home_regions.end(), region) != home_regions.end();
}

bool RouteConfig::Offers(std::string_view service) const {
  return std::any_of(services.begin(), services.end(), [&](const WeightedService& entry) {
    return entry.service == service && entry.weight > 0;
  });
}

const std::string& RouteConfig::PickService(uint64_t hash) const {
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

const RouteConfig* RoutingConfig::FindRoute(std::string_view host, std::string_view path) const {
  const RouteConfig* best = nullptr;
  for (const RouteConfig& route : routes) {
    if (route.host != host || !path.starts_with(route.path_prefix)) continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) best = &route;
  }
  return best;
}

size_t RoutingConfig::CountAllowedRoutes(std::string_view host, std::string_view region) const {
  return static_cast<size_t>(std::count_if(routes.begin(), routes.end(), [&](const RouteConfig& route) {
    return route.host == host && route.AllowsRegion(region);
  }));
}

bool RoutingConfig::AllowsEntry(std::string_view host, std::string_view region) const {
  bool restricted = false;
  for (const RouteConfig& route : routes) {
    if (route.host != host || route.home_regions.empty()) continue;
    if (route.AllowsRegion(region)) return true;
    restricted = true;
  }
  return !restricted;
}

const ServiceConfig* RoutingConfig::FindService(std::string_view name) const {
  const auto entry = services.find(name);
  return entry == services.end() ? nullptr : &entry->second;
}

}  // namespace cornelplank::serving
