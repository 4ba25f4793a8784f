#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>

#include "libs/http/http.h"
#include "standins/service/core/service_core.h"

namespace cornelplank::standins::service {

/// Serves a ServiceCore over HTTP. Thread-safe.
class ServiceApp {
 public:
  ServiceApp(std::string name, std::string region, std::chrono::milliseconds delay);

  http::Response Handle(const http::Request& request);
  /// Refuses new calls; calls in progress go on.
  void Leave();

 private:
  http::Response Call(const http::Request& request);
  http::Response Refuse(const char* code);
  http::Response SetFault(const http::Request& request);
  http::Response Log();
  void Sleep(std::unique_lock<std::mutex>& lock, std::chrono::milliseconds time);

  const std::string name_;
  const std::string region_;
  const std::chrono::milliseconds delay_;
  base::SystemClock clock_;
  std::mutex mutex_;
  std::condition_variable leaving_;
  ServiceCore core_;
};

}  // namespace cornelplank::standins::service
