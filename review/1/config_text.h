#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace review {

/// A configuration of `routes` routes with names and paths that follow from `seed`. The route of "/moved/"
/// goes to `service`.
inline std::string ConfigText(int version, const std::string& service, int routes, uint64_t seed) {
  uint64_t state = seed * 0x9e3779b97f4a7c15 + 1;
  const auto next = [&state] {
    state = state * 6364136223846793005 + 1442695040888963407;
    return static_cast<unsigned>(state >> 33);
  };
  std::string text =
      "{\"version\":" + std::to_string(version) +
      ",\"routes\":[{\"name\":\"r-moved\",\"host\":\"ficu95.example\",\"path_prefix\":\"/moved/\","
      "\"kind\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":600,\"priority\":1,\"service\":\"" +
      service + "\",\"attempts\":1,\"sticky\":false,\"resumable\":false,\"home_regions\":[]}";
  for (int i = 1; i < routes; ++i) {
    const unsigned name = next() & 0xfffffff;
    const unsigned folder = next() % 1000;
    const unsigned timeout = 2000 + next() % 10000;
    char route[400];
    std::snprintf(
        route, sizeof route,
        ",{\"name\":\"r-%07x\",\"host\":\"ficu95.example\",\"path_prefix\":\"/pufi%03u/%03u/\",\"kind\":"
        "\"streaming\",\"timeout_ms\":%u,\"target_latency_ms\":600,\"priority\":1,\"service\":\"huvo11a\","
        "\"attempts\":1,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":300,\"home_regions\":[]}",
        name, folder, static_cast<unsigned>(i), timeout);
    text += route;
  }
  text += "],\"services\":[";
  for (const char* name : {"huvo11a", "wuno96b"}) {
    text += std::string(name[0] == 'h' ? "" : ",") + "{\"name\":\"" + name +
            "\",\"health_path\":\"/health\",\"connection_limit\":100,\"protocol\":\"h1\",\"tls\":false,"
            "\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
  }
  return text +
         "],\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000}}";
}

}  // namespace review
