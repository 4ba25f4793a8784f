#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/net/net.h"

namespace cornelplank::serving {

/// What another region offers for a service, as its entry VMs tell.
struct RemoteRegion {
  std::string region;
  base::Duration wait{0};        // estimated wait of a request at its best replica
  base::Duration round_trip{0};  // between this VM and that region
};

/// The live entry VMs as the engine needs them.
class HopDirectory {
 public:
  virtual ~HopDirectory() = default;

  /// Other regions that have a live VM and a usable replica of `service`.
  virtual std::vector<RemoteRegion> RemoteRegions(const std::string& service) const = 0;
  /// A live VM of `region` to hop to; nothing when there is none.
  virtual std::optional<net::Tcp::endpoint> PickVm(const std::string& region) = 0;
  /// No connection to that VM came about.
  virtual void ReportHopFailure(const net::Tcp::endpoint& vm) = 0;
  /// Ids of the live VMs of the own region, this one included.
  virtual std::vector<std::string> OwnRegionVms() const = 0;
};

}  // namespace cornelplank::serving
