#pragma once

#include <string>

#include "libs/gateway/internal/config_sync.h"
#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/shared_state.h"
#include "libs/gateway/internal/upstream_poller.h"
#include "libs/http/http.h"

namespace cornelplank::gateway {

/// Handles the HTTP requests of operators: /status, /dump, /explain and /metrics. Changes nothing.
/// Thread-safe.
class OperatorApi {
 public:
  OperatorApi(SharedState* shared, const Dispatcher* dispatcher, const UpstreamPoller* poller)
      : shared_(shared), dispatcher_(dispatcher), poller_(poller) {}

  http::Response Handle(const http::Request& http_request) const;

 private:
  http::Response Status() const;
  http::Response Dump() const;
  http::Response Explain(const http::Request& http_request) const;

  SharedState* shared_;
  const Dispatcher* dispatcher_;
  const UpstreamPoller* poller_;
};

}  // namespace cornelplank::gateway
