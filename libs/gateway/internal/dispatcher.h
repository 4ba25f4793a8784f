#pragma once

#include <memory>
#include <optional>
#include <string>

#include "libs/gateway/internal/attempt.h"
#include "libs/gateway/internal/core.h"
#include "libs/gateway/internal/local_attempt.h"
#include "libs/gateway/internal/remote_attempt.h"

namespace cornelplank::gateway {

/// A choice of the router together with the view that it was made in.
struct Choice {
  routing::RouteDecision decision;
  routing::RouteRequest request;
  NodeView view;

  bool is_local() const { return decision.target == routing::RouteTarget::kUpstream; }
  /// The replica of a local choice.
  const upstreams::ReplicaRecord& replica() const {
    return view.world->Replicas().Replicas()[decision.upstream];
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

/// Chooses where work runs and opens attempts. Every failure that it reports is `not-run`. Thread-safe.
class Dispatcher {
 public:
  explicit Dispatcher(Core* core) : core_(core) {}

  /// The router's choice. A class that may wait is held back here until spare capacity appears or its
  /// deadline passes.
  std::optional<Choice> Choose(const Work& work, const routing::ExcludeSet& excluded, Failure* failure) const;

  /// Waits for a slot of the chosen replica's pool and counts the request in.
  std::optional<Reservation> Reserve(const Work& work, const Choice& choice, Failure* failure) const;

  /// Opens an attempt of a completion. The clock is read again just before the send, so that a process that
  /// was paused sends nothing after the deadline.
  std::unique_ptr<Attempt> Open(const Work& work, const Choice& choice, const std::string& attempt,
                                uint32_t resume_tokens, Failure* failure) const;

  /// Forwards the work to a usable VM of the chosen zone.
  std::unique_ptr<Attempt> OpenRemote(const Work& work, const Choice& choice, const std::string& attempt,
                                      uint32_t resume_tokens, Failure* failure) const;

  /// Hands the work to one VM, whatever the router says: the owner of a ticket.
  std::unique_ptr<RemoteAttempt> Relay(const Work& work, const membership::VmListEntry& vm,
                                       const std::string& attempt, Failure* failure) const;

 private:
  bool StillInTime(const Work& work, Failure* failure) const;

  Core* core_;
};

/// The terms of a decision in one line, for the Route-Reason header and `explain`.
std::string RouteReasonText(const routing::ScoreBreakdown& terms);

}  // namespace cornelplank::gateway
