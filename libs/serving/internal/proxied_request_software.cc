#include "libs/serving/internal/proxied_request.h"

namespace cornelplank::serving {

std::vector<uint64_t> ProxiedRequest::ServiceKeys() const {
  std::vector<uint64_t> keys;
  for (const WeightedService& entry : route_.services) keys.push_back(base::Hash64(entry.service));
  return keys;
}

net::Task<bool> ProxiedRequest::BindToOrigin() {
  if (hop_ && hop_->software) {
    software_ = hop_->software;
  } else if (deps_.stream_origins != nullptr) {
    std::optional<uint64_t> attempt;
    if (request_info_.resumes) attempt = base::Hash64(*request_info_.resumes);
    software_ = co_await deps_.stream_origins->Find(attempt, ServiceKeys());
  } else {
    software_ = deps_.registry.software_history().OnlyVersion(ServiceKeys(), deps_.clock.Now());
  }
  if (!software_) {
    refusal_reason_ = RefusalReason::kSoftwareUnknown;
    co_return false;
  }
  const auto replica = deps_.registry.FindSoftware(*software_);
  if (!replica || !route_.Offers(replica->published.service)) {
    refusal_reason_ = RefusalReason::kSoftwareGone;
    co_return false;
  }
  service_ = replica->published.service;
  co_return true;
}

bool ProxiedRequest::CheckSoftware() {
  if (route_.kind != RequestKind::kStream || !writer_.Started() || software_) return true;
  software_ = deps_.registry.software_history().OnlyVersion(ServiceKeys(), deps_.clock.Now());
  if (software_) return true;
  refusal_reason_ = RefusalReason::kSoftwareUnknown;
  return false;
}

bool ProxiedRequest::CheckReplicaSoftware() {
  if (route_.kind != RequestKind::kStream) return true;
  const auto current = deps_.registry.Find(replica_->published.id);
  if (!current) return false;
  attempt_software_ = current->software;
  return !software_ || attempt_software_ == software_;
}

void ProxiedRequest::RecordOrigin() {
  if (route_.kind != RequestKind::kStream) return;
  if (ResumesStream() && !hop_ && !writer_.Started()) ++proxy_.counters_.resumed_streams;
  if (!software_) software_ = attempt_software_;
  // The VM that forwarded the request may never get this event, and try another version.
  if (hop_ && !hop_->software) return;
  if (!software_ || deps_.stream_origins == nullptr) return;
  deps_.stream_origins->Record(base::Hash64(request_info_.id), *software_);
  if (ResumesStream() && request_info_.resumes) {
    deps_.stream_origins->Record(base::Hash64(*request_info_.resumes), *software_);
  }
}

}  // namespace cornelplank::serving
