#pragma once

#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/service_calls.h"
#include "libs/gateway/internal/shared_state.h"
#include "libs/http/http.h"

namespace cornelplank::gateway {

/// Answers the clients' HTTP requests; docs/api.md describes them. Thread-safe.
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

/// The problem details of a failure.
http::Response FailureResponse(const Failure& failure);
http::Problem ToProblem(const Failure& failure);

}  // namespace cornelplank::gateway
