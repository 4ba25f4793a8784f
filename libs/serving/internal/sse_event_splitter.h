#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelplank::serving {

/// One whole event of a `text/event-stream`, with the blank line that ends it.
struct RawSseEvent {
  std::string text;
  std::optional<uint64_t> id;
};

/// Cuts a byte stream into whole events, so that a stream that breaks inside an event can be resumed after
/// the last whole one.
class SseEventSplitter {
 public:
  void Append(std::string_view bytes) { pending_.append(bytes); }
  /// The next whole event, if any.
  std::optional<RawSseEvent> Next();
  /// Bytes of an event that has not ended.
  const std::string& Remainder() const { return pending_; }
  void Clear() { pending_.clear(); }

 private:
  std::string pending_;
};

}  // namespace cornelplank::serving
