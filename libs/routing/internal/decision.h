#pragma once

#include <cstdint>
#include <string_view>

#include "libs/base/base.h"
#include "libs/upstreams/upstreams.h"

namespace cornelplank::routing {

/// Why a request has no route.
enum class RouteCode {
  kStaleNames,    // the request was resolved against another configuration; resolve it again
  kResidency,     // the rule is unknown or allows no region of the configuration
  kHomeOnly,      // home-only mode, and the home region can't serve it
  kLoop,          // the own zone was visited before, or a second hop would be needed
  kNotServed,     // no upstream of the allowed regions has the model or service
  kUnreachable,   // only zones that don't answer or have no link could serve it
  kLeaving,       // every upstream that could serve it is leaving
  kEjected,       // every upstream that could serve it is ejected
  kExcluded,      // every upstream that could serve it was tried before
  kShare,         // only capacity of other partners is left, and it is not lent or not spare
  kWaitForSpare,  // the class waits: offer the request again after `retry_after`
  kDeadline,      // the first token is not expected before the deadline
};

std::string_view RouteCodeName(RouteCode code);

/// Upstreams and zones left out, by the first rule that left them out. Zones that can't be forwarded to count
/// as one each.
struct Rejections {
  uint32_t residency = 0;
  uint32_t loop = 0;
  uint32_t unreachable = 0;
  uint32_t not_served = 0;
  uint32_t leaving = 0;
  uint32_t ejected = 0;
  uint32_t excluded = 0;
  uint32_t share = 0;
};

/// A refusal. `detail` stays empty on the decision path, which allocates nothing; use `RouteCodeName`.
struct RouteReason : base::Reason<RouteCode> {
  base::Duration retry_after{0};
  Rejections rejections;
};

/// The terms of a choice, for `explain`. Times in milliseconds; `total` in score units (see docs/routing.md).
struct ScoreBreakdown {
  double queue_ms = 0;           // wait for a slot
  double prefill_ms = 0;         // prompt tokens that are not in the prefix cache
  double round_trip_ms = 0;      // there and back
  double link_ms = 0;            // wait for the link's budget
  double price = 0;              // cost units of the whole request
  double away_score = 0;         // score units for leaving the home region
  double ramp_score = 0;         // score units for exceeding the slots given during a ramp
  double contention_score = 0;   // score units for a slot of a busy zone that requests bound to it need
  double cache_fill_credit = 0;  // score units credited for filling a cache that later requests find
  double total = 0;              // weighted sum; the lowest wins
  uint32_t cached_tokens = 0;
  uint32_t scored_candidates = 0;  // replicas and zones that were scored
  bool prefix_owner = false;
  bool fills_owner_cache = false;  // the prefix ends up at its owner, here or by the choice of the other zone
  bool borrowed = false;           // capacity of another partner
  bool probe = false;              // the one probe of an ejected replica
  bool suspect = false;            // only suspect replicas were left
  Rejections rejections;
};

enum class RouteTarget { kUpstream, kZone };

struct RouteDecision {
  RouteTarget target = RouteTarget::kUpstream;
  uint32_t upstream = 0;                       // index in the snapshot, for kUpstream
  upstreams::Index zone = upstreams::kNone;    // zone of the upstream, or zone to forward to
  upstreams::Index region = upstreams::kNone;  // its region
  base::Duration first_token{0};               // estimate
  double cost = 0;                             // cost units of the whole request
  ScoreBreakdown breakdown;
};

}  // namespace cornelplank::routing
