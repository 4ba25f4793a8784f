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

/// The place and mode of the deciding node.
struct OwnNode {
  std::string region;
  std::string zone;
  bool home_only = false;        // the configuration is unconfirmed, see docs/design.md
  uint32_t nodes_in_zone = 1;    // live entry VMs, this one included
  uint32_t nodes_in_region = 1;  // they share the region's links
};

/// Counts one own request at another zone while it lives, and the bytes that it takes of a link's budget.
class InFlightForward {
 public:
  InFlightForward(std::shared_ptr<upstreams::ZoneLiveState> zone, std::shared_ptr<LinkBudget> links,
                  Index region, const RouteRequest& request);
  InFlightForward(InFlightForward&& other) noexcept = default;
  InFlightForward& operator=(InFlightForward&&) = delete;
  ~InFlightForward();

  /// The response ended after `received_bytes`; corrects the estimate that was taken from the budget.
  void Finish(uint64_t received_bytes, base::TimePoint now);
  /// Nothing was sent; returns the bytes.
  void Cancel();

 private:
  std::shared_ptr<upstreams::ZoneLiveState> zone_;
  std::shared_ptr<LinkBudget> links_;  // null when the zone is in the own region
  Index region_;
  uint64_t request_bytes_;
  uint64_t response_bytes_;
};

struct PartnerPolicy {
  config::Objective objective = config::Objective::kCost;
  double away_penalty = 0;    // score units
  std::vector<double> lends;  // share lent to each partner, by partner index
};

/// What a zone offers of one model or service from one partner.
struct ZoneCapacity {
  uint32_t slots = 0;
  double price = 0;  // mean over the slots
};

/// Everything that a decision reads. It is immutable and published as a whole; the counters and loads next to
/// it (replica and zone cells, link budget) are atomics.
class RoutingSnapshot {
 public:
  /// Returns no value when the node's zone is not in the configuration. `links` is configured for the node's
  /// region and must outlive the world through the pointer.
  static std::unique_ptr<const RoutingSnapshot> Build(
      const config::Document& document, std::shared_ptr<const upstreams::UpstreamSnapshot> replicas,
      const OwnNode& node, std::shared_ptr<LinkBudget> links);

  const upstreams::UpstreamSnapshot& Replicas() const { return *replicas_; }
  const upstreams::Topology& Names() const { return replicas_->Names(); }
  const OwnNode& Node() const { return node_; }
  Index OwnZone() const { return own_zone_; }
  Index OwnRegion() const { return own_region_; }
  bool HomeOnly() const { return node_.home_only; }
  LinkBudget& Links() const { return *links_; }

  /// A request with its names replaced by indices. Unknown names give kNone, which the router refuses.
  RouteRequest Resolve(const RequestNames& names) const;

  /// Regions that may process the request by its residency rule, and in home-only mode only its home region.
  RegionMask Allowed(const RouteRequest& request) const;
  /// The same without home-only mode.
  RegionMask AllowedByResidency(const RouteRequest& request) const;

  /// Policy of a partner; null for an unknown one.
  const PartnerPolicy* Policy(Index partner) const;
  /// Share that `owner` lends to `borrower`; 1 for its own requests, 0 in home-only mode.
  double LentShare(Index owner, Index borrower) const;

  /// One-way time from the own zone to `zone`; no value when no link leads there.
  std::optional<base::Duration> OneWayTime(Index zone) const;
  bool NeedsLink(Index zone) const { return Region(zone) != own_region_; }
  Index Region(Index zone) const { return Names().Zones()[zone].region_index; }

  /// What `zone` offers of the request's model or service from `owner`.
  const ZoneCapacity& Capacity(Index zone, Index model, Index service, Index owner) const;

  /// Accounts a forward in the zone's counter and the link's budget. Returns no value, with nothing
  /// accounted, when the zone is not reachable any more.
  std::optional<InFlightForward> BeginForward(const RouteRequest& request, Index zone) const;

 private:
  void SetDistances(const config::Document& document);
  void SetOffers();
  void SetPolicies(const config::Document& document);
  size_t OfferPosition(Index zone, size_t target, Index owner) const;

  std::shared_ptr<const upstreams::UpstreamSnapshot> replicas_;
  OwnNode node_;
  Index own_zone_ = kNone;
  Index own_region_ = kNone;
  std::shared_ptr<LinkBudget> links_;
  std::vector<ResidencyMask> residency_;
  std::vector<PartnerPolicy> partners_;
  std::vector<std::optional<base::Duration>> distances_;  // by zone
  std::vector<ZoneCapacity> offers_;
  ZoneCapacity no_offer_;
};

}  // namespace cornelplank::routing
