#pragma once

#include <kj/async.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>

#include "libs/rpc/internal/node.h"

namespace cornelplank::rpc {

/// The events of one outgoing hop on their way from the event loop to the thread that consumes them.
class CallState {
 public:
  /// Bytes that may wait before the sender is held back.
  static constexpr size_t kWindowBytes = 64 * 1024;

  void Push(ForwardEvent event);
  /// Pushes the end unless the answer has ended already.
  void Finish(const ForwardEnd& end);
  ForwardEvent Pop(std::chrono::milliseconds limit);

  /// Ready when there is room for more data. Called on the event loop's thread.
  kj::Promise<void> Room();

  void MarkSent();
  bool sent() const;

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<ForwardEvent> events_;
  size_t queued_bytes_ = 0;
  bool ended_ = false;
  bool sent_ = false;
  kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> waiting_;
};

}  // namespace cornelplank::rpc
