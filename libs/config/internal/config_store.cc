#include "libs/config/internal/config_store.h"

#include <utility>

#include "libs/config/internal/patch.h"

namespace cornelplank::config {
namespace {

// Limits the memory of the history, which keeps a reason for each entry: the author or a path of a faulty
// patch can be long.
constexpr size_t kMaxDetailBytes = 300;

std::string SeqText(uint64_t seq) { return std::to_string(seq); }

bool IsFormatUnknown(const Snapshot& snapshot, int newest_format, ConfigReason* reason) {
  if (snapshot.document.format <= newest_format) return false;
  base::SetReason(reason, ConfigCode::kFormatUnknown,
                  "format " + std::to_string(snapshot.document.format) +
                      " is above the newest known format " + std::to_string(newest_format));
  return true;
}

}  // namespace

std::string ChainDigest(std::string_view previous, uint64_t seq, std::string_view patch_json, bool accepted) {
  // Different inputs give different bytes, because the patch comes last and the other fields hold no line
  // break.
  std::string bytes(previous);
  bytes += '\n';
  bytes += std::to_string(seq);
  bytes += accepted ? "\naccepted\n" : "\nrefused\n";
  bytes += patch_json;
  return base::Digest128(bytes);
}

ConfigStore::ConfigStore(Snapshot snapshot, const StoreOptions& options)
    : options_(options),
      version_(std::move(snapshot.version)),
      document_(std::make_shared<const Document>(std::move(snapshot.document))) {}

std::optional<ConfigStore> ConfigStore::FromSnapshot(Snapshot snapshot, const StoreOptions& options,
                                                     ConfigReason* reason) {
  if (IsFormatUnknown(snapshot, options.newest_format, reason)) return std::nullopt;
  return ConfigStore(std::move(snapshot), options);
}

ApplyResult ConfigStore::NotProcessed(ConfigCode code, std::string detail) const {
  return {false, false, version_, {code, std::move(detail)}};
}

ApplyResult ConfigStore::CheckOldEntry(const LogEntry& entry) const {
  const HistoryEntry* known = Find(entry.seq);
  if (known != nullptr && known->entry != entry) {
    return NotProcessed(ConfigCode::kConflict,
                        "entry " + SeqText(entry.seq) + " differs from the one judged before");
  }
  return NotProcessed(ConfigCode::kStale,
                      "entry " + SeqText(entry.seq) + " is not above seq " + SeqText(version_.seq));
}

ApplyResult ConfigStore::Apply(const LogEntry& entry) {
  if (entry.seq <= version_.seq) return CheckOldEntry(entry);
  if (blocked_) {
    return NotProcessed(ConfigCode::kFormatUnknown,
                        "entry " + SeqText(version_.seq + 1) + " could not be judged");
  }
  if (entry.seq != version_.seq + 1) {
    return NotProcessed(ConfigCode::kGap,
                        "entry " + SeqText(entry.seq) + " does not follow seq " + SeqText(version_.seq));
  }
  ApplyResult result{true, false, {}, {}};
  if (entry.base != version_.number) {
    const std::string base = entry.base == kNoBase ? "no version" : "version " + std::to_string(entry.base);
    result.reason = {ConfigCode::kBase, "the patch names " + base + ", the current version is " +
                                            std::to_string(version_.number)};
  } else {
    PatchResult patched = ApplyPatch(*document_, entry.author, entry.patch_json, options_.newest_format);
    if (patched.reason.code == ConfigCode::kFormatUnknown) {
      blocked_ = true;
      return NotProcessed(ConfigCode::kFormatUnknown, std::move(patched.reason.detail));
    }
    result.accepted = patched.document.has_value();
    result.reason = std::move(patched.reason);
    if (result.accepted) document_ = std::make_shared<const Document>(*std::move(patched.document));
  }
  version_.digest = ChainDigest(version_.digest, entry.seq, entry.patch_json, result.accepted);
  version_.seq = entry.seq;
  if (result.accepted) ++version_.number;
  result.version = version_;
  AddToHistory(entry, result);
  return result;
}

void ConfigStore::AddToHistory(const LogEntry& entry, const ApplyResult& result) {
  ConfigReason reason = result.reason;
  if (reason.detail.size() > kMaxDetailBytes) reason.detail.resize(kMaxDetailBytes);
  history_.push_back({entry, result.accepted, version_.number, version_.digest, std::move(reason)});
  history_bytes_ += entry.patch_json.size();
  while (history_.size() > options_.history_entries || history_bytes_ > options_.history_bytes) {
    history_bytes_ -= history_.front().entry.patch_json.size();
    history_.pop_front();
  }
}

std::optional<ConfigReason> ConfigStore::CheckSameSeq(const Snapshot& snapshot) const {
  const std::string at = " at seq " + SeqText(version_.seq);
  if (snapshot.version.digest != version_.digest) {
    return ConfigReason{ConfigCode::kConflict, "the snapshot has another digest" + at};
  }
  if (snapshot.version.number != version_.number) {
    return ConfigReason{ConfigCode::kConflict, "the snapshot has another version" + at};
  }
  if (snapshot.document != *document_) {
    return ConfigReason{ConfigCode::kConflict, "the snapshot has another document" + at};
  }
  return std::nullopt;
}

bool ConfigStore::Adopt(Snapshot snapshot, ConfigReason* reason) {
  const uint64_t seq = snapshot.version.seq;
  if (seq == version_.seq) {
    const auto conflict = CheckSameSeq(snapshot);
    base::SetReason(reason, conflict ? conflict->code : ConfigCode::kStale,
                    conflict ? conflict->detail : "the snapshot is the current version");
    return false;
  }
  if (seq < version_.seq) {
    const auto conflict = CheckPeerDigest(seq, snapshot.version.digest);
    base::SetReason(
        reason, conflict ? conflict->code : ConfigCode::kStale,
        conflict ? conflict->detail
                 : "the snapshot at seq " + SeqText(seq) + " is older than seq " + SeqText(version_.seq));
    return false;
  }
  if (IsFormatUnknown(snapshot, options_.newest_format, reason)) return false;
  if (snapshot.version.number < version_.number) {
    base::SetReason(reason, ConfigCode::kConflict,
                    "the snapshot at seq " + SeqText(seq) + " has the lower version " +
                        std::to_string(snapshot.version.number));
    return false;
  }
  *this = ConfigStore(std::move(snapshot), options_);
  return true;
}

std::optional<ConfigReason> ConfigStore::CheckPeerDigest(uint64_t seq, std::string_view digest) const {
  const HistoryEntry* known = Find(seq);
  const bool differs =
      seq == version_.seq ? digest != version_.digest : known != nullptr && known->digest != digest;
  if (!differs) return std::nullopt;
  return ConfigReason{ConfigCode::kConflict, "another digest at seq " + SeqText(seq)};
}

std::optional<std::vector<LogEntry>> ConfigStore::EntriesAfter(uint64_t seq, size_t max_bytes) const {
  std::vector<LogEntry> entries;
  if (seq >= version_.seq) return entries;
  const uint64_t oldest = version_.seq + 1 - history_.size();
  if (seq + 1 < oldest) return std::nullopt;
  size_t bytes = 0;
  for (size_t i = static_cast<size_t>(seq + 1 - oldest); i < history_.size(); ++i) {
    const LogEntry& entry = history_[i].entry;
    bytes += entry.patch_json.size();
    if (!entries.empty() && bytes > max_bytes) break;
    entries.push_back(entry);
  }
  return entries;
}

const HistoryEntry* ConfigStore::Find(uint64_t seq) const {
  const uint64_t oldest = version_.seq + 1 - history_.size();
  if (seq > version_.seq || seq < oldest) return nullptr;
  return &history_[static_cast<size_t>(seq - oldest)];
}

}  // namespace cornelplank::config
