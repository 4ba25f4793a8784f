#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "libs/base/base.h"

namespace cornelplank::orders {

enum class OrderAction : uint8_t { kLoad, kUnload };

/// The action's name in the engine protocol.
std::string_view ActionName(OrderAction action);

/// An order to an engine to load or unload one version of a model. Orders are idempotent.
struct EngineOrder {
  std::string id;  // hash of engine, action, model, version and fence; the same from each planner
  /// Sequence number of the configuration that the order follows from. Engines that check fences refuse an
  /// order with a lower fence than that of an order which they have accepted.
  uint64_t fence = 0;
  std::string engine;
  OrderAction action = OrderAction::kLoad;
  std::string model;
  std::string version;
  base::TimePoint planned_at{};
  std::string incarnation;  // of the engine's process when the order was planned
};

/// Builds an order with its id; the incarnation stays empty.
EngineOrder MakeEngineOrder(std::string engine, OrderAction action, std::string model, std::string version,
                            uint64_t fence, base::TimePoint now);

/// Model name and version.
using ModelVersion = std::pair<std::string, std::string>;

/// The part of an engine's answer to `GET /load` that order planning needs.
struct EngineReport {
  std::string engine;       // engine id
  std::string incarnation;  // changes with each start of the engine's process
  bool leaving = false;
  std::set<ModelVersion> models;  // loaded and serving
};

/// The outcome of sending an order to an engine.
enum class OrderAnswer : uint8_t {
  kAccepted,  // 200: accepted or already carried out
  kOldFence,  // 409: the engine has accepted an order of a newer configuration
  kNoAnswer,  // anything else; the order may or may not have arrived
};

}  // namespace cornelplank::orders
