#pragma once

#include <cstdint>
#include <string_view>

#include "libs/base/base.h"
#include "libs/upstreams/upstreams.h"

namespace cornelplank::routing {

/// Why the router refused a request.
enum class RouteCode {
  kStaleNames,    // the indices belong to another configuration; resolve the names again
  kResidency,     // the residency rule is unknown or allows no configured region
  kHomeOnly,      // in home-only mode, only the home region is allowed and it can't serve
  kLoop,          // the request came from this zone before, or would need a second hop
  kNotServed,     // no upstream of the allowed regions serves the model or service
  kUnreachable,   // only zones that don't answer or have no link to here could serve it
  kLeaving,       // every upstream that could serve it takes no new work (leaving)
  kEjected,       // every upstream that could serve it is ejected for failures
  kExcluded,      // every upstream that could serve it was tried by an earlier attempt
  kShare,         // only capacity of other partners is left, which is not lent or not free
  kWaitForSpare,  // the priority class may wait and no capacity is spare; retry later
  kDeadline,      // the first token is not expected before the deadline
};

std::string_view RouteCodeName(RouteCode code);

/// Counts the upstreams and zones that were rejected, each under the first rule that rejected it. A zone that
/// may not be forwarded to counts as one, whatever its number of upstreams.
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

/// Describes a refused request. `detail` stays empty because a decision must not allocate memory; use
/// `RouteCodeName` for a text.
struct RouteReason : base::Reason<RouteCode> {
  base::Duration retry_after{0};  // for `kWaitForSpare` and `kDeadline`: time until the next try; else 0
  Rejections rejections;
};

/// The parts of the score of the chosen target, shown by `explain`. The target with the lowest `total` wins.
/// One score unit equals one millisecond to the first token under the `latency` objective (docs/routing.md).
struct ScoreBreakdown {
  double queue_ms = 0;           // expected wait for a slot
  double prefill_ms = 0;         // prefill of the prompt tokens that are not in the prefix cache
  double round_trip_ms = 0;      // network time to the zone and back
  double link_ms = 0;            // wait for the bandwidth budget of the link between regions
  double price = 0;              // cost units of the whole request
  double away_score = 0;         // score units for serving outside the home region
  double ramp_score = 0;         // score units for exceeding the share of slots that a ramp allows
  double contention_score = 0;   // score units for taking a slot from requests that can run only here
  double cache_fill_credit = 0;  // score units credited for filling a cache that later requests use
  double total = 0;              // weighted sum in score units
  uint32_t cached_tokens = 0;
  uint32_t scored_candidates = 0;  // replicas and zones that were scored
  bool prefix_owner = false;       // the upstream owns the prompt prefix by rendezvous hashing
  bool fills_owner_cache = false;  // the owner caches the prefix, here or in the zone forwarded to
  bool borrowed = false;           // the capacity is lent by another partner
  bool probe = false;              // the single probe request of an ejected replica
  bool suspect = false;            // only suspect replicas were available
  Rejections rejections;
};

/// Whether a request runs at an upstream of the own zone or is forwarded to another zone.
enum class RouteTarget { kUpstream, kZone };

/// Where a request runs, with the estimates behind the choice.
struct RouteDecision {
  RouteTarget target = RouteTarget::kUpstream;
  uint32_t upstream = 0;                       // for kUpstream: index into `UpstreamSnapshot::Replicas()`
  upstreams::Index zone = upstreams::kNone;    // zone of the upstream, or the zone to forward to
  upstreams::Index region = upstreams::kNone;  // region of `zone`
  base::Duration first_token{0};               // estimated time to the first token
  double cost = 0;                             // cost units of the whole request
  ScoreBreakdown breakdown;
};

}  // namespace cornelplank::routing
