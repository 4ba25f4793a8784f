#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "libs/config/config.h"

namespace cornelplank::orders {

/// The models that one engine should have loaded: model name to version.
using EngineModels = std::map<std::string, std::string>;
/// Engine id to the models that it should have loaded.
using DesiredState = std::map<std::string, EngineModels>;

/// Returns what the engines of a zone should have loaded. Each model belongs on the engines that list it.
/// While fewer live engines than the configured minimum have it, it also belongs on further live engines of
/// the model's partner, chosen by rendezvous hash.
///
/// The result depends on the arguments alone, and fewer live engines never remove a model that the document
/// lists. So two planners that see different live engines under one configuration don't undo each other's
/// orders.
DesiredState ComputeDesiredState(const config::Document& document, std::string_view zone,
                                 const std::set<std::string>& live_engines);

}  // namespace cornelplank::orders
