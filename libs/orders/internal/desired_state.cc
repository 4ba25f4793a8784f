#include "libs/orders/internal/desired_state.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::orders {
namespace {

bool IsEngineInZone(const config::Upstream& upstream, std::string_view zone) {
  return upstream.kind == config::UpstreamKind::kEngine && upstream.zone == zone && !upstream.leaving;
}

}  // namespace

DesiredState ComputeDesiredState(const config::Document& document, std::string_view zone,
                                 const std::set<std::string>& live_engines) {
  DesiredState desired;
  for (const auto& [id, upstream] : document.upstreams) {
    if (!IsEngineInZone(upstream, zone)) continue;
    EngineModels& models = desired[id];
    for (const std::string& name : upstream.models) {
      const auto model = document.models.find(name);
      if (model != document.models.end()) models[name] = model->second.version;
    }
  }
  for (const auto& [name, model] : document.models) {
    int replicas = 0;
    std::vector<std::pair<uint64_t, std::string>> candidates;
    for (const auto& [id, models] : desired) {
      if (!live_engines.contains(id)) continue;
      if (models.contains(name)) {
        ++replicas;
      } else if (document.upstreams.at(id).partner == model.partner) {
        candidates.emplace_back(base::RendezvousWeight(name, id), id);
      }
    }
    std::sort(candidates.rbegin(), candidates.rend());
    for (const auto& [weight, id] : candidates) {
      if (replicas >= model.min_replicas_per_zone) break;
      desired[id][name] = model.version;
      ++replicas;
    }
  }
  return desired;
}

}  // namespace cornelplank::orders
