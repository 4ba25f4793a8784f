#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::membership {

/// Decides whether this node's configuration is confirmed, that is, recent enough to act upon. It is
/// confirmed while one of two rules holds, on evidence younger than `kMaxEvidenceAge`:
/// - Rule (a): the platform reported a head of the configuration log (the sequence number of its newest
///   entry) that this node has reached. The report was made to this node or to one whose gossip led here.
/// - Rule (b): gossip from every region has reached this node, directly or by way of other nodes, and this
///   node is not stuck behind a head that it knows of.
///
/// Each `as_of` that a caller passes must be no later than the moment when the fact was true: for an answered
/// call it is the start of the call minus the age given in the answer. Facts from incoming calls must not be
/// passed, because an incoming call may have waited in a stalled connection for any length of time.
/// Not thread-safe.
class Confirmation {
 public:
  static constexpr base::Duration kMaxEvidenceAge = std::chrono::seconds{14};

  Confirmation(size_t regions, size_t own_region);

  /// Changes the number of regions and discards all contacts, because the indices may now mean other regions.
  void SetRegions(size_t regions, size_t own_region);
  /// Records that the platform reported the head `head_seq` at `as_of`. A head below the highest known one
  /// comes from a stale platform server and is ignored.
  void RecordPlatformHead(uint64_t head_seq, base::TimePoint as_of, base::TimePoint now);
  /// Records that this node has processed all log entries up to `seq`; a lower `seq` than before is ignored.
  void SetOwnSeq(uint64_t seq, base::TimePoint now);
  /// Records that information from some VM of the region, sent at `as_of`, has reached this node. A region
  /// index out of range is ignored.
  void RecordRegionContact(size_t region, base::TimePoint as_of);

  /// Whether rule (a) or rule (b) holds. Rule (b) needs only regions with `required[i]` set: regions that
  /// have VMs, since a region without VMs can't hold a newer version.
  bool IsConfirmed(const std::vector<bool>& required, base::TimePoint now) const;
  /// Whether rule (a) holds.
  bool IsPlatformConfirmed(base::TimePoint now) const;

  uint64_t own_seq() const { return own_seq_; }
  /// The highest known head.
  uint64_t head_seq() const { return head_seq_; }
  /// Time since the platform last reported `head_seq()`; Duration::max() if it never did.
  base::Duration HeadAge(base::TimePoint now) const { return Age(head_at_, now); }
  /// Time since the platform last reported a head that this node has reached; Duration::max() if never.
  base::Duration PlatformConfirmationAge(base::TimePoint now) const { return Age(confirmed_at_, now); }
  /// Age of the newest information from the region: 0 for the own region, Duration::max() if there is none.
  base::Duration RegionAge(size_t region, base::TimePoint now) const;
  size_t regions() const { return contact_at_.size(); }

 private:
  static base::Duration Age(base::TimePoint at, base::TimePoint now);

  size_t own_region_;
  std::vector<base::TimePoint> contact_at_;  // newest contact by region index; TimePoint::min() means never
  uint64_t own_seq_ = 0;
  uint64_t head_seq_ = 0;
  base::TimePoint head_at_;       // when the platform last reported head_seq_
  base::TimePoint confirmed_at_;  // when the platform last reported a head that this node has reached
  base::TimePoint behind_since_;  // start of the lag or last progress; valid only while head_seq_ > own_seq_
};

}  // namespace cornelplank::membership
