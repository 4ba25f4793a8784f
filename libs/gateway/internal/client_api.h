#pragma once

#include "libs/gateway/internal/core.h"
#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/service_calls.h"
#include "libs/http/http.h"

namespace cornelplank::gateway {

/// Answers the clients' HTTP requests; docs/api.md describes them. Thread-safe.
class ClientApi {
 public:
  ClientApi(Core* core, const Dispatcher* dispatcher, ServiceCalls* services)
      : core_(core), dispatcher_(dispatcher), services_(services) {}

  http::Response Handle(const http::Request& request);

 private:
  http::Response Route(const http::Request& request);
  http::Response EntryList(const http::Request& request) const;
  http::Response Complete(Work work);

  Core* core_;
  const Dispatcher* dispatcher_;
  ServiceCalls* services_;
};

/// The problem details of a failure.
http::Response FailureResponse(const Failure& failure);
http::Problem ToProblem(const Failure& failure);

}  // namespace cornelplank::gateway
