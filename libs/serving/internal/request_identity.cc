#include "libs/serving/internal/request_identity.h"

namespace cornelplank::serving {

RequestIdentity IdentifyByKey(const RoutingConfig& config, const RouteConfig& route, std::string_view key) {
  if (!config.tenants) return {};
  const tenancy::Tenant* tenant = key.empty() ? nullptr : config.tenants->FindByKey(key);
  return {tenant != nullptr || route.open_to_all, tenant};
}

RequestIdentity IdentifyByName(const RoutingConfig& config, const RouteConfig& route,
                               std::string_view tenant) {
  if (tenant.empty()) return {!config.tenants || route.open_to_all, nullptr};
  const tenancy::Tenant* known = config.tenants ? config.tenants->FindByName(tenant) : nullptr;
  return {known != nullptr, known};
}

}  // namespace cornelplank::serving
