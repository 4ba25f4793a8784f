#include "libs/config/internal/freshness.h"

#include <algorithm>

namespace cornelplank::config {
namespace {

// Heads confirmed within the limit. Dropping the lowest ones can only make the node less confirmed.
constexpr size_t kMaxHeads = 64;

base::TimePoint Before(base::TimePoint now, base::Duration age) {
  return now - std::clamp(age, base::Duration::zero(), base::Duration{kFreshnessLimit});
}

bool IsFresh(base::TimePoint then, base::TimePoint now) { return now - then < kFreshnessLimit; }

}  // namespace

void Freshness::NoteSeq(uint64_t seq, base::TimePoint then, base::TimePoint now) {
  if (seq > highest_seq_) {
    previous_highest_ = highest_seq_;
    highest_seq_ = seq;
    highest_at_ = then;
    // A lower head that was stated after this seq existed came from a stale platform.
    std::erase_if(heads_, [&](const auto& head) { return head.second >= then; });
  } else if (seq == highest_seq_) {
    highest_at_ = std::min(highest_at_, then);
  }
  if (highest_seq_ <= seq_) {
    behind_since_.reset();
  } else if (!behind_since_) {
    behind_since_ = now;
  }
}

bool Freshness::IsStaleHead(uint64_t head_seq, base::TimePoint then) const {
  // A head below the highest known seq is believed only for the time before that seq was known. Only the last
  // rise is remembered, so heads below the one before are never believed.
  return head_seq < highest_seq_ && (then >= highest_at_ || head_seq < previous_highest_);
}

void Freshness::Advance(uint64_t seq, base::TimePoint now) {
  if (seq <= seq_) return;
  seq_ = seq;
  behind_since_.reset();
  NoteSeq(seq, now, now);
}

void Freshness::HearPlatform(uint64_t head_seq, base::TimePoint now, base::Duration age) {
  const base::TimePoint then = Before(now, age);
  NoteSeq(head_seq, then, now);
  if (!IsFresh(then, now) || IsStaleHead(head_seq, then)) return;
  base::TimePoint& latest = heads_.emplace(head_seq, then).first->second;
  latest = std::max(latest, then);
  while (heads_.size() > kMaxHeads) heads_.erase(heads_.begin());
}

void Freshness::HearRegion(const std::string& region, uint64_t seq, base::TimePoint now, base::Duration age) {
  const base::TimePoint then = Before(now, age);
  NoteSeq(seq, then, now);
  const auto [entry, is_new] = regions_.emplace(region, then);
  if (!is_new) entry->second = std::max(entry->second, then);
}

bool Freshness::ConfirmedByPlatform(base::TimePoint now) const {
  const auto above = heads_.upper_bound(seq_);
  return std::any_of(heads_.begin(), above, [&](const auto& head) { return IsFresh(head.second, now); });
}

bool Freshness::ConfirmedByGossip(const std::vector<std::string>& regions, base::TimePoint now) const {
  if (behind_since_ && !IsFresh(*behind_since_, now)) return false;
  return std::all_of(regions.begin(), regions.end(), [&](const std::string& region) {
    return region == own_region_ || RegionAge(region, now).has_value();
  });
}

bool Freshness::Confirmed(const std::vector<std::string>& regions, base::TimePoint now) const {
  return ConfirmedByPlatform(now) || ConfirmedByGossip(regions, now);
}

std::optional<Freshness::Head> Freshness::PlatformHead(base::TimePoint now) const {
  if (heads_.empty() || !IsFresh(heads_.rbegin()->second, now)) return std::nullopt;
  return Head{heads_.rbegin()->first, now - heads_.rbegin()->second};
}

std::optional<base::Duration> Freshness::RegionAge(const std::string& region, base::TimePoint now) const {
  const auto found = regions_.find(region);
  if (found == regions_.end() || !IsFresh(found->second, now)) return std::nullopt;
  return now - found->second;
}

}  // namespace cornelplank::config
