#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelplank::serving {

/// One complete event of a `text/event-stream`.
struct RawSseEvent {
  std::string text;            // its bytes, with the blank line that ends it
  std::optional<uint64_t> id;  // none when it has no `id:` line with a number
};

/// Splits a byte stream into complete events. Only these are forwarded, so that a stream that breaks inside
/// an event can be resumed after the last complete one.
class SseEventSplitter {
 public:
  void Append(std::string_view bytes) { buffer_.append(bytes); }
  /// Removes and returns the next event; no value when none is complete.
  std::optional<RawSseEvent> Next();
  /// Bytes after the last complete event.
  const std::string& Remainder() const { return buffer_; }
  void Clear() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace cornelplank::serving
