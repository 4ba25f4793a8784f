#pragma once

#include <memory>
#include <string>

#include "libs/gateway/internal/running_attempt.h"
#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// An attempt that another VM runs for this one: a VM of another zone, or the VM that owns a ticket.
class RemoteAttempt final : public RunningAttempt {
 public:
  RemoteAttempt(SharedState* shared, AttemptPlace place, std::string peer,
                std::unique_ptr<rpc::ForwardCall> call, std::optional<routing::InFlightForward> forward,
                base::TimePoint deadline);

  AttemptEvent Next(std::chrono::milliseconds limit) override;
  const AttemptPlace& place() const override { return place_; }
  /// Whether any byte of the request may have been sent to the peer.
  bool sent() const { return call_->sent(); }

 private:
  AttemptEvent OnEnd(const rpc::ForwardEnd& end);
  AttemptEvent Fail(Failure failure);

  SharedState* shared_;
  AttemptPlace place_;
  const std::string peer_;
  std::unique_ptr<rpc::ForwardCall> call_;
  std::optional<routing::InFlightForward> forward_;
  const base::TimePoint deadline_;
  uint64_t received_bytes_ = 0;
};

/// The HTTP status for the failure code with which a peer ended a hop; 503 for codes without a rule.
int HttpStatusOfCode(const std::string& code);

}  // namespace cornelplank::gateway
