#pragma once

#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/service_calls.h"
#include "libs/gateway/internal/shared_state.h"
#include "libs/http/http.h"

namespace cornelplank::gateway {

/// Handles the HTTP requests of clients: completions, service calls, tickets and the list of entry VMs.
/// docs/api.md describes them. Thread-safe.
class ClientApi {
 public:
  ClientApi(SharedState* shared, const Dispatcher* dispatcher, ServiceCalls* services)
      : shared_(shared), dispatcher_(dispatcher), services_(services) {}

  http::Response Handle(const http::Request& http_request);

 private:
  http::Response Dispatch(const http::Request& http_request);
  http::Response EntryList(const http::Request& http_request) const;
  http::Response RunCompletion(GatewayRequest request);

  SharedState* shared_;
  const Dispatcher* dispatcher_;
  ServiceCalls* services_;
};

/// The response that reports a failure to the client, with problem details as its body.
http::Response FailureResponse(const Failure& failure);
/// The problem details of a failure, for a response body or an error event.
http::Problem ToProblem(const Failure& failure);

}  // namespace cornelplank::gateway
