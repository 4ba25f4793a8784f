#pragma once

#include <functional>
#include <optional>
#include <string>

#include "apps/ctl/commands/transport.h"
#include "libs/config/config.h"

namespace cornelplank::ctl {

/// Reads the platform's snapshot and applies the published log to it, with the rules that every gateway uses.
class PublishedLog {
 public:
  PublishedLog(Transport* transport, std::string platform);

  /// Called with each log entry and the result of applying it.
  using OnApplied = std::function<void(const config::LogEntry&, const config::ApplyResult&)>;

  /// Applies all entries up to `last_seq`, or up to the head of the log without it. Returns nothing when the
  /// platform does not answer, its answer can't be parsed or an entry can't be processed; `error` then holds
  /// a message.
  std::optional<config::ConfigStore> Fold(std::optional<uint64_t> last_seq, const OnApplied& on_applied,
                                          std::string* error);

 private:
  enum class Progress {
    kMore,     // the log has further entries
    kHead,     // the last wanted entry was applied
    kTrimmed,  // the log no longer has the entry after the snapshot
    kFailed    // `error` is set
  };

  /// The platform's response with status 200 or 410 (the log was trimmed); else nothing, with a message in
  /// `error`.
  std::optional<HttpResponse> Get(const std::string& path, std::string* error);
  std::optional<config::ConfigStore> ReadSnapshot(std::string* error);
  /// Reads the page of the log that follows the store's position and applies its entries.
  Progress ReadPage(config::ConfigStore* store, std::optional<uint64_t> last_seq, const OnApplied& on_applied,
                    std::string* error);

  Transport* transport_;
  std::string platform_;
};

}  // namespace cornelplank::ctl
