#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::membership {

/// Decides whether this node is confirmed: within `kMaxEvidenceAge` either the platform confirmed the head of
/// the configuration log (to this node or to one it heard from), or a gossip path led to every region.
///
/// Callers pass moments that are at the latest when the fact held: for an answered call the start of the call
/// minus the age in the answer. Facts in incoming calls have no such bound and are not to be passed, because
/// a call may have waited in a silent connection. Not thread-safe.
class Confirmation {
 public:
  static constexpr base::Duration kMaxEvidenceAge = std::chrono::seconds{14};

  Confirmation(size_t regions, size_t own_region);

  /// Changes the number of regions; keeps nothing of the old ones because indices may have moved.
  void SetRegions(size_t regions, size_t own_region);
  /// The head of the log was `head_seq` at `as_of`. A head below the highest one seen is stale and ignored.
  void RecordPlatformHead(uint64_t head_seq, base::TimePoint as_of, base::TimePoint now);
  /// This node has judged all entries up to `seq`.
  void SetOwnSeq(uint64_t seq, base::TimePoint now);
  /// Some VM of the region was on a gossip path at `as_of`. An index out of range is ignored.
  void RecordRegionContact(size_t region, base::TimePoint as_of);

  /// `required[i]`: region i has VMs; a region without VMs can hold no version.
  bool IsConfirmed(const std::vector<bool>& required, base::TimePoint now) const;
  /// Rule (a) only.
  bool IsPlatformConfirmed(base::TimePoint now) const;

  uint64_t own_seq() const { return own_seq_; }
  /// The highest head seen and the age of its youngest confirmation.
  uint64_t head_seq() const { return head_seq_; }
  base::Duration HeadAge(base::TimePoint now) const { return Age(head_at_, now); }
  /// Time since the platform confirmed a head that this node has reached.
  base::Duration PlatformConfirmationAge(base::TimePoint now) const { return Age(confirmed_at_, now); }
  base::Duration RegionAge(size_t region, base::TimePoint now) const;
  size_t regions() const { return contact_at_.size(); }

 private:
  static base::Duration Age(base::TimePoint at, base::TimePoint now);

  size_t own_region_;
  std::vector<base::TimePoint> contact_at_;
  uint64_t own_seq_ = 0;
  uint64_t head_seq_ = 0;
  base::TimePoint head_at_;
  base::TimePoint confirmed_at_;
  base::TimePoint behind_since_;  // meaningful while head_seq_ > own_seq_
};

}  // namespace cornelplank::membership
