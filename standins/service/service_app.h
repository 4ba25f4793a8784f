#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>

#include "libs/http/http.h"
#include "standins/service/core/service_core.h"

namespace cornelplank::standins::service {

/// Serves a ServiceCore over HTTP: GET and HEAD only look something up, calls with other methods are
/// executed. Thread-safe.
class ServiceApp {
 public:
  /// `delay` is the time between the arrival of a call and its execution.
  ServiceApp(std::string name, std::string region, std::chrono::milliseconds delay);

  http::Response Handle(const http::Request& request);
  /// Refuses new calls; those in progress continue.
  void Leave();

 private:
  http::Response HandleCall(const http::Request& request);
  http::Response RefusalReply(const char* code);
  http::Response SetFault(const http::Request& request);
  http::Response LogReply();
  void Sleep(std::unique_lock<std::mutex>& lock, std::chrono::milliseconds time);

  const std::string name_;
  const std::string region_;
  const std::chrono::milliseconds delay_;
  base::SystemClock clock_;
  std::mutex mutex_;
  std::condition_variable leaving_changed_;  // notified by Leave
  ServiceCore core_;
};

}  // namespace cornelplank::standins::service
