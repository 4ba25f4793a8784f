#include "libs/membership/internal/confirmation.h"

#include <algorithm>

namespace cornelplank::membership {

Confirmation::Confirmation(size_t regions, size_t own_region)
    : own_region_(own_region),
      contact_at_(regions, base::TimePoint::min()),
      head_at_(base::TimePoint::min()),
      confirmed_at_(base::TimePoint::min()) {}

void Confirmation::SetRegions(size_t regions, size_t own_region) {
  own_region_ = own_region;
  contact_at_.assign(regions, base::TimePoint::min());
}

base::Duration Confirmation::Age(base::TimePoint at, base::TimePoint now) {
  return at == base::TimePoint::min() ? base::Duration::max() : std::max(now - at, base::Duration{0});
}

void Confirmation::RecordPlatformHead(uint64_t head_seq, base::TimePoint as_of, base::TimePoint now) {
  if (head_seq < head_seq_) return;
  as_of = std::min(as_of, now);
  if (head_seq > head_seq_) {
    if (head_seq_ <= own_seq_) behind_since_ = now;
    head_seq_ = head_seq;
    head_at_ = as_of;
  } else {
    head_at_ = std::max(head_at_, as_of);
  }
  if (own_seq_ >= head_seq_) confirmed_at_ = std::max(confirmed_at_, head_at_);
}

void Confirmation::SetOwnSeq(uint64_t seq, base::TimePoint now) {
  if (seq <= own_seq_) return;
  own_seq_ = seq;
  behind_since_ = now;  // a node that makes progress isn't stuck behind the head
  // Entries beyond the head came from a peer; no report of the platform has confirmed them to this node yet.
  if (seq > head_seq_) {
    head_seq_ = seq;
    head_at_ = base::TimePoint::min();
  } else {
    RecordPlatformHead(head_seq_, head_at_, now);
  }
}

void Confirmation::RecordRegionContact(size_t region, base::TimePoint as_of) {
  if (region < contact_at_.size()) contact_at_[region] = std::max(contact_at_[region], as_of);
}

base::Duration Confirmation::RegionAge(size_t region, base::TimePoint now) const {
  if (region == own_region_) return base::Duration{0};
  return region < contact_at_.size() ? Age(contact_at_[region], now) : base::Duration::max();
}

bool Confirmation::IsPlatformConfirmed(base::TimePoint now) const {
  return PlatformConfirmationAge(now) < kMaxEvidenceAge;
}

bool Confirmation::IsConfirmed(const std::vector<bool>& required, base::TimePoint now) const {
  if (IsPlatformConfirmed(now)) return true;
  if (head_seq_ > own_seq_ && now - behind_since_ >= kMaxEvidenceAge) return false;
  for (size_t region = 0; region < contact_at_.size(); ++region) {
    if (region < required.size() && !required[region]) continue;
    if (RegionAge(region, now) >= kMaxEvidenceAge) return false;
  }
  return !contact_at_.empty();
}

}  // namespace cornelplank::membership
