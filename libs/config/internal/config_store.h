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

/// The result of ConfigStore::Apply.
struct ApplyResult {
  bool processed = false;  // false: not the next entry, or its format is unknown; nothing changed
  bool accepted = false;   // true: the patch was applied; false: refused, or not processed
  Version version;         // the store's version after the call
  ConfigReason reason;     // kNone when accepted
};

/// A processed log entry in the history of a store.
struct HistoryEntry {
  LogEntry entry;
  bool accepted = false;
  uint64_t number = 0;  // version number after the entry
  std::string digest;   // chained digest after the entry
  ConfigReason reason;  // kNone when accepted; the detail is cut to 300 bytes
};

struct StoreOptions {
  int newest_format = kNewestFormat;  // entries and snapshots of a higher format are not processed
  size_t history_entries = 1024;      // most entries that the history keeps
  size_t history_bytes = 1 << 20;     // largest total size of its patches, in bytes
};

/// The digest of the hash chain after an entry: XXH128 over the previous digest, the sequence number, whether
/// the entry was accepted, and the bytes of the patch.
std::string ChainDigest(std::string_view previous, uint64_t seq, std::string_view patch_json, bool accepted);

/// One node's copy of the configuration, a replicated state machine. Its sequence number only rises: with the
/// next log entry, or with a snapshot of a higher sequence number. All stores that processed the same entries
/// have the same version, digest and document. Not thread-safe; the result of `document()` may be shared with
/// other threads.
class ConfigStore {
 public:
  /// A store that starts at `snapshot`. If the snapshot's format is unknown, the result is empty and `reason`
  /// (may be null) holds kFormatUnknown.
  static std::optional<ConfigStore> FromSnapshot(Snapshot snapshot, const StoreOptions& options,
                                                 ConfigReason* reason);

  /// Processes the next log entry: accepts its patch or refuses it. `processed` is false with these reasons:
  /// kGap: entries before it are missing; kStale: it was processed before; kConflict: a different entry was
  /// processed under its sequence number; kFormatUnknown: the document would have an unknown format, and this
  /// and all later entries stay unprocessed until a snapshot is adopted.
  ApplyResult Apply(const LogEntry& entry);

  /// Replaces the state by a snapshot with a higher sequence number, drops the history and returns true.
  /// Otherwise returns false and changes nothing. `reason` (may be null) is then kStale, kFormatUnknown or
  /// kConflict. kConflict: the snapshot contradicts what this store knows about the same sequence number, or
  /// its version number is lower than the current one.
  bool Adopt(Snapshot snapshot, ConfigReason* reason);

  /// Compares the digest that a peer has at `seq` with this store's. Returns kConflict when they differ, and
  /// nothing when they agree or this store no longer or not yet has a digest at `seq`.
  std::optional<ConfigReason> CheckPeerDigest(uint64_t seq, std::string_view digest) const;

  const Version& version() const { return version_; }
  std::shared_ptr<const Document> document() const { return document_; }
  /// True after an entry gave kFormatUnknown, until a snapshot is adopted.
  bool blocked() const { return blocked_; }
  Snapshot ToSnapshot() const { return {version_, *document_}; }

  /// The processed entries with a sequence number above `seq`, oldest first, with at most `max_bytes` of
  /// patches in total but at least one entry if there is any. Returns nothing when the history no longer
  /// reaches back to seq + 1.
  std::optional<std::vector<LogEntry>> EntriesAfter(uint64_t seq, size_t max_bytes) const;
  /// The entry `seq` of the history, or null when the history does not hold it.
  const HistoryEntry* Find(uint64_t seq) const;
  const std::deque<HistoryEntry>& history() const { return history_; }

 private:
  ConfigStore(Snapshot snapshot, const StoreOptions& options);

  ApplyResult NotProcessed(ConfigCode code, std::string detail) const;
  ApplyResult CheckOldEntry(const LogEntry& entry) const;
  void AddToHistory(const LogEntry& entry, const ApplyResult& result);
  std::optional<ConfigReason> CheckSameSeq(const Snapshot& snapshot) const;

  StoreOptions options_;
  Version version_;
  std::shared_ptr<const Document> document_;
  bool blocked_ = false;
  std::deque<HistoryEntry> history_;  // consecutive sequence numbers, the last one is version_.seq
  size_t history_bytes_ = 0;          // total size of the patches in history_, in bytes
};

}  // namespace cornelplank::config
