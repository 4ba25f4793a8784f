#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/tenancy/tenancy.h"

namespace cornelplank::serving {

/// How often a request may run.
enum class RequestKind {
  kIdempotent,  // any number of times
  kAtMostOnce,  // at most once
  kStream,      // the response is a stream of events; runs again only where the route is resumable
};

/// A service that a route may send requests to, with its share of them.
struct WeightedService {
  std::string service;
  double weight = 1;  // relative to the weights of the route's other services
};

/// How requests with a given host and path prefix are served.
struct RouteConfig {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  RequestKind kind = RequestKind::kAtMostOnce;
  std::chrono::milliseconds timeout{0};  // from the request to the end of the response; 0: a default
  // A response has its full value when it arrives within this time; of a stream, the first event.
  std::chrono::milliseconds target_latency{0};
  std::chrono::milliseconds target_gap{0};  // longest pause between two events that is still on time
  int priority = 0;                         // 0 is the most urgent
  uint32_t attempts = 1;                    // greatest number of replicas that a request is sent to
  bool resumable = false;                   // replicas can resume a stream after a given event
  bool open_to_all = false;                 // needs no key of a tenant
  std::vector<std::string> home_regions;    // where its data may be processed; empty: anywhere
  std::vector<WeightedService> services;

  /// Whether a request whose outcome is unknown may be sent again.
  bool Repeatable() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStream && resumable);
  }
  bool AllowsRegion(std::string_view region) const;
  /// Whether requests may be sent to the service.
  bool Offers(std::string_view service) const;
  /// Picks the service for a request by a hash of it, in proportion to the weights. Returns an empty name
  /// when the weights sum to 0.
  const std::string& PickService(uint64_t hash) const;
};

/// The model engines of a service, which are all alike.
struct ModelEngineConfig {
  uint32_t slots = 0;          // requests that run at once
  uint64_t memory_tokens = 0;  // capacity of the KV cache of one replica
  uint32_t stride = 1;         // tokens of one stream event
};

struct ServiceConfig {
  std::string name;
  std::string health_path;
  uint32_t connection_limit = 0;            // to one replica, for all callers together
  std::chrono::milliseconds cold_start{0};  // from the start of a replica until it has its full speed
  double cold_requests_per_second = 0;      // what a cold replica can take from all callers together
  std::optional<ModelEngineConfig> engine;  // set when its replicas are model engines
};

/// Limits for the connections of clients.
struct ClientLimits {
  uint32_t header_bytes = 16384;
  uint64_t body_bytes = 4 << 20;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// One version of the routing configuration. Immutable once built.
struct RoutingConfig {
  uint64_t version = 0;
  std::vector<RouteConfig> routes;
  std::map<std::string, ServiceConfig, std::less<>> services;  // by name
  ClientLimits limits;
  /// Null when the configuration has no tenants: no keys are asked for.
  std::shared_ptr<const tenancy::TenantDirectory> tenants;

  /// The route of `host` with the longest prefix of `path`; null when none matches.
  const RouteConfig* FindRoute(std::string_view host, std::string_view path) const;
  /// Number of routes of `host` whose data may be processed in `region`.
  size_t CountAllowedRoutes(std::string_view host, std::string_view region) const;
  /// Whether clients of `host` may be sent to VMs in `region`. False when the host has routes with home
  /// regions and none of these routes allows the region, as a VM there would receive data that it must not
  /// process.
  bool AllowsEntry(std::string_view host, std::string_view region) const;
  /// Returns null when no service has this name.
  const ServiceConfig* FindService(std::string_view name) const;
};

}  // namespace cornelplank::serving
