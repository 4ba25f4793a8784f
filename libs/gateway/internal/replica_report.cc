#include "libs/gateway/internal/replica_report.h"

namespace cornelplank::gateway {
namespace {

constexpr int kServiceUnavailable = 503;

}  // namespace

void ReplicaReport::Head(int status, const http::Headers& headers) {
  const std::string_view load = http::HeaderValue(headers, "Engine-Load");
  const bool leaving =
      status == kServiceUnavailable && http::HeaderValue(headers, "Engine-State") == "leaving";
  if (load.empty() && !leaving) return;
  const std::lock_guard<std::mutex> lock(core_->replicas.mutex);
  if (!load.empty()) core_->replicas.table.OnLoadHeader(upstream_, load, core_->clock.Now());
  if (leaving) core_->replicas.table.OnLeavingResponse(upstream_, core_->clock.Now());
}

void ReplicaReport::Success() {
  if (std::exchange(reported_, true)) return;
  const std::lock_guard<std::mutex> lock(core_->replicas.mutex);
  core_->replicas.table.OnResult(upstream_, upstreams::RequestOutcome::kSuccess, probe_, core_->clock.Now());
}

void ReplicaReport::Failed() {
  if (std::exchange(reported_, true)) return;
  const std::lock_guard<std::mutex> lock(core_->replicas.mutex);
  core_->replicas.table.OnResult(upstream_, upstreams::RequestOutcome::kFailure, probe_, core_->clock.Now());
}

void ReplicaReport::PrefixServed(uint64_t prefix, uint32_t tokens) {
  if (prefix == 0) return;
  const std::lock_guard<std::mutex> lock(core_->replicas.mutex);
  core_->replicas.table.OnPrefixServed(upstream_, prefix, tokens);
}

}  // namespace cornelplank::gateway
