#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelplank::serving {

/// What may be repeated of a request.
enum class RequestKind {
  kIdempotent,  // may run any number of times
  kAtMostOnce,  // must not run a second time
  kStream,      // a series of events; repeated only where the route is resumable
};

/// A service that a route may send to, with its share of the route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

struct RouteConfig {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  RequestKind kind = RequestKind::kAtMostOnce;
  std::chrono::milliseconds timeout{0};         // longest time to the end of the answer
  std::chrono::milliseconds target_latency{0};  // full value within this; to the first event for streams
  std::chrono::milliseconds target_gap{0};      // longest pause between two events that is still on time
  int priority = 0;                             // 0 is the most urgent
  uint32_t attempts = 1;                        // greatest number of replicas that a request is sent to
  bool resumable = false;
  std::vector<std::string> home_regions;  // empty: any region
  std::vector<WeightedService> services;

  bool Repeatable() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStream && resumable);
  }
  bool AllowsRegion(std::string_view region) const;
  /// The service for a request, drawn by `hash` in proportion to the weights; empty when there is none.
  const std::string& PickService(uint64_t hash) const;
};

/// What is configured of a service's model engines.
struct ModelEngineConfig {
  uint32_t slots = 0;          // requests that run at once
  uint64_t memory_tokens = 0;  // KV cache of one replica
};

struct ServiceConfig {
  std::string name;
  std::string health_path;
  uint32_t connection_limit = 0;  // per replica, of all callers together
  std::chrono::milliseconds cold_start{0};
  double cold_requests_per_second = 0;      // what a cold replica bears
  std::optional<ModelEngineConfig> engine;  // nothing for a plain service
};

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
  std::map<std::string, ServiceConfig, std::less<>> services;
  ClientLimits limits;

  /// The route of that host whose prefix is the longest that begins `path`; null when there is none.
  const RouteConfig* FindRoute(std::string_view host, std::string_view path) const;
  /// Number of the host's routes whose data may be processed in `region`.
  size_t CountAllowedRoutes(std::string_view host, std::string_view region) const;
  const ServiceConfig* FindService(std::string_view name) const;
};

}  // namespace cornelplank::serving
