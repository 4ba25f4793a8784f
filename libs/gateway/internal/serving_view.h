#pragma once

#include <memory>

#include "libs/config/config.h"
#include "libs/routing/routing.h"

namespace cornelplank::gateway {

/// What a request thread reads without locks; replaced as a whole. `world` and `document` are null until the
/// node has a configuration.
struct ServingView {
  std::shared_ptr<const config::Document> document;
  std::shared_ptr<const routing::RoutingSnapshot> world;
  config::Version version;
  bool home_only = false;
};

}  // namespace cornelplank::gateway
