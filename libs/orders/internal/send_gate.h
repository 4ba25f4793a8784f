#pragma once

#include <chrono>
#include <cstdint>

#include "libs/orders/internal/order.h"

namespace cornelplank::orders {

/// The state of the node at the moment of sending. Read the clock, then fill this in, then send at once.
struct SendContext {
  base::TimePoint now;
  uint64_t config_seq = 0;         // newest judged entry
  uint64_t highest_known_seq = 0;  // highest sequence number heard of from anyone
  bool confirmed = false;          // evaluated at `now`
  bool is_planner = false;
};

enum class GateVerdict : uint8_t {
  kSend,
  kPlanTooOld,   // too long since the order was planned
  kOtherConfig,  // the order belongs to another configuration than the newest known one
  kUnconfirmed,
  kNotPlanner,
};

/// The last check before an order leaves the process. It stops a planner that was paused between planning and
/// sending, which would otherwise send an order of an old configuration. A pause after the check can't be
/// excluded; fencing engines refuse such an order, and for others the next report repairs it.
class SendGate {
 public:
  /// Longest time between planning and sending.
  static constexpr base::Duration kMaxPlanAge = std::chrono::seconds{1};

  static GateVerdict Check(const EngineOrder& order, const SendContext& context) {
    if (context.now - order.planned_at > kMaxPlanAge) return GateVerdict::kPlanTooOld;
    if (order.fence != context.config_seq || context.highest_known_seq > context.config_seq) {
      return GateVerdict::kOtherConfig;
    }
    if (!context.confirmed) return GateVerdict::kUnconfirmed;
    return context.is_planner ? GateVerdict::kSend : GateVerdict::kNotPlanner;
  }
};

}  // namespace cornelplank::orders
