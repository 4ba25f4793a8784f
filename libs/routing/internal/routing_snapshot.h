#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/config/config.h"
#include "libs/routing/internal/link_budget.h"
#include "libs/routing/internal/request.h"
#include "libs/routing/internal/residency.h"
#include "libs/upstreams/upstreams.h"

namespace cornelplank::routing {

/// Location and mode of the node that makes the decisions.
struct OwnNode {
  std::string region;
  std::string zone;
  bool home_only =
      false;  // requests stay in their home region, as the configuration is unconfirmed (docs/design.md)
  uint32_t nodes_in_zone = 1;    // live entry VMs of the zone, this one included
  uint32_t nodes_in_region = 1;  // live entry VMs of the region, which share its links
};

/// Counts one own request that was forwarded to another zone for as long as the object exists. Takes its
/// bytes from the budget of the link to the zone's region.
class InFlightForward {
 public:
  InFlightForward(std::shared_ptr<upstreams::ZoneLiveState> zone, std::shared_ptr<LinkBudget> links,
                  Index region, const RouteRequest& request);
  InFlightForward(InFlightForward&& other) noexcept = default;
  InFlightForward& operator=(InFlightForward&&) = delete;
  ~InFlightForward();

  /// Call when the response has ended after `received_bytes`; corrects the bytes taken for it in the budget.
  void Finish(uint64_t received_bytes, base::TimePoint now);
  /// Call when nothing was sent; returns the bytes to the budget.
  void Cancel();

 private:
  std::shared_ptr<upstreams::ZoneLiveState> zone_;
  std::shared_ptr<LinkBudget> links_;  // null when the zone is in the own region
  Index region_;
  uint64_t request_bytes_;
  uint64_t response_bytes_;
};

/// The settings of a partner that decisions depend on.
struct PartnerPolicy {
  config::Objective objective = config::Objective::kCost;
  double away_penalty = 0;    // score units for serving outside the home region
  std::vector<double> lends;  // share of the capacity lent to each partner, by partner index
};

/// The capacity of one zone for one model or service that belongs to one partner.
struct ZoneCapacity {
  uint32_t slots = 0;
  double price = 0;  // mean over the slots, in cost units per 1,000 tokens or per call
};

/// Everything that a routing decision reads: the upstreams, the policies and the own node. A snapshot is
/// immutable; a change is published as a new one. The counters and loads that it points to (live states of
/// replicas and zones, link budgets) are atomics and change at any time.
class RoutingSnapshot {
 public:
  /// Returns null when the node's zone is not in the configuration. Sets the bandwidths of `links` for the
  /// links of the node's region; the snapshot shares ownership of `links`.
  static std::unique_ptr<const RoutingSnapshot> Build(
      const config::Document& document, std::shared_ptr<const upstreams::UpstreamSnapshot> replicas,
      const OwnNode& node, std::shared_ptr<LinkBudget> links);

  const upstreams::UpstreamSnapshot& Upstreams() const { return *upstreams_; }
  const upstreams::Topology& Names() const { return upstreams_->Names(); }
  const OwnNode& Node() const { return node_; }
  Index OwnZone() const { return own_zone_; }
  Index OwnRegion() const { return own_region_; }
  bool HomeOnly() const { return node_.home_only; }
  LinkBudget& Links() const { return *links_; }

  /// Returns a request with its names replaced by indices. Unknown names become kNone, which the router
  /// refuses.
  RouteRequest Resolve(const RequestNames& names) const;

  /// Returns the regions that may process the request: those that its residency rule allows, in home-only
  /// mode only its home region. Empty for an unknown rule.
  RegionMask Allowed(const RouteRequest& request) const;
  /// Like `Allowed`, but ignores home-only mode.
  RegionMask AllowedByResidency(const RouteRequest& request) const;

  /// Returns the policy of a partner, or null for an unknown one.
  const PartnerPolicy* Policy(Index partner) const;
  /// Returns the share of its capacity that `owner` lends to `borrower`, from 0 to 1: 1 when they are the
  /// same partner; 0 for an unknown partner, and for other partners in home-only mode.
  double LentShare(Index owner, Index borrower) const;

  /// Returns the one-way network time from the own zone to `zone`, or no value when there is no link.
  std::optional<base::Duration> OneWayTime(Index zone) const;
  /// True when a forward to `zone` uses a link between regions.
  bool NeedsLink(Index zone) const { return Region(zone) != own_region_; }
  Index Region(Index zone) const { return Names().Zones()[zone].region_index; }

  /// Returns the capacity of `zone` for the service (if it isn't kNone) or model that belongs to `owner`;
  /// zero slots when there is none.
  const ZoneCapacity& Capacity(Index zone, Index model, Index service, Index owner) const;

  /// Counts a forward at the zone and takes its bytes from the link's budget. Returns no value, and counts
  /// nothing, when the zone has become unreachable.
  std::optional<InFlightForward> BeginForward(const RouteRequest& request, Index zone) const;

 private:
  void SetOneWayTimes(const config::Document& document);
  void SetCapacities();
  void SetPolicies(const config::Document& document);
  size_t CapacityPosition(Index zone, size_t target, Index owner) const;

  std::shared_ptr<const upstreams::UpstreamSnapshot> upstreams_;
  OwnNode node_;
  Index own_zone_ = kNone;
  Index own_region_ = kNone;
  std::shared_ptr<LinkBudget> links_;
  std::vector<ResidencyMask> residency_;
  std::vector<PartnerPolicy> partners_;
  std::vector<std::optional<base::Duration>> one_way_times_;  // by zone
  std::vector<ZoneCapacity> capacities_;
  ZoneCapacity no_capacity_;
};

}  // namespace cornelplank::routing
