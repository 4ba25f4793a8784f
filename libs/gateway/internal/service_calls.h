#pragma once

#include <string>

#include "libs/gateway/internal/core.h"
#include "libs/gateway/internal/dispatcher.h"
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
  ServiceCalls(Core* core, const Dispatcher* dispatcher) : core_(core), dispatcher_(dispatcher) {}

  /// `POST /v1/tickets`: the body names the service.
  http::Response Mint(Work work);
  /// A call of a service by a client.
  http::Response Call(const Work& work);

  /// The same for work that a peer forwarded: runs in this zone or not at all.
  ServiceAnswer CallHere(const Work& work);
  ServiceAnswer MintHere(const Work& work);

 private:
  ServiceAnswer Route(const Work& work);
  ServiceAnswer RouteLookup(const Work& work);
  ServiceAnswer ToOwner(const Work& work);
  ServiceAnswer Forward(const Work& work, std::unique_ptr<Attempt> attempt);
  ServiceAnswer RunTicket(const Work& work, bool implicit);
  ServiceAnswer SendOnce(const Work& work, tickets::SendId send);
  ServiceAnswer Lookup(const Work& work, const Choice& choice);
  ServiceAnswer FromTicket(const tickets::TicketAnswer& ticket) const;
  ServiceAnswer AwaitTicket(const Work& work);
  std::optional<http::Response> Exchange(const Work& work, const Reservation& reservation,
                                         http::ExchangeState* state, Failure* failure);
  tickets::SendConditions Gate(const Work& work) const;

  Core* core_;
  const Dispatcher* dispatcher_;
};

}  // namespace cornelplank::gateway
