#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/internal/document.h"
#include "libs/config/internal/log_entry.h"
#include "libs/config/internal/reason.h"
#include "libs/config/internal/snapshot.h"

namespace cornelplank::config {

/// What a store made of a log entry.
struct ApplyResult {
  bool processed = false;  // false: the entry was not the next one or can't be processed; nothing changed
  bool accepted = false;   // true: the patch is in force
  Version version;         // of the store after the call
  ConfigReason reason;     // kNone when accepted
};

/// A log entry that the store processed, as kept in its history.
struct HistoryEntry {
  LogEntry entry;
  bool accepted = false;
  uint64_t number = 0;  // version number after the entry
  std::string digest;   // chained digest after the entry
  ConfigReason reason;  // the detail is cut to 300 bytes
};

struct StoreOptions {
  int newest_format = kNewestFormat;
  size_t history_entries = 1024;
  size_t history_bytes = 1 << 20;  // patches of the history, in bytes
};

/// XXH128 over the previous digest, the sequence number, the verdict and the patch bytes.
std::string ChainDigest(std::string_view previous, uint64_t seq, std::string_view patch_json, bool accepted);

/// One node's copy of the configuration. It moves forward only: by the next log entry or by a snapshot with a
/// higher sequence number. Every store that judges the same entries has the same version, digest and
/// document. Not thread-safe; `document()` may be shared with other threads.
class ConfigStore {
 public:
  /// Codes: kFormatUnknown.
  static std::optional<ConfigStore> FromSnapshot(Snapshot snapshot, const StoreOptions& options,
                                                 ConfigReason* reason);

  /// Judges the next log entry. Reasons with `processed` false: kGap (entries are missing before it), kStale
  /// (it was processed before), kConflict (another entry was processed under its number), kFormatUnknown (the
  /// document would have an unknown format; this and all later entries stay unjudged until a snapshot is
  /// adopted).
  ApplyResult Apply(const LogEntry& entry);

  /// Adopts a snapshot with a higher seq. Otherwise nothing changes and the reason is kStale, kFormatUnknown,
  /// or kConflict: at the same seq the digest, version or document differs, or the version number would fall.
  bool Adopt(Snapshot snapshot, ConfigReason* reason);

  /// Compares a peer's position with the history. kConflict when the peer has another digest at a seq that
  /// this store knows; nothing when they agree or the seq is unknown here.
  std::optional<ConfigReason> CheckPeerDigest(uint64_t seq, std::string_view digest) const;

  const Version& version() const { return version_; }
  std::shared_ptr<const Document> document() const { return document_; }
  /// True after an entry gave kFormatUnknown.
  bool blocked() const { return blocked_; }
  Snapshot ToSnapshot() const { return {version_, *document_}; }

  /// The processed entries with a sequence number above `seq`, oldest first, about `max_bytes` of patches at
  /// most but at least one. Nothing when the history no longer reaches back to seq + 1.
  std::optional<std::vector<LogEntry>> EntriesAfter(uint64_t seq, size_t max_bytes) const;
  /// The verdict on a recent entry, or null.
  const HistoryEntry* Find(uint64_t seq) const;
  const std::deque<HistoryEntry>& history() const { return history_; }

 private:
  ConfigStore(Snapshot snapshot, const StoreOptions& options);

  ApplyResult NotJudged(ConfigCode code, std::string detail) const;
  ApplyResult JudgeStale(const LogEntry& entry) const;
  void Record(const LogEntry& entry, const ApplyResult& verdict);
  std::optional<ConfigReason> CheckSame(const Snapshot& snapshot) const;

  StoreOptions options_;
  Version version_;
  std::shared_ptr<const Document> document_;
  bool blocked_ = false;
  std::deque<HistoryEntry> history_;  // consecutive; the last one is entry version_.seq
  size_t history_bytes_ = 0;
};

}  // namespace cornelplank::config
