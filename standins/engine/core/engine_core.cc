#include "standins/engine/core/engine_core.h"

#include <algorithm>
#include <utility>

#include "standins/engine/core/tokens.h"

namespace cornelplank::standins::engine {
namespace {

constexpr size_t kMaxRequestLogRecords = 200000;
// With ms_per_token = 0 the simulated time would not advance, and AdvanceTo would not return.
constexpr base::Duration kMinStepTime = std::chrono::microseconds{10};

base::Duration Microseconds(double count) { return base::Duration{static_cast<int64_t>(count * 1000)}; }

bool IsOpen(RequestState state) { return state == RequestState::kQueued || state == RequestState::kRunning; }

int64_t MillisecondsBetween(base::TimePoint from, base::TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

}  // namespace

std::string_view StateName(RequestState state) {
  switch (state) {
    case RequestState::kQueued:
      return "queued";
    case RequestState::kRunning:
      return "running";
    case RequestState::kFinished:
      return "complete";
    case RequestState::kCancelled:
      return "cancelled";
    case RequestState::kTimedOut:
      return "timed-out";
    case RequestState::kDisconnected:
      return "disconnected";
  }
  return "unknown";
}

EngineCore::EngineCore(EngineOptions options, base::TimePoint start)
    : options_(std::move(options)), start_(start), cache_(options_.cache_tokens), orders_(options_.orders) {
  RecordLoadReport(start);
}

std::optional<uint64_t> EngineCore::Submit(EngineRequest request, base::TimePoint now,
                                           base::Reason<RefusalCode>* reason) {
  AdvanceTo(now);
  const auto refuse = [&](RefusalCode code, std::string detail) {
    RequestLogRecord record{request.id, "refused", request.model, request.priority, request.resume_tokens};
    record.submitted_ms = record.ended_ms = MillisecondsBetween(start_, now);
    log_.push_back(std::move(record));
    base::SetReason(reason, code, std::move(detail));
    return std::nullopt;
  };
  if (options_.leaving) return refuse(RefusalCode::kLeaving, "the engine is leaving");
  if (fault_ == EngineFaultKind::kReject) {
    if (fault_count_ > 0 && --fault_count_ == 0) fault_ = EngineFaultKind::kNone;
    return refuse(RefusalCode::kRejected, "the engine refuses requests by a fault switch");
  }
  if (!orders_.HasModel(request.model)) return refuse(RefusalCode::kUnknownModel, "the model is not loaded");
  const bool must_wait = batch_.size() >= options_.slots;
  if (must_wait && queue_.size() >= options_.max_queue) {
    return refuse(RefusalCode::kQueueFull, "the queue is full");
  }
  const uint64_t handle = next_handle_++;
  ActiveRequest active;
  active.chain = PrefixChain(request.model, request.prompt);
  active.prompt_hash = PromptHash(request.prompt);
  active.produced = std::min(request.resume_tokens, request.max_tokens);
  active.submitted = now;
  queue_.emplace(request.priority, handle);
  active.request = std::move(request);
  requests_.emplace(handle, std::move(active));
  StartQueuedRequests(now);
  RecordLoadReport(now);
  return handle;
}

base::Duration EngineCore::StepTime() const {
  const double others = batch_.empty() ? 0 : static_cast<double>(batch_.size() - 1);
  double time_us = options_.ms_per_token * 1000 * (1 + options_.batch_slowdown * others);
  if (fault_ == EngineFaultKind::kSlow) time_us *= static_cast<double>(std::max<uint64_t>(fault_count_, 1));
  return std::max(Microseconds(time_us), kMinStepTime);
}

std::optional<base::TimePoint> EngineCore::NextEvent() const {
  std::optional<base::TimePoint> next = orders_.NextEvent();
  const auto consider = [&next](base::TimePoint at) {
    if (!next || at < *next) next = at;
  };
  if (step_end_ && !stalled_) consider(*step_end_);
  for (const auto& [handle, active] : requests_) {
    if (IsOpen(active.state) && active.request.deadline) consider(*active.request.deadline);
  }
  return next;
}

void EngineCore::AdvanceTo(base::TimePoint now) {
  for (auto next = NextEvent(); next && *next <= now && !crashed_; next = NextEvent()) {
    const base::TimePoint at = *next;
    orders_.AdvanceTo(at);
    ExpireDeadlines(at);
    if (step_end_ && *step_end_ <= at && !stalled_) RunStep(at);
    StartQueuedRequests(at);
    RecordLoadReport(at);
  }
}

void EngineCore::RunStep(base::TimePoint at) {
  step_end_.reset();
  const std::vector<uint64_t> batch = batch_;
  for (const uint64_t handle : batch) {
    ActiveRequest& active = requests_.at(handle);
    if (active.prefilled > at) continue;
    if (!ProduceToken(active, at)) return;
    if (active.produced >= active.request.max_tokens) EndRequest(handle, RequestState::kFinished, at);
  }
  if (!batch_.empty()) step_end_ = at + StepTime();
}

bool EngineCore::ProduceToken(ActiveRequest& active, base::TimePoint at) {
  if (fault_ == EngineFaultKind::kDieAfterTokens || fault_ == EngineFaultKind::kStallAfterTokens) {
    if (fault_count_ == 0) {
      (fault_ == EngineFaultKind::kDieAfterTokens ? crashed_ : stalled_) = true;
      return false;
    }
    --fault_count_;
  }
  if (!active.cached) {
    active.cached = true;
    cache_.Add(active.chain, at);
  }
  if (active.produced < active.request.max_tokens) ++active.produced;
  return true;
}

void EngineCore::EndRequest(uint64_t handle, RequestState state, base::TimePoint at) {
  ActiveRequest& active = requests_.at(handle);
  queue_.erase({active.request.priority, handle});
  std::erase(batch_, handle);
  active.state = state;
  active.ended = at;
}

void EngineCore::ExpireDeadlines(base::TimePoint at) {
  for (auto& [handle, active] : requests_) {
    if (IsOpen(active.state) && active.request.deadline && *active.request.deadline <= at) {
      EndRequest(handle, RequestState::kTimedOut, at);
    }
  }
}

void EngineCore::StartQueuedRequests(base::TimePoint at) {
  if (stalled_) return;
  while (!queue_.empty() && batch_.size() < options_.slots) {
    const uint64_t handle = queue_.begin()->second;
    queue_.erase(queue_.begin());
    StartRequest(handle, at);
  }
  if (!batch_.empty() && !step_end_) step_end_ = at + StepTime();
}

void EngineCore::StartRequest(uint64_t handle, base::TimePoint at) {
  ActiveRequest& active = requests_.at(handle);
  active.state = RequestState::kRunning;
  active.started = true;
  active.cached_tokens = cache_.Lookup(active.chain) * kTokensPerBlock;
  // The prefill of a resumed request includes the tokens that the caller already has.
  const uint64_t missing = PromptTokens(active.request.prompt) - active.cached_tokens + active.produced;
  active.prefilled = at + Microseconds(options_.prefill_us_per_token * static_cast<double>(missing));
  batch_.push_back(handle);
}

RequestProgress EngineCore::Progress(uint64_t handle) const {
  const ActiveRequest& active = requests_.at(handle);
  return {active.state, active.started, active.produced, active.cached_tokens};
}

size_t EngineCore::Cancel(const std::string& id, base::TimePoint now) {
  AdvanceTo(now);
  size_t count = 0;
  for (auto& [handle, active] : requests_) {
    if (active.request.id != id || !IsOpen(active.state)) continue;
    EndRequest(handle, RequestState::kCancelled, now);
    ++count;
  }
  StartQueuedRequests(now);
  RecordLoadReport(now);
  return count;
}

void EngineCore::Close(uint64_t handle, bool delivered, base::TimePoint now) {
  AdvanceTo(now);
  ActiveRequest& active = requests_.at(handle);
  if (IsOpen(active.state)) {
    EndRequest(handle, RequestState::kDisconnected, now);
  } else if (active.state == RequestState::kFinished && !delivered) {
    active.state = RequestState::kDisconnected;
  }
  log_.push_back(RecordOf(active, std::string(StateName(active.state))));
  if (log_.size() > kMaxRequestLogRecords) log_.pop_front();
  requests_.erase(handle);
  StartQueuedRequests(now);
  RecordLoadReport(now);
}

RequestLogRecord EngineCore::RecordOf(const ActiveRequest& active, std::string outcome) const {
  RequestLogRecord record{active.request.id,       std::move(outcome),           active.request.model,
                          active.request.priority, active.request.resume_tokens, active.produced,
                          active.prompt_hash,      active.request.streamed};
  record.submitted_ms = MillisecondsBetween(start_, active.submitted);
  record.ended_ms = IsOpen(active.state) ? -1 : MillisecondsBetween(start_, active.ended);
  return record;
}

std::vector<RequestLogRecord> EngineCore::OpenRecords() const {
  std::vector<RequestLogRecord> records;
  records.reserve(requests_.size());
  for (const auto& [handle, active] : requests_) {
    records.push_back(RecordOf(active, std::string(StateName(active.state))));
  }
  return records;
}

void EngineCore::RecordLoadReport(base::TimePoint at) {
  EngineLoadReport report{at, "ready", running(), queued(), orders_.Models()};
  if (options_.leaving) {
    report.state = "leaving";
  } else if (report.models.empty() && orders_.loading()) {
    report.state = "loading";
  }
  if (!reports_.empty() && reports_.back().at == at) reports_.pop_back();
  reports_.push_back(std::move(report));
  // Keeps the latest report that is at least as old as the lag, since VisibleReport returns it.
  while (reports_.size() > 1 && reports_[1].at + options_.report_lag <= at) reports_.pop_front();
}

EngineLoadReport EngineCore::VisibleReport(base::TimePoint now) const {
  EngineLoadReport visible = reports_.front();
  for (const EngineLoadReport& report : reports_) {
    if (report.at + options_.report_lag <= now) visible = report;
  }
  return visible;
}

std::vector<BlockCacheEvent> EngineCore::CacheEventsAfter(uint64_t after, base::TimePoint now) const {
  std::vector<BlockCacheEvent> visible;
  for (const BlockCacheEvent& event : cache_.events()) {
    if (event.seq <= after || event.at + options_.cache_event_lag > now) continue;
    if (base::Random(options_.seed + event.seq).Unit() >= options_.cache_event_loss) visible.push_back(event);
  }
  return visible;
}

void EngineCore::ImportPrefix(const std::vector<uint64_t>& chain, base::TimePoint now) {
  AdvanceTo(now);
  cache_.Add(chain, now);
}

std::optional<std::string> EngineCore::SubmitOrder(const ReceivedOrder& order, base::TimePoint now,
                                                   base::Reason<OrderRefusal>* reason) {
  AdvanceTo(now);
  auto status = orders_.Submit(order, now, reason);
  RecordLoadReport(now);
  return status;
}

void EngineCore::FinishLoad(base::TimePoint now) {
  AdvanceTo(now);
  orders_.FinishLoad(now);
  RecordLoadReport(now);
}

bool EngineCore::ConsumeChunkFault(EngineFaultKind kind) {
  if (fault_ != kind || fault_count_ == 0) return false;
  if (--fault_count_ == 0) fault_ = EngineFaultKind::kNone;
  return true;
}

void EngineCore::Leave(base::TimePoint now) {
  AdvanceTo(now);
  options_.leaving = true;
  RecordLoadReport(now);
}

void EngineCore::SetFault(EngineFaultKind kind, uint64_t n, base::TimePoint now) {
  AdvanceTo(now);
  fault_ = kind;
  fault_count_ = n;
  stalled_ = false;
  step_end_.reset();
  StartQueuedRequests(now);
}

}  // namespace cornelplank::standins::engine
