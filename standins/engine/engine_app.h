#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "libs/http/http.h"
#include "standins/engine/core/engine_core.h"

namespace cornelplank::standins::engine {

/// Serves an EngineCore over HTTP by the published engine protocol. Thread-safe.
class EngineApp {
 public:
  explicit EngineApp(EngineOptions options, uint64_t kv_bytes_per_token);
  ~EngineApp();
  EngineApp(const EngineApp&) = delete;
  EngineApp& operator=(const EngineApp&) = delete;

  http::Response Handle(const http::Request& request);
  /// Refuses new work; work in progress goes on.
  void Leave();
  /// Lets every waiting handler return.
  void Stop();

  /// Calls `step` with the core under the lock and the present time.
  template <typename Step>
  auto WithCore(Step step) {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto result = step(core_, clock_.Now());
    changed_.notify_all();
    return result;
  }

 private:
  friend class TokenStream;

  http::Response Chat(const http::Request& request);
  http::Response Answer(uint64_t handle, uint64_t answer_seed);
  http::Response Refusal(const base::Reason<RefusalCode>& reason);
  http::Response Cancel(const std::string& id);
  http::Response Load();
  http::Response CacheEvents(const http::Request& request);
  http::Response Kv(const http::Request& request, const std::string& name);
  http::Response TakeOrder(const http::Request& request);
  http::Response ListOrders();
  http::Response SetFault(const http::Request& request);
  http::Response Log();
  http::Response Standin(const http::Request& request);
  void AddLoadHeader(http::Response& response, uint64_t cached_tokens);
  void RunClock();

  base::SystemClock clock_;
  const uint64_t incarnation_;
  const uint64_t kv_bytes_per_token_;
  std::mutex mutex_;
  std::condition_variable changed_;
  EngineCore core_;
  bool stopping_ = false;
  std::vector<nlohmann::json> kv_log_;
  std::thread clock_thread_;
};

}  // namespace cornelplank::standins::engine
