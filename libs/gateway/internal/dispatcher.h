#pragma once

#include <memory>
#include <optional>
#include <string>

#include "libs/gateway/internal/local_attempt.h"
#include "libs/gateway/internal/remote_attempt.h"
#include "libs/gateway/internal/running_attempt.h"
#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// A choice of the router together with the view that it was made in.
struct RouteChoice {
  routing::RouteDecision decision;
  routing::RouteRequest route_request;
  ServingView view;

  bool is_local() const { return decision.target == routing::RouteTarget::kUpstream; }
  /// The replica of a local choice.
  const upstreams::ReplicaRecord& replica() const {
    return view.world->Upstreams().Replicas()[decision.upstream];
  }
  AttemptPlace Place() const;
};

/// A replica of the own zone with a slot and an in-flight count taken.
struct Reservation {
  LocalTarget target;
  std::unique_ptr<LimitedCall> limited;  // only for plain services
  std::unique_ptr<AdmissionSlot> slot;
  upstreams::InFlightRequest in_flight;
};

/// Chooses where request runs and opens attempts. Every failure that it reports is `not-run`. Thread-safe.
class Dispatcher {
 public:
  explicit Dispatcher(SharedState* shared) : shared_(shared) {}

  /// The router's choice. A class that may wait is held back here until spare capacity appears or its
  /// deadline passes.
  std::optional<RouteChoice> ChooseRoute(const GatewayRequest& request, const routing::ExcludeSet& excluded,
                                         Failure* failure) const;

  /// Waits for a slot of the chosen replica's pool and counts the request in.
  std::optional<Reservation> ReserveReplica(const GatewayRequest& request, const RouteChoice& choice,
                                            Failure* failure) const;

  /// Opens an attempt of a completion. The clock is read again just before the send, so that a process that
  /// was paused sends nothing after the deadline.
  std::unique_ptr<RunningAttempt> OpenAttempt(const GatewayRequest& request, const RouteChoice& choice,
                                              const std::string& attempt_id, uint32_t resume_tokens,
                                              Failure* failure) const;

  /// Forwards the request to a usable VM of the chosen zone.
  std::unique_ptr<RunningAttempt> OpenRemoteAttempt(const GatewayRequest& request, const RouteChoice& choice,
                                                    const std::string& attempt_id, uint32_t resume_tokens,
                                                    Failure* failure) const;

  /// Hands the request to one VM, whatever the router says: the owner of a ticket.
  std::unique_ptr<RemoteAttempt> RelayToVm(const GatewayRequest& request, const membership::VmListEntry& vm,
                                           const std::string& attempt_id, Failure* failure) const;

 private:
  bool CheckDeadline(const GatewayRequest& request, Failure* failure) const;

  SharedState* shared_;
};

/// The terms of a decision in one line, for the Route-Reason header and `explain`.
std::string RouteReasonText(const routing::ScoreBreakdown& terms);

}  // namespace cornelplank::gateway
