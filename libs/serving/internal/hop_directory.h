#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/net/net.h"

namespace cornelplank::serving {

/// Another region that can serve a service, with the estimates that its entry VMs report.
struct RemoteRegion {
  std::string region;
  base::Duration wait{0};        // until a request gets a slot there, at one of the less loaded replicas
  base::Duration round_trip{0};  // between this VM and that region
};

/// The live entry VMs: those of other regions, to which requests can be forwarded (hops), and those of the
/// own region, to which requests are forwarded while this VM has no links to replicas.
class HopDirectory {
 public:
  virtual ~HopDirectory() = default;

  /// The other regions that have a live VM and a usable replica of `service`.
  virtual std::vector<RemoteRegion> RemoteRegions(const std::string& service) const = 0;
  /// Picks a live VM of `region` to forward a request to; returns no value when there is none.
  virtual std::optional<net::Tcp::endpoint> PickVm(const std::string& region) = 0;
  /// Whether another live VM of the own region has links to replicas.
  virtual bool OwnRegionHasLinks() const { return false; }
  /// Picks such a VM that is not in `tried`, to forward a request to; returns no value when there is none.
  virtual std::optional<net::Tcp::endpoint> PickOwnRegionVm(
      const std::vector<net::Tcp::endpoint>& /*tried*/) {
    return std::nullopt;
  }
  /// Reports that no connection to `vm` could be established.
  virtual void ReportHopFailure(const net::Tcp::endpoint& vm) = 0;
  /// Place of this VM in an order of all live VMs that depends on `key` and is the same on every VM.
  virtual size_t OwnRank(uint64_t /*key*/) const { return 0; }
  /// Ids of the live VMs of the own region that have links to replicas, and of this one.
  virtual std::vector<std::string> OwnRegionVms() const = 0;
  /// Their number.
  virtual size_t OwnRegionVmCount() const { return OwnRegionVms().size(); }
};

}  // namespace cornelplank::serving
