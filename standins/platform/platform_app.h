#pragma once

#include <condition_variable>
#include <mutex>
#include <string>

#include "libs/http/http.h"
#include "standins/platform/core/platform_core.h"

namespace cornelplank::standins::platform {

/// Serves a PlatformCore over HTTP. Thread-safe.
class PlatformApp {
 public:
  explicit PlatformApp(const PlatformOptions& options);

  http::Response Handle(const http::Request& request);
  /// Publishes the content of a file as an operator would, at the start. False with a printable reason.
  bool Publish(const std::string& operator_path, const std::string& text, std::string* problem);
  /// Lets every waiting handler return.
  void Stop();

 private:
  using Lock = std::unique_lock<std::mutex>;

  http::Response Read(Endpoint endpoint, const http::Request& request);
  http::Response ReadLog(Lock& lock, const http::Request& request);
  http::Response ReadWeights(const http::Request& request);
  http::Response Operate(const std::string& path, const std::string& body);
  http::Response SetMode(const http::Request& request);
  http::Response ListCalls();

  base::SystemClock clock_;
  std::mutex mutex_;
  std::condition_variable changed_;
  PlatformCore core_;
  bool stopping_ = false;
};

}  // namespace cornelplank::standins::platform
