#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace cornelplank::http {

/// The data of the last event in a stream of completions.
inline constexpr std::string_view kSseDone = "[DONE]";

/// One server-sent event.
struct SseEvent {
  std::string event;  // empty for the default type
  std::string data;
};

/// Returns the wire form of one event, with the blank line that ends it.
std::string FormatSse(const SseEvent& event);

/// Parses server-sent events from a byte stream that arrives in parts of any size. Fields other than `event`
/// and `data`, and events without data, are ignored.
class SseParser {
 public:
  /// A longer event is refused, so that a faulty upstream can't exhaust the memory.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  /// Parses `bytes` and passes each complete event to `on_event`. Returns false when an event is too long or
  /// `on_event` returned false; the parser must not be used any more then.
  bool Feed(std::string_view bytes, const std::function<bool(const SseEvent&)>& on_event);

 private:
  /// Parses the complete line in `line_`. Returns false when `on_event` returned false.
  bool ParseLine(const std::function<bool(const SseEvent&)>& on_event);

  std::string line_;  // the line being received
  SseEvent event_;    // the fields of the event received so far
  bool has_data_ = false;
};

}  // namespace cornelplank::http
