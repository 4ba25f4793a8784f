#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "libs/config/config.h"

namespace cornelplank::orders {

/// Version by model.
using EngineModels = std::map<std::string, std::string>;
/// Models by engine.
using DesiredState = std::map<std::string, EngineModels>;

/// What the engines of a zone should have loaded: each model on the engines that list it, and on further live
/// engines of the model's partner, by rendezvous hash, while fewer live ones than the configured minimum have
/// it. A pure function of its arguments. With fewer live engines it only adds, so two planners with different
/// views of one configuration never undo each other's orders.
DesiredState ComputeDesiredState(const config::Document& document, std::string_view zone,
                                 const std::set<std::string>& live);

}  // namespace cornelplank::orders
