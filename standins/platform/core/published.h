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

/// Values are at most this long.
inline constexpr size_t kMaxValueBytes = 1000000;

enum class PlatformCode { kNoJson, kTooLong, kInvalid, kGone, kNotFound };
using PlatformReason = base::Reason<PlatformCode>;

/// The configuration as the platform stores it: bytes in published order. It judges nothing.
class PublishedConfig {
 public:
  explicit PublishedConfig(size_t kept_entries) : kept_entries_(kept_entries) {}

  /// Appends an entry, a JSON object without `seq`, and returns its sequence number. Its bytes are kept.
  std::optional<uint64_t> Append(const std::string& text, PlatformReason* reason);
  /// Publishes a snapshot, a JSON object with the member `seq`.
  bool SetSnapshot(const std::string& text, PlatformReason* reason);
  /// Drops the entries before `oldest`.
  void Trim(uint64_t oldest);

  /// The newest snapshot, or kNotFound.
  std::optional<std::string> Snapshot(PlatformReason* reason) const;
  /// The answer of GET /v1/config/log, or kGone when entries after `after` were dropped.
  std::optional<std::string> LogAfter(uint64_t after, PlatformReason* reason) const;
  uint64_t head() const { return head_; }
  /// This configuration as it was when `seq` was its head.
  PublishedConfig AtHead(uint64_t seq) const;

 private:
  struct Entry {
    uint64_t seq;
    std::string text;
  };

  size_t kept_entries_;
  std::vector<Entry> snapshots_;
  std::deque<Entry> entries_;
  uint64_t head_ = 0;
  uint64_t oldest_ = 1;
};

/// The list of VMs, which readers see with a lag.
class PublishedVmList {
 public:
  explicit PublishedVmList(base::Duration lag) : lag_(lag) {}

  /// Replaces the list by the member `vms` of a JSON object. The first list is visible at once.
  bool Publish(const std::string& text, base::TimePoint now, PlatformReason* reason);
  /// The answer of GET /v1/vms.
  std::string VisibleAt(base::TimePoint now) const;

 private:
  struct Version {
    base::TimePoint visible;
    std::string vms;
  };

  base::Duration lag_;
  std::vector<Version> versions_;
};

/// The client directory with its revisions.
class PublishedClients {
 public:
  /// Takes {"clients":[...],"removed":[ids]} as one revision, which it returns.
  std::optional<uint64_t> Update(const std::string& text, PlatformReason* reason);
  /// The answer of GET /v1/clients.
  std::string Since(uint64_t revision) const;

 private:
  struct Record {
    uint64_t revision;
    std::string text;  // empty once removed
  };

  uint64_t revision_ = 0;
  std::map<std::string, Record> records_;  // by client id
};

/// A bucket that fills at a rate, for rate limits. A rate of 0 means no limit.
class PartialTokenBucket {
 public:
  PartialTokenBucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), level_(burst) {}

  /// Takes up to `wanted` and returns how much it took; nothing is taken when less than `least` is there.
  double Take(double wanted, double least, base::TimePoint now);

 private:
  double per_second_;
  double burst_;
  double level_;
  std::optional<base::TimePoint> last_;
};

}  // namespace cornelplank::standins::platform
