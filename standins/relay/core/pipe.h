#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "libs/base/base.h"

namespace cornelplank::standins::relay {

/// One direction of a relayed connection: a queue of bytes that were read and are to be written, each after
/// its delay. The caller passes the time. Not thread-safe.
class Pipe {
 public:
  /// The relay stops reading while this many bytes wait, so that the sender sees the receiver's
  /// back-pressure.
  static constexpr size_t kMaxWaitingBytes = 256 * 1024;

  /// Sets the delay of the bytes that arrive from now on.
  void SetDelay(base::Duration delay) { delay_ = delay; }
  /// Discards the waiting bytes and everything that arrives later, including the end of the stream.
  void StartDropping();
  bool dropping() const { return dropping_; }

  void Push(std::string_view bytes, base::TimePoint now);
  /// Records that the sender has closed its side.
  void PushEnd(base::TimePoint now);

  bool MayRead() const { return dropping_ || waiting_ < kMaxWaitingBytes; }
  /// The next bytes that may be written at `now`; empty if there are none. Valid until the next change.
  std::string_view ReadyBytes(base::TimePoint now) const;
  /// Removes the first `count` of the bytes that ReadyBytes returned.
  void Pop(size_t count);
  /// True if all bytes were written and the receiver may be told of the sender's close.
  bool EndReady(base::TimePoint now) const;
  /// When the next bytes or the end become ready; nullopt if they are ready or if nothing waits.
  std::optional<base::TimePoint> NextDue(base::TimePoint now) const;

 private:
  struct Chunk {
    base::TimePoint due;
    std::string bytes;
  };

  base::Duration delay_{0};
  bool dropping_ = false;
  std::deque<Chunk> chunks_;
  size_t first_offset_ = 0;  // bytes of the first chunk that were written
  size_t waiting_ = 0;       // bytes in all chunks that were not written
  std::optional<base::TimePoint> end_due_;
};

}  // namespace cornelplank::standins::relay
