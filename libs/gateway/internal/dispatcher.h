#pragma once

#include <memory>
#include <optional>
#include <string>

#include "libs/gateway/internal/local_attempt.h"
#include "libs/gateway/internal/remote_attempt.h"
#include "libs/gateway/internal/running_attempt.h"
#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// A decision of the router, with the request and the serving view that it was made for.
struct RouteChoice {
  routing::RouteDecision decision;
  routing::RouteRequest route_request;
  ServingView view;

  bool is_local() const { return decision.target == routing::RouteTarget::kUpstream; }
  /// The chosen replica; only when `is_local()`.
  const upstreams::ReplicaRecord& replica() const {
    return view.routing_snapshot->Upstreams().Replicas()[decision.upstream];
  }
  AttemptPlace Place() const;
};

/// A replica of the own zone on which one request may now run. Destroying it gives the admission slot and the
/// in-flight count back.
struct Reservation {
  LocalTarget target;
  std::unique_ptr<LimitedCall> limited;  // null for engines
  std::unique_ptr<AdmissionSlot> slot;
  upstreams::InFlightRequest in_flight;
};

/// Chooses where a request runs and opens attempts there. Its functions return nothing or null and set
/// `failure` when they fail; the outcome of such a failure is always `not-run`. Thread-safe.
class Dispatcher {
 public:
  explicit Dispatcher(SharedState* shared) : shared_(shared) {}

  /// Asks the router for a target other than `excluded`. A request whose class may wait blocks here until
  /// there is spare capacity or its deadline is too close.
  std::optional<RouteChoice> ChooseRoute(const GatewayRequest& request, const routing::ExcludeSet& excluded,
                                         Failure* failure) const;

  /// Waits for a slot in the pool of the chosen replica and counts the request as in flight there. After a
  /// wait another replica of the same pool may be taken.
  std::optional<Reservation> ReserveReplica(const GatewayRequest& request, const RouteChoice& choice,
                                            Failure* failure) const;

  /// Opens an attempt of a completion at the chosen replica or zone, continuing after `resume_tokens` tokens.
  /// The deadline is checked again just before the send, so that a process that was paused sends nothing
  /// late.
  std::unique_ptr<RunningAttempt> OpenAttempt(const GatewayRequest& request, const RouteChoice& choice,
                                              const std::string& attempt_id, uint32_t resume_tokens,
                                              Failure* failure) const;

  /// Forwards the request to a usable VM of the chosen zone.
  std::unique_ptr<RunningAttempt> OpenRemoteAttempt(const GatewayRequest& request, const RouteChoice& choice,
                                                    const std::string& attempt_id, uint32_t resume_tokens,
                                                    Failure* failure) const;

  /// Forwards the request to the VM that owns its ticket, without asking the router.
  std::unique_ptr<RemoteAttempt> RelayToVm(const GatewayRequest& request, const membership::VmListEntry& vm,
                                           const std::string& attempt_id, Failure* failure) const;

 private:
  /// Returns false and sets `failure` when the deadline has passed.
  bool CheckDeadline(const GatewayRequest& request, Failure* failure) const;

  SharedState* shared_;
};

/// The parts of the score of a decision in one line, for the Route-Reason header and `explain`.
std::string RouteReasonText(const routing::ScoreBreakdown& score);

}  // namespace cornelplank::gateway
