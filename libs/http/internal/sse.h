#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace cornelplank::http {

/// The terminal payload of a stream of completions.
inline constexpr std::string_view kSseDone = "[DONE]";

/// One server-sent event.
struct SseEvent {
  std::string event;  // empty for the default type
  std::string data;
};

/// The wire form of one event, with the closing blank line.
std::string FormatSse(const SseEvent& event);

/// Splits a byte stream into server-sent events, whatever the boundaries of the reads.
class SseParser {
 public:
  /// An event of more bytes is refused, so that a broken upstream can't fill the memory.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  /// Feeds bytes and hands each finished event to `on_event`. False when an event is too long or when
  /// `on_event` returned false.
  bool Feed(std::string_view bytes, const std::function<bool(const SseEvent&)>& on_event);

 private:
  bool TakeLine(const std::function<bool(const SseEvent&)>& on_event);

  std::string line_;
  SseEvent event_;
  bool has_data_ = false;
};

}  // namespace cornelplank::http
