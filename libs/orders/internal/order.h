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

/// One order to an engine. Repeating it changes nothing.
struct EngineOrder {
  std::string id;      // hash of engine, action, model, version and fence; equal for all planners
  uint64_t fence = 0;  // sequence number of the configuration that asks for it
  std::string engine;
  OrderAction action = OrderAction::kLoad;
  std::string model;
  std::string version;
  base::TimePoint planned_at{};
  std::string incarnation;  // of the engine when the order was planned
};

/// Builds an order with its id.
EngineOrder MakeEngineOrder(std::string engine, OrderAction action, std::string model, std::string version,
                            uint64_t fence, base::TimePoint now);

/// A model and its version.
using ModelVersion = std::pair<std::string, std::string>;

/// What an engine says of itself in `GET /load`, as far as orders need it.
struct EngineReport {
  std::string engine;
  std::string incarnation;
  bool leaving = false;
  std::set<ModelVersion> models;  // in force
};

/// What an engine answered to an order.
enum class OrderAnswer : uint8_t {
  kAccepted,  // 200, accepted or already in force
  kOldFence,  // 409: it has seen an order of a newer configuration
  kNoAnswer,  // anything else; the order may or may not have arrived
};

}  // namespace cornelplank::orders
