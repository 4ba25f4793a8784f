#include "libs/routing/internal/routing_snapshot.h"

#include <algorithm>

namespace cornelplank::routing {
namespace {

// One-way network time between zones of one region, which the configuration doesn't give.
constexpr std::chrono::milliseconds kZoneOneWayTime{1};

}  // namespace

std::unique_ptr<const RoutingSnapshot> RoutingSnapshot::Build(
    const config::Document& document, std::shared_ptr<const upstreams::UpstreamSnapshot> replicas,
    const OwnNode& node, std::shared_ptr<LinkBudget> links) {
  auto snapshot = std::make_unique<RoutingSnapshot>();
  snapshot->upstreams_ = std::move(replicas);
  snapshot->node_ = node;
  snapshot->links_ = std::move(links);
  snapshot->own_zone_ = snapshot->Names().Zone(node.region, node.zone);
  snapshot->own_region_ = snapshot->Names().Region(node.region);
  if (snapshot->own_zone_ == kNone || snapshot->own_region_ == kNone) return nullptr;
  for (const std::string& rule : snapshot->Names().ResidencyRules()) {
    snapshot->residency_.push_back(ToResidencyMask(document.residency.at(rule), snapshot->Names()));
  }
  snapshot->SetPolicies(document);
  snapshot->SetOneWayTimes(document);
  snapshot->SetCapacities();
  return snapshot;
}

void RoutingSnapshot::SetPolicies(const config::Document& document) {
  for (const std::string& name : Names().Partners()) {
    const config::Partner& partner = document.partners.at(name);
    PartnerPolicy policy{partner.objective, partner.away_penalty,
                         std::vector<double>(Names().Partners().size(), 0.0)};
    for (const auto& [borrower, share] : partner.lends) {
      const Index index = Names().Partner(borrower);
      if (index != kNone) policy.lends[index] = share;
    }
    partners_.push_back(std::move(policy));
  }
}

void RoutingSnapshot::SetOneWayTimes(const config::Document& document) {
  const size_t regions = Names().Regions().size();
  std::vector<std::optional<base::Duration>> to_region(regions);
  std::vector<double> rates(regions, 0.0);
  for (const config::Link& link : document.links) {
    if (link.a != node_.region && link.b != node_.region) continue;
    const Index other = Names().Region(link.a == node_.region ? link.b : link.a);
    if (other == kNone || other == own_region_) continue;
    to_region[other] = base::Duration{link.one_way};
    rates[other] = link.mbit_s;
  }
  for (size_t region = 0; region < regions; ++region) {
    if (region != own_region_) links_->Configure(region, rates[region], node_.nodes_in_region);
  }
  for (Index zone = 0; zone < Names().ZoneCount(); ++zone) {
    if (zone == own_zone_) {
      one_way_times_.emplace_back(base::Duration{0});
    } else if (Region(zone) == own_region_) {
      one_way_times_.emplace_back(base::Duration{kZoneOneWayTime});
    } else {
      one_way_times_.push_back(to_region[Region(zone)]);
    }
  }
}

size_t RoutingSnapshot::CapacityPosition(Index zone, size_t target, Index owner) const {
  const size_t targets = Names().Models().size() + Names().Services().size();
  return (zone * targets + target) * Names().Partners().size() + owner;
}

void RoutingSnapshot::SetCapacities() {
  const size_t models = Names().Models().size();
  capacities_.resize(CapacityPosition(Names().ZoneCount(), 0, 0));
  for (const upstreams::ReplicaRecord& replica : upstreams_->Replicas()) {
    if (replica.partner == kNone) continue;
    const auto add = [&](size_t target) {
      ZoneCapacity& capacity = capacities_[CapacityPosition(replica.zone, target, replica.partner)];
      capacity.price = (capacity.price * capacity.slots + replica.price * replica.slots) /
                       (capacity.slots + replica.slots);
      capacity.slots += replica.slots;
    };
    if (replica.service != kNone) {
      add(models + replica.service);
      continue;
    }
    for (size_t model = 0; model < models; ++model) {
      if ((replica.live->ModelMask() >> model & 1U) != 0) add(model);
    }
  }
}

const ZoneCapacity& RoutingSnapshot::Capacity(Index zone, Index model, Index service, Index owner) const {
  const size_t models = Names().Models().size();
  const bool known = service != kNone ? service < Names().Services().size() : model < models;
  if (!known || owner >= partners_.size()) return no_capacity_;
  return capacities_[CapacityPosition(zone, service != kNone ? models + service : model, owner)];
}

RouteRequest RoutingSnapshot::Resolve(const RequestNames& names) const {
  RouteRequest request;
  request.topology = Names().Identity();
  request.partner = Names().Partner(names.partner);
  request.model = names.model.empty() ? kNone : Names().Model(names.model);
  request.service = names.service.empty() ? kNone : Names().Service(names.service);
  request.residency = Names().Residency(names.residency);
  request.home = names.home.empty() ? kNone : Names().Region(names.home);
  return request;
}

RegionMask RoutingSnapshot::AllowedByResidency(const RouteRequest& request) const {
  if (request.residency >= residency_.size()) return 0;
  return residency_[request.residency].Allowed(request.home);
}

RegionMask RoutingSnapshot::Allowed(const RouteRequest& request) const {
  const RegionMask allowed = AllowedByResidency(request);
  return HomeOnly() ? allowed & RegionBit(request.home) : allowed;
}

const PartnerPolicy* RoutingSnapshot::Policy(Index partner) const {
  return partner < partners_.size() ? &partners_[partner] : nullptr;
}

double RoutingSnapshot::LentShare(Index owner, Index borrower) const {
  if (owner >= partners_.size() || borrower >= partners_.size()) return 0;
  if (owner == borrower) return 1;
  return HomeOnly() ? 0 : partners_[owner].lends[borrower];
}

std::optional<base::Duration> RoutingSnapshot::OneWayTime(Index zone) const { return one_way_times_[zone]; }

std::optional<InFlightForward> RoutingSnapshot::BeginForward(const RouteRequest& request, Index zone) const {
  const auto& zone_state = upstreams_->ZoneState(zone);
  if (!zone_state->Reachable()) return std::nullopt;
  return InFlightForward(zone_state, NeedsLink(zone) ? links_ : nullptr, Region(zone), request);
}

InFlightForward::InFlightForward(std::shared_ptr<upstreams::ZoneLiveState> zone,
                                 std::shared_ptr<LinkBudget> links, Index region, const RouteRequest& request)
    : zone_(std::move(zone)),
      links_(std::move(links)),
      region_(region),
      request_bytes_(request.request_bytes),
      response_bytes_(request.response_bytes) {
  zone_->BeginForward();
  if (links_) links_->Take(region_, request_bytes_, response_bytes_, request.now);
}

InFlightForward::~InFlightForward() {
  if (zone_) zone_->EndForward();
}

void InFlightForward::Finish(uint64_t received_bytes, base::TimePoint now) {
  if (links_) links_->CorrectResponse(region_, response_bytes_, received_bytes, now);
  links_ = nullptr;
}

void InFlightForward::Cancel() {
  if (links_) links_->Cancel(region_, request_bytes_, response_bytes_);
  links_ = nullptr;
}

}  // namespace cornelplank::routing
