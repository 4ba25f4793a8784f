#include <algorithm>

#include "libs/serving/internal/placement.h"

namespace cornelplank::serving {
namespace {

// Like that of cold replicas: another region takes the request unless it is far slower.
constexpr std::chrono::seconds kNewSoftwarePenalty{1};

}  // namespace

std::optional<base::Duration> Placer::NewSoftwarePenalty(const PlacementQuery& query,
                                                         const ServiceConfig& service,
                                                         const ReplicaRegistry& registry, SendGate& gate,
                                                         int priority, base::TimePoint now) const {
  const bool begins_stream = query.route->kind == RequestKind::kStream && !query.software;
  if (!begins_stream || now >= registry.software_history().settled_at()) return base::Duration::zero();
  bool known_elsewhere = false;
  for (const auto& [id, replica] : registry.replicas()) {
    if (replica->published.service != query.service || replica->HasNewSoftware(now)) continue;
    if (replica->IsEjected(now) || replica->unlisted_since) continue;
    if (replica->published.region != own_region_) {
      known_elsewhere |= SendGate::CheckStanding(*replica, registry, now).allowed();
      continue;
    }
    const auto& tried = query.excluded_replicas;
    if (std::find(tried.begin(), tried.end(), id) != tried.end()) continue;
    if (gate.Check(*replica, service, priority, query.may_borrow).allowed()) return std::nullopt;
  }
  return known_elsewhere ? kNewSoftwarePenalty : base::Duration::zero();
}

}  // namespace cornelplank::serving
