#include "libs/gateway/internal/replica_reporter.h"

namespace cornelplank::gateway {
namespace {

constexpr int kServiceUnavailable = 503;

}  // namespace

void ReplicaReporter::RecordHead(int status, const http::Headers& headers) {
  const std::string_view load = http::HeaderValue(headers, "Engine-Load");
  const bool leaving =
      status == kServiceUnavailable && http::HeaderValue(headers, "Engine-State") == "leaving";
  if (load.empty() && !leaving) return;
  const std::lock_guard<std::mutex> lock(shared_->replicas.mutex);
  if (!load.empty()) shared_->replicas.table.OnLoadHeader(replica_id_, load, shared_->clock.Now());
  if (leaving) shared_->replicas.table.OnLeavingResponse(replica_id_, shared_->clock.Now());
}

void ReplicaReporter::RecordSuccess() {
  if (std::exchange(reported_, true)) return;
  const std::lock_guard<std::mutex> lock(shared_->replicas.mutex);
  shared_->replicas.table.OnResult(replica_id_, upstreams::RequestOutcome::kSuccess, probe_,
                                   shared_->clock.Now());
}

void ReplicaReporter::RecordFailure() {
  if (std::exchange(reported_, true)) return;
  const std::lock_guard<std::mutex> lock(shared_->replicas.mutex);
  shared_->replicas.table.OnResult(replica_id_, upstreams::RequestOutcome::kFailure, probe_,
                                   shared_->clock.Now());
}

void ReplicaReporter::RecordPrefix(uint64_t prefix, uint32_t tokens) {
  if (prefix == 0) return;
  const std::lock_guard<std::mutex> lock(shared_->replicas.mutex);
  shared_->replicas.table.OnPrefixServed(replica_id_, prefix, tokens);
}

}  // namespace cornelplank::gateway
