#pragma once

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "libs/config/config.h"

namespace cornelplank::config {

/// A small valid document of two partners that leaves out optional fields where their defaults suit it.
inline nlohmann::json ExampleJson() {
  return nlohmann::json::parse(R"({
    "format": 1,
    "regions": {"ost": {"partner": "gave", "zones": ["ost-1", "ost-2"]},
                "kochi": {"partner": "leak", "zones": ["kochi-1"]}},
    "links": [{"a": "ost", "b": "kochi", "mbit_s": 140, "one_way_ms": 80}],
    "partners": {"gave": {"objective": "cost", "lends": {"leak": 0.2},
                          "classes": {"desk": {"deadline_ms": 20000, "guaranteed": 0.6, "max_queue": 50},
                                      "tax": {"deadline_ms": 9000, "guaranteed": 0.4}}},
                 "leak": {"objective": "latency", "away_penalty": 2.5,
                          "classes": {"caller": {"deadline_ms": 5000, "priority": 0, "hedge": true}}}},
    "residency": {"gave-home": {"partner": "gave", "allow": ["home"]},
                  "leak-any": {"partner": "leak", "allow": ["home", "kochi", "ost"]}},
    "services": {"ledger": {"partner": "gave", "idempotent_methods": ["GET"]}},
    "models": {"letter": {"partner": "gave", "version": "1", "size_gb": 8},
               "trace": {"partner": "leak", "version": "3", "size_gb": 10, "min_replicas_per_zone": 1}},
    "upstreams": {"e1": {"partner": "gave", "region": "ost", "zone": "ost-1", "address": "127.0.0.1:1",
                         "kind": "engine", "slots": 4, "models": ["letter", "trace"]},
                  "e2": {"partner": "leak", "region": "kochi", "zone": "kochi-1", "address": "127.0.0.1:2",
                         "kind": "engine", "models": ["trace"], "price": 0.5},
                  "l1": {"partner": "gave", "region": "ost", "zone": "ost-2", "address": "127.0.0.1:3",
                         "kind": "service", "service": "ledger"}}})");
}

inline Document ExampleDocument() { return ParseDocument(ExampleJson().dump(), nullptr).value(); }

/// The example document at seq 7 and version 3.
inline Snapshot ExampleSnapshot() { return {{7, 3, std::string(32, '0')}, ExampleDocument()}; }

inline LogEntry MakeEntry(uint64_t seq, uint64_t base, std::string author, const nlohmann::json& patch) {
  return {seq, base, std::move(author), patch.dump()};
}

/// A patch that replaces the value at `path`.
inline nlohmann::json ReplacePatch(const std::string& path, nlohmann::json value) {
  return nlohmann::json::array({{{"op", "replace"}, {"path", path}, {"value", std::move(value)}}});
}
/// A patch that removes the value at `path`.
inline nlohmann::json RemovePatch(const std::string& path) {
  return nlohmann::json::array({{{"op", "remove"}, {"path", path}}});
}

}  // namespace cornelplank::config
