#include <algorithm>

#include "libs/serving/internal/proxied_request.h"

namespace cornelplank::serving {
namespace {

// VMs of the own region that one request is forwarded to at most, one after the other.
constexpr size_t kMaxOwnRegionHops = 3;

}  // namespace

std::optional<Placement> Placer::PlaceInOwnRegion(const PlacementQuery& query,
                                                  const ReplicaRegistry& registry,
                                                  base::TimePoint now) const {
  const auto& tried = query.excluded_regions;
  if (std::find(tried.begin(), tried.end(), own_region_) != tried.end()) return std::nullopt;
  const auto& replicas = registry.replicas();
  const bool served = std::any_of(replicas.begin(), replicas.end(), [&](const auto& entry) {
    return Serves(*entry.second, query.service, query.software) &&
           SendGate::CheckStanding(*entry.second, registry, now).allowed();
  });
  if (!served) return std::nullopt;
  Placement placement;
  placement.region = own_region_;
  return placement;
}

std::optional<net::Tcp::endpoint> ProxiedRequest::PickHopTarget(const std::string& region) {
  if (region != deps_.placer.own_region()) return deps_.hops.PickVm(region);
  const auto vm = deps_.hops.PickOwnRegionVm(tried_vms_);
  if (vm) ++proxy_.counters_.own_region_hops;
  return vm;
}

void ProxiedRequest::OnHopFailed(const std::string& region, const net::Tcp::endpoint& vm) {
  tried_vms_.push_back(vm);
  const bool own = region == deps_.placer.own_region();
  if (!own || tried_vms_.size() >= kMaxOwnRegionHops) tried_regions_.push_back(region);
}

}  // namespace cornelplank::serving
