#pragma once

#include <functional>
#include <optional>
#include <string>

#include "apps/ctl/commands/transport.h"
#include "libs/config/config.h"

namespace cornelplank::ctl {

/// Reads the platform's snapshot and folds the published log into it, as every node does.
class PublishedLog {
 public:
  PublishedLog(Transport* transport, std::string platform);

  /// Called with each entry and its verdict.
  using OnVerdict = std::function<void(const config::LogEntry&, const config::ApplyResult&)>;

  /// Folds all entries up to `last_seq`, or up to the head without it. Nothing when the platform does not
  /// answer, its answer is not readable or an entry can't be judged; `error` then holds a sentence.
  std::optional<config::ConfigStore> Fold(std::optional<uint64_t> last_seq, const OnVerdict& on_verdict,
                                          std::string* error);

 private:
  enum class Progress { kMore, kHead, kTrimmed, kFailed };

  std::optional<HttpAnswer> Get(const std::string& path, std::string* error);
  std::optional<config::ConfigStore> ReadSnapshot(std::string* error);
  Progress ReadPage(config::ConfigStore* store, std::optional<uint64_t> last_seq, const OnVerdict& on_verdict,
                    std::string* error);

  Transport* transport_;
  std::string platform_;
};

}  // namespace cornelplank::ctl
