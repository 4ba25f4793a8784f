#pragma once

#include <memory>

#include "libs/config/config.h"
#include "libs/routing/routing.h"

namespace cornelplank::gateway {

/// The configuration in force and the routing state built from it. Request threads read it without locks;
/// each change publishes a new one. `routing_snapshot` and `document` are null until this VM has a usable
/// configuration.
struct ServingView {
  std::shared_ptr<const config::Document> document;
  std::shared_ptr<const routing::RoutingSnapshot> routing_snapshot;
  config::Version version;
  bool home_only = false;  // the configuration is unconfirmed: nothing is lent to other partners
};

}  // namespace cornelplank::gateway
