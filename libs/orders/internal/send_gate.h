#pragma once

#include <chrono>
#include <cstdint>

#include "libs/orders/internal/order.h"

namespace cornelplank::orders {

/// The state of the node at the moment of sending. Callers read the clock first, then the other fields, and
/// send at once afterwards.
struct SendContext {
  base::TimePoint now;
  uint64_t config_seq = 0;         // newest processed entry of the configuration log
  uint64_t highest_known_seq = 0;  // highest sequence number known from the platform or from a peer
  bool confirmed = false;          // evaluated at `now`
  bool is_planner = false;
};

enum class GateVerdict : uint8_t {
  kSend,         // the order may be sent
  kPlanTooOld,   // planned too long ago, as this process was paused or slow
  kOtherConfig,  // the order follows from another configuration than the newest known one
  kUnconfirmed,  // the node's configuration is not confirmed
  kNotPlanner,   // another VM plans the zone's orders
};

/// The last check before an order is sent. It stops a planner that was paused between planning and sending,
/// and would otherwise send an order of an old configuration. It can't detect a pause after the check:
/// engines that check fences refuse such an order, and for other engines the planner corrects its effect
/// after the next report.
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
