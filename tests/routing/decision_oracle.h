#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "libs/routing/routing.h"
#include "tests/upstreams/upstream_oracle.h"

namespace cornelplank::routing {

/// A request with names instead of indices, for the oracle.
struct NamedRequest {
  std::string partner;
  std::string model;
  std::string rule;
  std::string home;
  std::set<std::string> tried;    // ids of the upstreams of earlier attempts
  std::set<std::string> visited;  // "region/zone"
  bool idempotent = true;
};

/// Checks decisions against the hard rules, by the configuration document and the reports that the node
/// received. It shares no code with the routers and works on names only.
class DecisionOracle {
 public:
  using Upstreams = std::map<std::string, upstreams::UpstreamOracle>;

  DecisionOracle(const config::Document& document, const Upstreams& state,
                 const std::map<std::string, std::set<std::string>>& models, const OwnNode& node,
                 const std::set<std::string>& unreachable)
      : document_(document), state_(state), models_(models), node_(node), unreachable_(unreachable) {}

  /// Returns the rule that a choice of the upstream `id` breaks, or an empty text.
  std::string CheckUpstream(const NamedRequest& request, const std::string& id, bool probe) const {
    const auto found = document_.upstreams.find(id);
    if (found == document_.upstreams.end()) return "not in the configuration: " + id;
    const config::Upstream& upstream = found->second;
    if (upstream.region != node_.region || upstream.zone != node_.zone) return "outside the own zone: " + id;
    if (const std::string broken = CheckRegion(request, upstream.region); !broken.empty()) return broken;
    if (request.visited.count(node_.region + "/" + node_.zone) > 0) return "loop: " + id;
    if (request.tried.count(id) > 0) return "tried before: " + id;
    if (models_.at(id).count(request.model) == 0) return "without the model: " + id;
    const upstreams::UpstreamOracle& state = state_.at(id);
    if (state.Leaving()) return "leaving: " + id;
    if (state.ejected && !(probe && request.idempotent)) return "ejected: " + id;
    return CheckOwner(request, upstream);
  }

  /// Returns the rule that a forward to the zone breaks, or an empty text.
  std::string CheckZone(const NamedRequest& request, const std::string& region,
                        const std::string& zone) const {
    const std::string name = region + "/" + zone;
    if (const std::string broken = CheckRegion(request, region); !broken.empty()) return broken;
    if (!request.visited.empty()) return "second hop to " + name;
    if (region == node_.region && zone == node_.zone) return "forward to the own zone";
    if (unreachable_.count(name) > 0) return "unreachable: " + name;
    const bool able =
        std::any_of(document_.upstreams.begin(), document_.upstreams.end(), [&](const auto& entry) {
          const config::Upstream& upstream = entry.second;
          return upstream.region == region && upstream.zone == zone &&
                 models_.at(entry.first).count(request.model) > 0 && !state_.at(entry.first).Leaving() &&
                 !state_.at(entry.first).ejected && CheckOwner(request, upstream).empty();
        });
    return able ? "" : "no upstream can serve in " + name;
  }

  /// True when an upstream of the own zone that belongs to the request's partner may serve the request.
  bool IsServableInOwnZone(const NamedRequest& request) const {
    return std::any_of(document_.upstreams.begin(), document_.upstreams.end(), [&](const auto& entry) {
      return entry.second.partner == request.partner && CheckUpstream(request, entry.first, false).empty();
    });
  }

 private:
  std::string CheckRegion(const NamedRequest& request, const std::string& region) const {
    if (node_.home_only && region != request.home) return "home-only: " + region;
    const auto rule = document_.residency.find(request.rule);
    if (rule == document_.residency.end()) return "residency rule is unknown";
    for (const std::string& allowed : rule->second.allow) {
      if (allowed == region || (allowed == "home" && region == request.home)) return "";
    }
    return "residency: " + region;
  }

  std::string CheckOwner(const NamedRequest& request, const config::Upstream& upstream) const {
    if (upstream.partner == request.partner) return "";
    const auto& lends = document_.partners.at(upstream.partner).lends;
    const auto share = lends.find(request.partner);
    const bool lent = share != lends.end() && share->second > 0 && !node_.home_only;
    return lent ? "" : "not lent by " + upstream.partner;
  }

  const config::Document& document_;
  const Upstreams& state_;
  const std::map<std::string, std::set<std::string>>& models_;
  const OwnNode& node_;
  const std::set<std::string>& unreachable_;
};

}  // namespace cornelplank::routing
