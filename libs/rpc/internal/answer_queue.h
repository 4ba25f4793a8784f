#pragma once

#include <kj/async.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "libs/rpc/internal/message.h"

namespace cornelplank::rpc {

/// The answer of one incoming hop on its way from its worker thread to the event loop. The worker is woken
/// only when the window is full, and the loop takes all that is there at once, so that a token costs no round
/// trip between the threads.
class AnswerQueue {
 public:
  /// Bytes that may wait before the worker is held back.
  static constexpr size_t kWindowBytes = 64 * 1024;

  struct Batch {
    int status = 0;  // 0 when the head is not part of this batch
    HeaderList headers;
    std::string data;
    std::optional<ForwardEnd> end;

    bool empty() const { return status == 0 && data.empty() && !end; }
  };

  /// Called by the worker. False when the caller has left.
  bool PushHead(int status, const HeaderList& headers);
  bool PushData(std::string_view bytes);
  bool PushEnd(const ForwardEnd& end);
  bool cancelled() const;

  /// Called on the event loop's thread.
  Batch Take();
  /// Ready when Take has something to return.
  kj::Promise<void> Ready();
  void Cancel();

 private:
  bool Wake();

  mutable std::mutex mutex_;
  std::condition_variable room_;
  Batch batch_;
  bool cancelled_ = false;
  kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> waiting_;
};

}  // namespace cornelplank::rpc
