#pragma once

#include <memory>
#include <string>

#include "libs/routing/routing.h"

namespace cornelplank::routing {

inline std::string Numbered(std::string_view prefix, int number) {
  std::string name{prefix};
  name += std::to_string(number);
  return name;
}

/// Returns a document with `regions` regions r0.., each with `zones` zones z0.., each with `replicas` engines
/// "rR/zZ/eE" of `slots` slots. Every two regions have a link. The partners are p0 (objective latency), which
/// owns everything, and p1 (objective cost); the model is m0, the residency rules are "home" and "any".
inline config::Document MakeDocument(int regions, int zones, int replicas, int slots = 8) {
  config::Document document;
  document.partners["p0"] = {config::Objective::kLatency, 200, {}, {}};
  document.partners["p1"] = {config::Objective::kCost, 50, {}, {}};
  document.models["m0"] = {"p0", "1", 10, 1};
  document.residency["home"] = {"p0", {"home"}};
  document.residency["any"] = {"p0", {}};
  for (int r = 0; r < regions; ++r) {
    const std::string region = Numbered("r", r);
    document.regions[region].partner = "p0";
    document.residency["any"].allow.push_back(region);
    for (int other = 0; other < r; ++other) {
      document.links.push_back({Numbered("r", other), region, 2000, std::chrono::milliseconds{80}});
    }
    for (int z = 0; z < zones; ++z) {
      const std::string zone = Numbered("z", z);
      document.regions[region].zones.push_back(zone);
      std::string prefix = region;
      prefix.append("/").append(zone).append("/e");
      for (int e = 0; e < replicas; ++e) {
        config::Upstream upstream;
        upstream.partner = "p0";
        upstream.region = region;
        upstream.zone = zone;
        upstream.address = "127.0.0.1:1";
        upstream.slots = slots;
        upstream.price = 1;
        upstream.models = {"m0"};
        document.upstreams[Numbered(prefix, e)] = upstream;
      }
    }
  }
  return document;
}

/// An upstream table and the routing snapshot of one node, by default in r0/z0.
struct RoutingFixture {
  explicit RoutingFixture(config::Document initial, OwnNode view = {"r0", "z0"})
      : document(std::move(initial)), node(std::move(view)) {
    table.Configure(document, now);
    Rebuild();
  }

  void Rebuild() { snapshot = RoutingSnapshot::Build(document, table.TakeSnapshot(), node, links); }

  RouteRequest Request(std::string_view home = "r0", std::string_view rule = "any") const {
    RouteRequest request = snapshot->Resolve({"p0", "m0", "", rule, home});
    request.now = now;
    request.prompt_tokens = 100;
    return request;
  }

  upstreams::UpdateResult Report(const std::string& id, uint32_t running, uint32_t queued = 0,
                                 base::Duration age = base::Duration{0}) {
    return table.OnLoadReport({id, 1, upstreams::EngineState::kReady, running, queued, {"m0"}, age}, now);
  }

  base::TimePoint now{std::chrono::hours{1}};
  config::Document document;
  OwnNode node;
  std::shared_ptr<LinkBudget> links = std::make_shared<LinkBudget>(upstreams::kMaxRegions);
  upstreams::UpstreamTable table;
  std::unique_ptr<const RoutingSnapshot> snapshot;
};

}  // namespace cornelplank::routing
