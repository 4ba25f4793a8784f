#include "libs/gateway/internal/upstream_limits.h"

namespace cornelplank::gateway {

LimitedCall::~LimitedCall() { limits_->Finish(upstream_, result_, started_); }

std::unique_ptr<LimitedCall> UpstreamLimits::TryStart(const std::string& upstream, uint32_t slots) {
  const std::lock_guard<std::mutex> lock(mutex_);
  admission::AdaptiveLimitOptions options;
  options.initial = slots;
  auto& limit = limits_.try_emplace(upstream, options).first->second;
  if (!limit.TryStart()) return nullptr;
  return std::make_unique<LimitedCall>(this, upstream, clock_.Now());
}

void UpstreamLimits::Finish(const std::string& upstream, admission::CallResult result,
                            base::TimePoint started) {
  const base::TimePoint now = clock_.Now();
  const std::lock_guard<std::mutex> lock(mutex_);
  limits_.at(upstream).Finish(result, now - started, now);
}

std::map<std::string, size_t> UpstreamLimits::Limits() const {
  std::map<std::string, size_t> limits;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [upstream, limit] : limits_) limits[upstream] = limit.limit();
  return limits;
}

}  // namespace cornelplank::gateway
