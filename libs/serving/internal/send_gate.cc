#include "libs/serving/internal/send_gate.h"

#include <algorithm>

#include "libs/serving/internal/cold_start_limiter.h"

namespace cornelplank::serving {
namespace {

constexpr std::chrono::seconds kEjectedPenalty{5};

}  // namespace

SendPermission SendGate::CheckStanding(const TrackedReplica& replica, const ReplicaRegistry& registry,
                                       base::TimePoint now) {
  SendPermission permission;
  if (replica.published.leaving || replica.said_leaving) {
    permission.block = SendBlock::kLeaving;
  } else if (registry.EvacuatedZones().contains(replica.published.zone)) {
    permission.block = SendBlock::kEvacuated;
  } else if (now < replica.pushed_back_until) {
    permission.block = SendBlock::kPushedBack;
    permission.wait = replica.pushed_back_until - now;
  }
  return permission;
}

const std::vector<std::string>& SendGate::Vms() {
  if (vms_.empty()) vms_ = hops_.OwnRegionVms();
  return vms_;
}

SendPermission SendGate::CheckRoom(TrackedReplica& replica, double per_second, bool may_borrow) {
  SendPermission permission;
  RejectionLimit& limit = replica.rejection_limit;
  const uint32_t slots = std::max<uint32_t>(1, replica.published.slots);
  if (limit.ShareDue(now_)) {
    limit.SetShare(RejectionLimit::ShareOf(replica.published.id, own_id_, Vms(), slots, per_second), now_);
  }
  const auto wait =
      limit.TimeToSend({replica.own_work.requests, replica.OccupiedSlots(now_), slots}, may_borrow, now_);
  if (!wait || wait->count() > 0) {
    permission.block = SendBlock::kNoRoom;
    permission.wait = wait;
  }
  return permission;
}

SendPermission SendGate::Check(TrackedReplica& replica, const ServiceConfig& service, int priority,
                               bool may_borrow) {
  SendPermission permission = CheckStanding(replica, registry_, now_);
  if (!permission.allowed()) return permission;
  if (now_ < replica.full_until) {
    permission.block = SendBlock::kFull;
    permission.wait = replica.full_until - now_;
    return permission;
  }
  if (replica.IsCold(now_)) {
    const base::Duration interval = ColdStartLimiter::SendInterval(replica.published.id, own_id_, Vms(),
                                                                   service.cold_requests_per_second);
    const base::TimePoint next = replica.last_cold_send + interval;
    if (interval.count() == 0 || now_ < next) {
      permission.block = SendBlock::kCold;
      permission.wait = replica.ColdUntil() - now_;
      if (interval.count() > 0) permission.wait = std::min(*permission.wait, next - now_);
      return permission;
    }
    permission.penalty += kColdPenalty;
  }
  if (const auto rate = replica.limit.PerSecond()) {
    if (replica.limit.ShareDue(now_)) {
      replica.limit.SetShare(ReplicaLimit::ShareOf(replica.published.id, own_id_, Vms(), *rate), now_);
    }
    const auto wait = replica.limit.TimeToSend(priority, now_);
    if (!wait || wait->count() > 0) {
      permission.block = SendBlock::kLimited;
      permission.wait = wait;
      return permission;
    }
  }
  if (const auto rejections = replica.rejection_limit.PerSecond()) {
    const SendPermission room = CheckRoom(replica, *rejections, may_borrow);
    if (!room.allowed()) return room;
  }
  if (replica.IsEjected(now_)) permission.penalty += kEjectedPenalty;
  if (replica.unlisted_since) permission.penalty += kUnlistedPenalty;
  return permission;
}

}  // namespace cornelplank::serving
