#include "libs/rpc/internal/answer_queue.h"

#include <utility>

namespace cornelplank::rpc {

bool AnswerQueue::NotifyReady() {
  KJ_IF_MAYBE (fulfiller, ready_) {
    (*fulfiller)->fulfill();
    ready_ = nullptr;
  }
  return !cancelled_;
}

bool AnswerQueue::PushHead(int status, const HeaderList& headers) {
  const std::lock_guard<std::mutex> lock(mutex_);
  batch_.status = status;
  batch_.headers = headers;
  return NotifyReady();
}

bool AnswerQueue::PushData(std::string_view bytes) {
  std::unique_lock<std::mutex> lock(mutex_);
  space_available_.wait(lock, [this] { return cancelled_ || batch_.data.size() < kWindowBytes; });
  batch_.data.append(bytes);
  return NotifyReady();
}

bool AnswerQueue::PushEnd(const ForwardEnd& end) {
  const std::lock_guard<std::mutex> lock(mutex_);
  batch_.end = end;
  return NotifyReady();
}

bool AnswerQueue::cancelled() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return cancelled_;
}

AnswerQueue::Batch AnswerQueue::Take() {
  const std::lock_guard<std::mutex> lock(mutex_);
  space_available_.notify_all();
  return std::exchange(batch_, {});
}

kj::Promise<void> AnswerQueue::Ready() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!batch_.empty()) return kj::READY_NOW;
  auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
  ready_ = kj::mv(pair.fulfiller);
  return kj::mv(pair.promise);
}

void AnswerQueue::Cancel() {
  const std::lock_guard<std::mutex> lock(mutex_);
  cancelled_ = true;
  ready_ = nullptr;
  space_available_.notify_all();
}

}  // namespace cornelplank::rpc
