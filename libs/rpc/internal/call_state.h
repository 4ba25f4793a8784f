#pragma once

#include <kj/async.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>

#include "libs/rpc/internal/node.h"

namespace cornelplank::rpc {

/// The state of one outgoing hop: whether it was sent, and the queue of events between the event loop, which
/// receives them, and the thread that consumes them. Thread-safe.
class CallState {
 public:
  /// Bytes of data that may be queued before the sender must wait (see `WaitForSpace`).
  static constexpr size_t kWindowBytes = 64 * 1024;

  /// Queues an event unless the answer has ended already.
  void Push(ForwardEvent event);
  /// Queues the end unless the answer has ended already.
  void Finish(const ForwardEnd& end);
  /// Waits at most `limit` for the next event and returns kNothing when none arrives.
  ForwardEvent Pop(std::chrono::milliseconds limit);

  /// Resolved when the queue has space for more data. Called on the event loop's thread.
  kj::Promise<void> WaitForSpace();

  /// Records that the request may have left this process.
  void MarkSent();
  bool sent() const;

 private:
  mutable std::mutex mutex_;
  std::condition_variable event_available_;
  std::deque<ForwardEvent> events_;
  size_t queued_bytes_ = 0;
  bool ended_ = false;
  bool sent_ = false;
  kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> space_available_;
};

}  // namespace cornelplank::rpc
