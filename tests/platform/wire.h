#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libs/net/net.h"
#include "libs/serving/serving.h"

/// The platform's words, for tests that act as its clients, replicas and operator.
namespace cornelplank::testing::wire {

inline constexpr char kRequestId[] = "Attempt-Id";
inline constexpr char kTimeLeft[] = "Deadline-Ms";
inline constexpr char kSignature[] = "Response-Signature";
inline constexpr char kNotRun[] = "Not-Executed";
inline constexpr char kExpectedReplica[] = "Expected-Instance";
inline constexpr char kRateLimit[] = "Server-Limit";
inline constexpr char kLeaving[] = "Server-Leaving";
inline constexpr char kRetryAfter[] = "Retry-After";
inline constexpr char kLastEvent[] = "Last-Event-Id";
inline constexpr char kConfigKey[] = "op/config";

inline std::string ReplicaKey(const std::string& id) { return "servers/" + id; }
inline std::string EvacuationKey(const std::string& zone) { return "op/evacuate/" + zone; }

inline std::string EndpointText(const net::Tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// The store's item of a configuration.
inline std::string EncodeConfig(const serving::RoutingConfig& config) {
  nlohmann::json json;
  json["version"] = config.version;
  for (const serving::RouteConfig& route : config.routes) {
    nlohmann::json item;
    item["name"] = route.name;
    item["host"] = route.host;
    item["path_prefix"] = route.path_prefix;
    item["kind"] = route.kind == serving::RequestKind::kIdempotent   ? "safe"
                   : route.kind == serving::RequestKind::kAtMostOnce ? "unsafe"
                                                                     : "streaming";
    item["timeout_ms"] = route.timeout.count();
    item["target_latency_ms"] = route.target_latency.count();
    item["target_gap_ms"] = route.target_gap.count();
    item["priority"] = route.priority;
    item["attempts"] = route.attempts;
    item["resumable"] = route.resumable;
    item["service"] = route.services.front().service;
    if (!route.home_regions.empty()) item["home_regions"] = route.home_regions;
    json["routes"].push_back(item);
  }
  for (const auto& [name, service] : config.services) {
    json["services"].push_back({{"name", name},
                                {"health_path", service.health_path},
                                {"connection_limit", service.connection_limit},
                                {"cold_start_s", 0},
                                {"cold_per_s", 0}});
  }
  json["limits"] = {{"header_bytes", config.limits.header_bytes},
                    {"body_bytes", config.limits.body_bytes},
                    {"header_timeout_ms", config.limits.header_timeout.count()},
                    {"idle_timeout_ms", config.limits.idle_timeout.count()}};
  return json.dump();
}

/// The store's item of a replica that started at `born`, in milliseconds since 1970.
inline std::string EncodeReplica(const std::string& service, const net::Tcp::endpoint& address,
                                 const std::string& zone, int slots, bool draining, uint64_t born) {
  const nlohmann::json json = {{"service", service},
                               {"address", EndpointText(address)},
                               {"zone", zone},
                               {"version", "v1"},
                               {"slots", slots},
                               {"state", draining ? "draining" : "ready"},
                               {"cold_remaining_ms", 0},
                               {"sequence", 1},
                               {"born", born}};
  return json.dump();
}

/// A client's question which VMs serve `host`.
inline std::string DirectoryRequest(const std::string& host, const std::string& region,
                                    const std::string& zone) {
  return "GET /resolve?name=" + host + "&region=" + region + "&zone=" + zone +
         " HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n";
}

/// The addresses of the directory's answer; empty when it names none.
inline std::vector<net::Tcp::endpoint> DecodeAddresses(const std::string& body) {
  std::vector<net::Tcp::endpoint> endpoints;
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("addresses")) return endpoints;
  for (const auto& address : json["addresses"]) {
    if (!address.is_string()) continue;
    if (const auto endpoint = net::ParseEndpoint(address.get<std::string>())) endpoints.push_back(*endpoint);
  }
  return endpoints;
}

}  // namespace cornelplank::testing::wire
