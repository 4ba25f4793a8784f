#include "libs/admission/internal/admission_config.h"

#include <algorithm>

namespace cornelplank::admission {

std::string PoolName(const config::Upstream& upstream) {
  const bool engine = upstream.kind == config::UpstreamKind::kEngine;
  return upstream.partner + "/" + (engine ? "engine" : upstream.service);
}

AdmissionConfig AdmissionConfigFromDocument(const config::Document& document, const std::string& zone) {
  AdmissionConfig result;
  for (const auto& [name, partner] : document.partners) {
    PartnerConfig& target = result.partners[name];
    target.lends = partner.lends;
    for (const auto& [class_name, source] : partner.classes) {
      target.classes[class_name] =
          ClassConfig{source.priority, source.guaranteed, static_cast<size_t>(std::max(0, source.max_queue)),
                      source.may_wait};
    }
  }
  for (const auto& [id, upstream] : document.upstreams) {
    if (upstream.zone != zone || upstream.leaving) continue;
    PoolConfig& pool = result.pools[PoolName(upstream)];
    pool.owner = upstream.partner;
    pool.zone_slots += upstream.slots;
  }
  return result;
}

}  // namespace cornelplank::admission
