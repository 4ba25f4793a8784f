#pragma once

#include <string>

#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/shared_state.h"
#include "libs/http/http.h"

namespace cornelplank::gateway {

/// The result of a service call or of minting a ticket.
struct ServiceAnswer {
  bool answered = false;  // `status` to `body` hold the response of the service; otherwise `failure` is set
  int status = 0;
  std::string content_type;
  std::string body;
  std::string ticket;  // empty for idempotent calls
  AttemptPlace place;
  Failure failure;
};

/// Calls plain services. A call whose method is not idempotent runs at most once: it carries a ticket, and
/// only the VM that minted the ticket sends it. Thread-safe.
class ServiceCalls {
 public:
  ServiceCalls(SharedState* shared, const Dispatcher* dispatcher)
      : shared_(shared), dispatcher_(dispatcher) {}

  /// Handles `POST /v1/tickets`: mints a ticket for the service that the body names.
  http::Response MintTicket(GatewayRequest request);
  /// Handles a client's call of a service, in this zone or in another one.
  http::Response HandleCall(const GatewayRequest& request);

  /// Runs a call on a replica of this zone, or fails: for calls that a peer forwarded, and for local ones.
  ServiceAnswer CallInZone(const GatewayRequest& request);
  /// Mints a ticket that this VM owns.
  ServiceAnswer MintLocally(const GatewayRequest& request);

 private:
  ServiceAnswer RouteCall(const GatewayRequest& request);
  ServiceAnswer RouteIdempotentCall(const GatewayRequest& request);
  ServiceAnswer RelayToOwner(const GatewayRequest& request);
  ServiceAnswer CollectAnswer(const GatewayRequest& request, std::unique_ptr<RunningAttempt> attempt);
  /// Runs a call under a ticket of this VM, waits for the call that already runs under it, or returns the
  /// stored result. `implicit`: the ticket was minted for this call, and the answer carries it to the client.
  ServiceAnswer RunTicket(const GatewayRequest& request, bool implicit);
  ServiceAnswer SendOnce(const GatewayRequest& request, tickets::SendId send);
  ServiceAnswer CallReplica(const GatewayRequest& request, const RouteChoice& choice);
  ServiceAnswer ToServiceAnswer(const tickets::TicketAnswer& ticket) const;
  ServiceAnswer AwaitTicket(const GatewayRequest& request);
  std::optional<http::Response> SendUntilLastAnswer(const http::ClientRequest& request,
                                                    http::HttpReason* reason,
                                                    http::ExchangeState* state) const;
  std::optional<http::Response> SendToReplica(const GatewayRequest& request, const Reservation& reservation,
                                              http::ExchangeState* state, Failure* failure);
  /// The conditions, as they hold now, for sending a call with a ticket.
  tickets::SendConditions CurrentSendConditions(const GatewayRequest& request) const;

  SharedState* shared_;
  const Dispatcher* dispatcher_;
};

}  // namespace cornelplank::gateway
