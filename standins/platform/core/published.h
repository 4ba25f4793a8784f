#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::standins::platform {

/// Greatest length of a published value, and roughly of the entries in one answer of the log.
inline constexpr size_t kMaxValueBytes = 1000000;

/// Why a value was refused or can't be read.
enum class PlatformCode { kNoJson, kTooLong, kInvalid, kGone, kNotFound };
using PlatformReason = base::Reason<PlatformCode>;

/// The configuration as the platform stores it: snapshots, and a log of numbered entries in published order.
/// Except for the sequence number, neither is interpreted or validated.
class PublishedConfig {
 public:
  explicit PublishedConfig(size_t kept_entries) : kept_entries_(kept_entries) {}

  /// Appends an entry, a JSON object without the member `seq`, and returns its sequence number. The bytes of
  /// the entry are kept as they are, with `seq` added as first member. Drops the oldest entry when more than
  /// `kept_entries` are held. Returns no value when the text is too long, no JSON object or has a `seq`.
  std::optional<uint64_t> Append(const std::string& text, PlatformReason* reason);
  /// Publishes a snapshot, a JSON object with the member `seq`. When it is newer than the log, the log is
  /// emptied and goes on after it. Returns false when the text is too long, no JSON object or has no `seq`.
  bool SetSnapshot(const std::string& text, PlatformReason* reason);
  /// Drops the log entries before the sequence number `oldest`.
  void Trim(uint64_t oldest);

  /// The snapshot published last; no value and kNotFound when there is none.
  std::optional<std::string> Snapshot(PlatformReason* reason) const;
  /// The body of an answer to GET /v1/config/log with the entries after `after`; no value and kGone when some
  /// of them were dropped.
  std::optional<std::string> LogAfter(uint64_t after, PlatformReason* reason) const;
  /// The newest sequence number.
  uint64_t head() const { return head_; }
  /// This configuration as it was when `seq` was its newest sequence number.
  PublishedConfig AtHead(uint64_t seq) const;

 private:
  struct Entry {
    uint64_t seq;
    std::string text;
  };

  size_t kept_entries_;
  std::vector<Entry> snapshots_;  // in published order
  std::deque<Entry> entries_;
  uint64_t head_ = 0;
  uint64_t oldest_ = 1;  // entries before this sequence number were dropped
};

/// The list of VMs, which readers see with a lag.
class PublishedVmList {
 public:
  explicit PublishedVmList(base::Duration lag) : lag_(lag) {}

  /// Replaces the list by the array `vms` of a JSON object. The first list is visible at once, later ones
  /// after the lag. Returns false when the text is too long, no JSON object or has no such array.
  bool Publish(const std::string& text, base::TimePoint now, PlatformReason* reason);
  /// The body of an answer to GET /v1/vms: the list that is visible at `now`, with the lag as its age.
  std::string VisibleAt(base::TimePoint now) const;

 private:
  struct Version {
    base::TimePoint visible;  // from this time on
    std::string vms;          // JSON array
  };

  base::Duration lag_;
  std::vector<Version> versions_;
};

/// The clients, each with the revision of its last change.
class PublishedClients {
 public:
  /// Applies {"clients":[...],"removed":[ids]} as one revision and returns its number. Returns no value when
  /// the text is too long, no JSON object or a client has no id.
  std::optional<uint64_t> Update(const std::string& text, PlatformReason* reason);
  /// The body of an answer to GET /v1/clients with the changes after `revision`.
  std::string Since(uint64_t revision) const;

 private:
  struct Record {
    uint64_t revision;
    std::string text;  // JSON object; empty when the client was removed
  };

  uint64_t revision_ = 0;
  std::map<std::string, Record> records_;  // by client id
};

/// Token bucket for rate limits that may grant a part of what is asked for. A rate of 0 means no limit.
class PartialTokenBucket {
 public:
  PartialTokenBucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), level_(burst) {}

  /// Takes up to `wanted` tokens and returns how many it took. Takes none when fewer than `min_taken` are
  /// left.
  double Take(double wanted, double min_taken, base::TimePoint now);

 private:
  double per_second_;
  double burst_;
  double level_;  // tokens at the time `last_`
  std::optional<base::TimePoint> last_;
};

}  // namespace cornelplank::standins::platform
