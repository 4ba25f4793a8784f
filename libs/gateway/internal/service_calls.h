#pragma once

#include <string>

#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/shared_state.h"
#include "libs/http/http.h"

namespace cornelplank::gateway {

/// What a service call came to.
struct ServiceAnswer {
  bool answered = false;  // a service's response is in `status` to `body`; otherwise `failure` is set
  int status = 0;
  std::string content_type;
  std::string body;
  std::string ticket;  // of a call that must not be repeated
  AttemptPlace place;
  Failure failure;
};

/// Calls of plain services, and the tickets of calls that must not be repeated. Thread-safe.
class ServiceCalls {
 public:
  ServiceCalls(SharedState* shared, const Dispatcher* dispatcher)
      : shared_(shared), dispatcher_(dispatcher) {}

  /// `POST /v1/tickets`: the body names the service.
  http::Response MintTicket(GatewayRequest request);
  /// A call of a service by a client.
  http::Response HandleCall(const GatewayRequest& request);

  /// The same for request that a peer forwarded: runs in this zone or not at all.
  ServiceAnswer CallInZone(const GatewayRequest& request);
  ServiceAnswer MintLocally(const GatewayRequest& request);

 private:
  ServiceAnswer RouteCall(const GatewayRequest& request);
  ServiceAnswer RouteIdempotentCall(const GatewayRequest& request);
  ServiceAnswer RelayToOwner(const GatewayRequest& request);
  ServiceAnswer CollectAnswer(const GatewayRequest& request, std::unique_ptr<RunningAttempt> attempt);
  ServiceAnswer RunTicket(const GatewayRequest& request, bool implicit);
  ServiceAnswer SendOnce(const GatewayRequest& request, tickets::SendId send);
  ServiceAnswer CallReplica(const GatewayRequest& request, const RouteChoice& choice);
  ServiceAnswer ToServiceAnswer(const tickets::TicketAnswer& ticket) const;
  ServiceAnswer AwaitTicket(const GatewayRequest& request);
  std::optional<http::Response> SendToReplica(const GatewayRequest& request, const Reservation& reservation,
                                              http::ExchangeState* state, Failure* failure);
  tickets::SendConditions CurrentGate(const GatewayRequest& request) const;

  SharedState* shared_;
  const Dispatcher* dispatcher_;
};

}  // namespace cornelplank::gateway
