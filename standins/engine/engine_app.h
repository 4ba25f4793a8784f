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

/// Serves an EngineCore over HTTP with the published engine protocol, and simulates its steps in real time on
/// a thread of its own. Thread-safe.
class EngineApp {
 public:
  /// `kv_bytes_per_token` is the size of an exported KV cache for each token.
  explicit EngineApp(EngineOptions options, uint64_t kv_bytes_per_token);
  ~EngineApp();
  EngineApp(const EngineApp&) = delete;
  EngineApp& operator=(const EngineApp&) = delete;

  http::Response Handle(const http::Request& request);
  /// Refuses new requests; those in progress continue.
  void Leave();
  /// Stops the simulation and makes every blocked handler return.
  void Stop();

  /// Calls `step` with the core, under its lock, and the current time. Wakes all waiting handlers afterwards
  /// and returns the result.
  template <typename Step>
  auto WithCore(Step step) {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto result = step(core_, clock_.Now());
    changed_.notify_all();
    return result;
  }

 private:
  friend class TokenStream;

  http::Response HandleChat(const http::Request& request);
  http::Response BuildAnswer(uint64_t handle, uint64_t answer_seed);
  http::Response RefusalReply(const base::Reason<RefusalCode>& reason);
  http::Response CancelRequest(const std::string& id);
  http::Response LoadReply();
  http::Response CacheEventsReply(const http::Request& request);
  http::Response HandleKv(const http::Request& request, const std::string& name);
  http::Response SubmitOrder(const http::Request& request);
  http::Response ListOrders();
  http::Response SetFault(const http::Request& request);
  http::Response LogReply();
  http::Response HandleControl(const http::Request& request);
  void AddLoadHeader(http::Response& response, uint64_t cached_tokens);
  void RunClock();

  base::SystemClock clock_;
  const uint64_t incarnation_;  // higher after each restart
  const uint64_t kv_bytes_per_token_;
  std::mutex mutex_;
  std::condition_variable changed_;  // notified after each change of core_ or stopping_
  EngineCore core_;
  bool stopping_ = false;
  std::vector<nlohmann::json> kv_log_;  // exports and imports of KV cache, oldest first
  std::thread clock_thread_;
};

}  // namespace cornelplank::standins::engine
