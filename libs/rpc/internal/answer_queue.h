#pragma once

#include <kj/async.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "libs/rpc/internal/message.h"

namespace cornelplank::rpc {

/// Queues the answer to one incoming hop between the worker thread that produces it and the event loop that
/// sends it. The worker waits only while the window is full, and the loop takes everything queued at once, so
/// that a token needs no round trip between the threads.
class AnswerQueue {
 public:
  /// Bytes of data that may be queued before `PushData` blocks.
  static constexpr size_t kWindowBytes = 64 * 1024;

  /// Everything that was queued between two calls of `Take`.
  struct Batch {
    int status = 0;  // 0 when the head is not part of this batch
    HeaderList headers;
    std::string data;
    std::optional<ForwardEnd> end;

    bool empty() const { return status == 0 && data.empty() && !end; }
  };

  // Called by the worker. The push functions return false when the hop has been cancelled.
  bool PushHead(int status, const HeaderList& headers);
  /// Blocks while the window is full.
  bool PushData(std::string_view bytes);
  bool PushEnd(const ForwardEnd& end);
  bool cancelled() const;

  // Called on the event loop's thread.
  /// Removes and returns what is queued; empty when nothing is.
  Batch Take();
  /// Resolved when `Take` has something to return.
  kj::Promise<void> Ready();
  /// Makes all pushes return false; `PushData` no longer blocks.
  void Cancel();

 private:
  /// Resolves the promise of `Ready`, if one is pending. Returns false when the hop has been cancelled.
  bool NotifyReady();

  mutable std::mutex mutex_;
  std::condition_variable space_available_;
  Batch batch_;
  bool cancelled_ = false;
  kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> ready_;
};

}  // namespace cornelplank::rpc
