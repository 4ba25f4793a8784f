#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "libs/admission/admission.h"
#include "libs/base/base.h"

namespace cornelplank::gateway {

class UpstreamLimits;

/// A call in progress that counts against the adaptive limit of its upstream. The destructor ends the call.
/// Without a result set it is ignored when the limit is adapted.
class LimitedCall {
 public:
  LimitedCall(UpstreamLimits* limits, std::string upstream, base::TimePoint started)
      : limits_(limits), upstream_(std::move(upstream)), started_(started) {}
  ~LimitedCall();
  LimitedCall(const LimitedCall&) = delete;
  LimitedCall& operator=(const LimitedCall&) = delete;

  void SetResult(admission::CallResult result) { result_ = result; }

 private:
  UpstreamLimits* limits_;
  const std::string upstream_;
  const base::TimePoint started_;
  admission::CallResult result_ = admission::CallResult::kIgnored;
};

/// Adaptive concurrency limits of the replicas of plain services. Engines have none: the time to their first
/// token depends on the prompt far more than on their load, and they report their load. Thread-safe.
class UpstreamLimits {
 public:
  explicit UpstreamLimits(const base::Clock& clock) : clock_(clock) {}

  /// Starts a call, or returns null when the upstream has reached its limit. `slots` is the initial limit of
  /// an upstream that has had no call yet.
  std::unique_ptr<LimitedCall> TryStart(const std::string& upstream, uint32_t slots);
  /// Current limits in concurrent calls, by upstream.
  std::map<std::string, size_t> Limits() const;

 private:
  friend class LimitedCall;
  void Finish(const std::string& upstream, admission::CallResult result, base::TimePoint started);

  const base::Clock& clock_;
  mutable std::mutex mutex_;
  std::map<std::string, admission::AdaptiveLimit> limits_;
};

}  // namespace cornelplank::gateway
