#pragma once

#include <string>

#include "libs/gateway/internal/config_sync.h"
#include "libs/gateway/internal/core.h"
#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/upstream_poller.h"
#include "libs/http/http.h"

namespace cornelplank::gateway {

/// Answers the operators' HTTP requests: /status, /dump, /explain and /metrics. Read-only. Thread-safe.
class OperatorApi {
 public:
  OperatorApi(Core* core, const Dispatcher* dispatcher, const UpstreamPoller* poller)
      : core_(core), dispatcher_(dispatcher), poller_(poller) {}

  http::Response Handle(const http::Request& request) const;

 private:
  http::Response Status() const;
  http::Response Dump() const;
  http::Response Explain(const http::Request& request) const;

  Core* core_;
  const Dispatcher* dispatcher_;
  const UpstreamPoller* poller_;
};

}  // namespace cornelplank::gateway
