#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "libs/base/base.h"

namespace cornelplank::standins::relay {

/// One direction of a relayed connection: bytes that were read and wait to be written. Time is passed in.
class Pipe {
 public:
  /// Reading stops while this many bytes wait, so that the relay passes on the receiver's back-pressure.
  static constexpr size_t kMaxWaitingBytes = 256 * 1024;

  /// Bytes that arrive from now on wait this long.
  void SetDelay(base::Duration delay) { delay_ = delay; }
  /// Discards the waiting bytes and everything that arrives later, the end of the stream included.
  void Drop();
  bool dropping() const { return dropping_; }

  void Push(std::string_view bytes, base::TimePoint now);
  /// The sender has closed its side.
  void PushEnd(base::TimePoint now);

  bool MayRead() const { return dropping_ || waiting_ < kMaxWaitingBytes; }
  /// The bytes that may be written at `now`; empty when there are none.
  std::string_view Ready(base::TimePoint now) const;
  /// Removes `count` bytes of the ones that `Ready` returned.
  void Pop(size_t count);
  /// True when all bytes were written and the sender's end may be passed on.
  bool EndReady(base::TimePoint now) const;
  /// When the next bytes or the end become ready, if that lies after `now`.
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
  size_t waiting_ = 0;
  std::optional<base::TimePoint> end_due_;
};

}  // namespace cornelplank::standins::relay
