#include "libs/rpc/internal/call_state.h"

#include <utility>

namespace cornelplank::rpc {

void CallState::Push(ForwardEvent event) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (ended_) return;
  ended_ = event.kind == ForwardEvent::Kind::kEnd;
  queued_bytes_ += event.data.size();
  events_.push_back(std::move(event));
  event_available_.notify_one();
}

void CallState::Finish(const ForwardEnd& end) {
  ForwardEvent event;
  event.kind = ForwardEvent::Kind::kEnd;
  event.end = end;
  Push(std::move(event));
}

ForwardEvent CallState::Pop(std::chrono::milliseconds limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (!event_available_.wait_for(lock, limit, [this] { return !events_.empty(); })) return {};
  ForwardEvent event = std::move(events_.front());
  events_.pop_front();
  queued_bytes_ -= event.data.size();
  if (queued_bytes_ < kWindowBytes / 2) {
    KJ_IF_MAYBE (fulfiller, space_available_) {
      (*fulfiller)->fulfill();
      space_available_ = nullptr;
    }
  }
  return event;
}

kj::Promise<void> CallState::WaitForSpace() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (queued_bytes_ < kWindowBytes) return kj::READY_NOW;
  auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
  space_available_ = kj::mv(pair.fulfiller);
  return kj::mv(pair.promise);
}

void CallState::MarkSent() {
  const std::lock_guard<std::mutex> lock(mutex_);
  sent_ = true;
}

bool CallState::sent() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return sent_;
}

}  // namespace cornelplank::rpc
