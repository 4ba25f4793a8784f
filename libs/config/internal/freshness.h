#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::config {

/// A confirmed node has evidence that is younger than this.
inline constexpr std::chrono::seconds kFreshnessLimit{14};

/// Tracks whether a node may rely on its configuration. All times come from the caller; evidence from peers
/// carries its age as a duration. A node is confirmed by either
/// (a) the platform: within the limit its head was at or below the seq of this node, or
/// (b) gossip: a path to each region within the limit, unless a higher seq has been known for longer than the
///     limit without being reached.
class Freshness {
 public:
  /// `own_region` always has a path.
  explicit Freshness(std::string own_region) : own_region_(std::move(own_region)) {}

  /// The store reached `seq`.
  void Advance(uint64_t seq, base::TimePoint now);
  /// The platform stated its head `age` ago, to this node or to a peer that passed it on.
  void HearPlatform(uint64_t head_seq, base::TimePoint now, base::Duration age);
  /// A VM of `region` was at `seq` when it was heard from, directly or over other peers, `age` ago.
  void HearRegion(const std::string& region, uint64_t seq, base::TimePoint now, base::Duration age);

  /// `regions` are all regions of the document.
  bool Confirmed(const std::vector<std::string>& regions, base::TimePoint now) const;
  bool ConfirmedByPlatform(base::TimePoint now) const;
  bool ConfirmedByGossip(const std::vector<std::string>& regions, base::TimePoint now) const;

  /// The newest evidence, to be passed on in gossip.
  struct Head {
    uint64_t seq;
    base::Duration age;
  };
  std::optional<Head> PlatformHead(base::TimePoint now) const;
  /// Nothing when the region has not been heard from within the limit.
  std::optional<base::Duration> RegionAge(const std::string& region, base::TimePoint now) const;
  /// The highest seq that any evidence named.
  uint64_t highest_seq() const { return highest_seq_; }

 private:
  void NoteSeq(uint64_t seq, base::TimePoint then, base::TimePoint now);
  bool IsStaleHead(uint64_t head_seq, base::TimePoint then) const;

  std::string own_region_;
  uint64_t seq_ = 0;
  uint64_t highest_seq_ = 0;       // named by any evidence
  base::TimePoint highest_at_{};   // time at which it was published already
  uint64_t previous_highest_ = 0;  // before the last rise
  std::optional<base::TimePoint> behind_since_;
  std::map<uint64_t, base::TimePoint> heads_;  // head seq -> latest confirmation
  std::map<std::string, base::TimePoint> regions_;
};

}  // namespace cornelplank::config
