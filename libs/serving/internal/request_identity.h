#pragma once

#include <string_view>

#include "libs/serving/internal/routing_config.h"

namespace cornelplank::serving {

/// Whom a request belongs to by one version of the configuration.
struct RequestIdentity {
  bool allowed = true;                      // needs no key, or has that of a tenant
  const tenancy::Tenant* tenant = nullptr;  // null: of no tenant; belongs to the configuration
};

/// The identity of a client's request with `key`, which is empty when the request has none.
RequestIdentity IdentifyByKey(const RoutingConfig& config, const RouteConfig& route, std::string_view key);

/// The identity of a request that another entry VM has forwarded, after it has checked the key. `tenant`: the
/// name that it states; empty when it states none. Not allowed when this configuration doesn't know the
/// tenant, or when the request has none but needs a key by this configuration.
RequestIdentity IdentifyByName(const RoutingConfig& config, const RouteConfig& route,
                               std::string_view tenant);

}  // namespace cornelplank::serving
