#pragma once

#include <condition_variable>
#include <mutex>
#include <string>

#include "libs/http/http.h"
#include "standins/platform/core/platform_core.h"

namespace cornelplank::standins::platform {

/// Serves a PlatformCore over HTTP: readers under /v1/, operators under /operator/, and the control of the
/// stand-in itself (modes and call counters) under /standin/. Thread-safe.
class PlatformApp {
 public:
  explicit PlatformApp(const PlatformOptions& options);

  http::Response Handle(const http::Request& request);
  /// Publishes `text` like an operator's POST to `operator_path`. Returns false, with the reason in
  /// `problem`, when it is refused.
  bool Publish(const std::string& operator_path, const std::string& text, std::string* problem);
  /// Makes all waiting reads return. Further reads are answered with 503.
  void Stop();

 private:
  using Lock = std::unique_lock<std::mutex>;

  http::Response HandleRead(Endpoint endpoint, const http::Request& request);
  /// Waits up to `wait_ms` for an entry after `after`. Releases the lock while it waits.
  http::Response ReadLog(Lock& lock, const http::Request& request);
  http::Response ReadWeights(const http::Request& request);
  http::Response HandleOperatorRequest(const std::string& path, const std::string& body);
  http::Response SetMode(const http::Request& request);
  http::Response ListCalls();

  base::SystemClock clock_;
  std::mutex mutex_;
  std::condition_variable changed_;
  PlatformCore core_;
  bool stopping_ = false;
};

}  // namespace cornelplank::standins::platform
