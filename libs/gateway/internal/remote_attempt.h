#pragma once

#include <memory>
#include <string>

#include "libs/gateway/internal/running_attempt.h"
#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// An attempt that a VM of another zone, or the owner of a ticket, runs for this VM.
class RemoteAttempt final : public RunningAttempt {
 public:
  RemoteAttempt(SharedState* shared, AttemptPlace place, std::string peer,
                std::unique_ptr<rpc::ForwardCall> call, std::optional<routing::InFlightForward> forward,
                base::TimePoint deadline);

  AttemptEvent Next(std::chrono::milliseconds limit) override;
  const AttemptPlace& place() const override { return place_; }
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

/// The HTTP status that belongs to the code of a failed hop.
int HttpStatusOfCode(const std::string& code);

}  // namespace cornelplank::gateway
