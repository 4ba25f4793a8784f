#pragma once

#include <memory>
#include <optional>
#include <string>

#include "libs/gateway/internal/replica_reporter.h"
#include "libs/gateway/internal/running_attempt.h"
#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// The replica that a local attempt or service call was sent to.
struct LocalTarget {
  AttemptPlace place;
  std::string upstream;           // id of the replica
  std::string address;            // IP:PORT
  base::Duration first_token{0};  // the router's estimate of the time to the first token
};

/// A completion at an engine of the own zone. Holds its admission slot and its in-flight count. Destroying it
/// before the answer has ended cancels the request at the engine.
class LocalAttempt final : public RunningAttempt {
 public:
  LocalAttempt(SharedState* shared, const GatewayRequest& request, LocalTarget target,
               std::unique_ptr<AdmissionSlot> slot, upstreams::InFlightRequest in_flight,
               const std::string& attempt_id, uint32_t resume_tokens);
  ~LocalAttempt() override;

  AttemptEvent Next(std::chrono::milliseconds limit) override;
  const AttemptPlace& place() const override { return target_.place; }

 private:
  AttemptEvent OnHead(http::ExchangeEvent event);
  AttemptEvent Fail(Failure failure, bool replica_at_fault);
  AttemptEvent Finish();

  SharedState* shared_;
  const LocalTarget target_;
  const std::string attempt_id_;
  const uint64_t prefix_;
  const uint32_t prefix_tokens_;
  std::unique_ptr<AdmissionSlot> slot_;
  upstreams::InFlightRequest in_flight_;
  ReplicaReporter report_;
  std::unique_ptr<http::Exchange> exchange_;
  int error_status_ = 0;  // HTTP status other than 200; the body of that response is collected
  std::string error_body_;
  bool ended_ = false;
};

}  // namespace cornelplank::gateway
