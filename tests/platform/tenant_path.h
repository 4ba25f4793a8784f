#pragma once

#include <string>
#include <utility>
#include <vector>

#include "tests/platform/proxy_path.h"

namespace cornelplank::testing {

inline tenancy::TenantConfig MakeTenant(const std::string& name, std::vector<std::string> keys) {
  tenancy::TenantConfig config;
  config.tenant.name = name;
  config.keys = std::move(keys);
  return config;
}

/// A path with tenants. The route /safe/ needs no key.
struct TenantPath : ProxyPath {
  using Tenants = std::vector<tenancy::TenantConfig>;

  static constexpr std::chrono::milliseconds kTime{60};  // ample for a request on loopback

  static void SetTenants(ProxyVm& vm, const Tenants& tenants) {
    ChangeConfig(vm, [&](serving::RoutingConfig& config) {
      config.tenants = tenancy::TenantDirectory::Create(tenants);
      for (serving::RouteConfig& route : config.routes) route.open_to_all = route.path_prefix == "/safe/";
    });
  }
  void SetTenantsEverywhere(const Tenants& tenants) {
    SetTenants(*entry, tenants);
    for (const auto& vm : remote) SetTenants(*vm, tenants);
  }

  /// The complete response of a replica to the request 77.
  static std::string Answer(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::string SendKey(const std::string& path, const std::string& headers) {
    return Send(path, "77", kTime, "hi", headers);
  }
  static std::string Status(const std::string& response) {
    return response.size() < 12 ? "" : response.substr(9, 3);
  }
  static bool Has(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  }
};

}  // namespace cornelplank::testing
