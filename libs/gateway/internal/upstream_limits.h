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

/// One started call under the adaptive limit of its upstream. Counts as saying nothing about the load unless
/// it is told otherwise.
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

/// Adaptive limits of the plain services' replicas. Engines are left out: the time to their first token
/// depends on the prompt far more than on their load, and their reports tell the load. Thread-safe.
class UpstreamLimits {
 public:
  explicit UpstreamLimits(const base::Clock& clock) : clock_(clock) {}

  /// Starts a call, or returns null when the upstream's limit is reached. `slots` is the first limit.
  std::unique_ptr<LimitedCall> TryStart(const std::string& upstream, uint32_t slots);
  /// The current limit by upstream.
  std::map<std::string, size_t> Limits() const;

 private:
  friend class LimitedCall;
  void Finish(const std::string& upstream, admission::CallResult result, base::TimePoint started);

  const base::Clock& clock_;
  mutable std::mutex mutex_;
  std::map<std::string, admission::AdaptiveLimit> limits_;
};

}  // namespace cornelplank::gateway
