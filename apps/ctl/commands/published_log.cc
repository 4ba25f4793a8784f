#include "apps/ctl/commands/published_log.h"

#include <utility>

namespace cornelplank::ctl {
namespace {

// The platform may trim the log between the reads of the snapshot and of the log. A newer snapshot exists
// then, so both are read again.
constexpr int kMaxSnapshotReads = 3;

std::string ReasonText(const config::ConfigReason& reason) {
  return std::string(config::CodeName(reason.code)) + ": " + reason.detail;
}

}  // namespace

PublishedLog::PublishedLog(Transport* transport, std::string platform)
    : transport_(transport), platform_(std::move(platform)) {
  while (platform_.ends_with('/')) platform_.pop_back();
}

std::optional<HttpResponse> PublishedLog::Get(const std::string& path, std::string* error) {
  std::string problem;
  auto response = transport_->Get(platform_ + path, {}, &problem);
  if (!response) {
    *error = "the platform does not answer at " + platform_ + path + ": " + problem;
  } else if (response->status == 429) {
    *error = "the platform's read rate is exceeded; try again later";
  } else if (response->status != 200 && response->status != 410) {
    *error = "the platform answered " + path + " with status " + std::to_string(response->status) + ": " +
             response->body;
  } else {
    return response;
  }
  return std::nullopt;
}

std::optional<config::ConfigStore> PublishedLog::ReadSnapshot(std::string* error) {
  const auto response = Get("/v1/config/snapshot", error);
  if (!response) return std::nullopt;
  config::ConfigReason reason;
  auto snapshot = config::ParseSnapshot(response->body, &reason);
  if (!snapshot) {
    *error = "the platform's snapshot is not valid: " + ReasonText(reason);
    return std::nullopt;
  }
  return config::ConfigStore::FromSnapshot(*std::move(snapshot), {}, nullptr);
}

PublishedLog::Progress PublishedLog::ReadPage(config::ConfigStore* store, std::optional<uint64_t> last_seq,
                                              const OnApplied& on_applied, std::string* error) {
  const auto response =
      Get("/v1/config/log?after=" + std::to_string(store->version().seq) + "&wait_ms=0", error);
  if (!response) return Progress::kFailed;
  if (response->status == 410) return Progress::kTrimmed;
  config::ConfigReason reason;
  const auto page = config::ParseLogPage(response->body, &reason);
  if (!page) {
    *error = "the platform's log is not readable: " + ReasonText(reason);
    return Progress::kFailed;
  }
  const uint64_t seq_before = store->version().seq;
  for (const config::LogEntry& entry : page->entries) {
    if (last_seq && store->version().seq >= *last_seq) return Progress::kHead;
    const config::ApplyResult result = store->Apply(entry);
    if (result.reason.code == config::ConfigCode::kStale) continue;
    if (!result.processed) {
      *error = "entry " + std::to_string(entry.seq) + " can't be judged: " + ReasonText(result.reason);
      return Progress::kFailed;
    }
    on_applied(entry, result);
  }
  if (store->version().seq >= page->head_seq) return Progress::kHead;
  if (store->version().seq > seq_before) return Progress::kMore;
  *error = "the platform names head " + std::to_string(page->head_seq) + " but returns no entry after " +
           std::to_string(seq_before);
  return Progress::kFailed;
}

std::optional<config::ConfigStore> PublishedLog::Fold(std::optional<uint64_t> last_seq,
                                                      const OnApplied& on_applied, std::string* error) {
  for (int reads = 0; reads < kMaxSnapshotReads; ++reads) {
    auto store = ReadSnapshot(error);
    if (!store) return std::nullopt;
    Progress progress = Progress::kMore;
    while (progress == Progress::kMore && !(last_seq && store->version().seq >= *last_seq)) {
      progress = ReadPage(&*store, last_seq, on_applied, error);
    }
    if (progress == Progress::kFailed) return std::nullopt;
    if (progress != Progress::kTrimmed) return store;
  }
  *error = "the platform's log does not reach back to its snapshot; publish a newer snapshot";
  return std::nullopt;
}

}  // namespace cornelplank::ctl
