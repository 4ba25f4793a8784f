#include "libs/serving/internal/rejection_limit.h"

#include <algorithm>

namespace cornelplank::serving {
namespace {

// Greatest limit that is divided; a greater one limits nothing.
constexpr double kMaxPerSecond = 1e6;

/// The part of the VM at `place` when `total` is divided among `vms` VMs and the first ones get one more.
uint32_t PartOf(uint32_t total, size_t place, size_t vms) {
  return static_cast<uint32_t>(total / vms + (place < total % vms ? 1 : 0));
}

}  // namespace

RejectionLimit::Share RejectionLimit::ShareOf(std::string_view replica, std::string_view own_id,
                                              const std::vector<std::string>& vms, uint32_t slots,
                                              double per_second) {
  const size_t count = std::max<size_t>(1, vms.size());
  const size_t rank = std::min(RankOf(replica, own_id, vms), count - 1);
  const auto borrows = static_cast<uint32_t>(std::clamp(per_second, 0.0, kMaxPerSecond));
  // The VMs that get no slot, or one less, are the first to borrow.
  return {PartOf(slots, rank, count), PartOf(borrows, count - 1 - rank, count)};
}

void RejectionLimit::SetShare(const Share& share, base::TimePoint now) {
  share_ = share;
  shared_at_ = now;
}

void RejectionLimit::Assume(double per_second) {
  if (!stated_at_) per_second_ = per_second;
}

std::optional<base::Duration> RejectionLimit::TimeToSend(const Load& load, bool may_borrow,
                                                         base::TimePoint now) const {
  if (now < rejected_until_) return rejected_until_ - now;
  if (load.all >= load.slots) return std::nullopt;
  if (load.own < share_.slots) return base::Duration::zero();
  if (!may_borrow || share_.borrows == 0) return std::nullopt;
  if (borrowed_.size() < share_.borrows) return base::Duration::zero();
  const base::TimePoint next = borrowed_[borrowed_.size() - share_.borrows] + kWindow;
  return std::max<base::Duration>(next - now, base::Duration::zero());
}

void RejectionLimit::OnSend(uint32_t own, base::TimePoint now) {
  if (!per_second_ || own < share_.slots) return;
  while (!borrowed_.empty() && now - borrowed_.front() > kWindow) borrowed_.pop_front();
  borrowed_.push_back(now);
}

}  // namespace cornelplank::serving
