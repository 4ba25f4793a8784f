#pragma once

#include <deque>

#include "libs/serving/internal/replica_limit.h"

namespace cornelplank::serving {

/// Keeps the requests that a replica has to reject for want of room within the number a second that it
/// states, together with the other VMs of the region. Its slots are divided among the VMs, so that requests
/// within a VM's part find room without negotiation. A VM may borrow a slot of the others' parts when the
/// replica seems to have a free one. A borrowed slot may lead to one rejection, of this request or of one of
/// the slot's owner, so the number of borrowed slots a second is divided too. Not thread-safe; the caller
/// passes in the time.
class RejectionLimit : public StatedLimit {
 public:
  /// The second of the limit, and a margin for requests that take longer to arrive than others.
  static constexpr std::chrono::milliseconds kWindow{1150};

  /// What one VM has of a replica.
  struct Share {
    uint32_t slots = 0;    // requests that it may have outstanding there
    uint32_t borrows = 0;  // requests beyond its slots in kWindow
  };
  /// The requests that are outstanding at a replica.
  struct Load {
    uint32_t own = 0;  // of this VM
    uint32_t all = 0;  // of all VMs, as far as this one knows
    uint32_t slots = 1;
  };

  /// The share of VM `own_id`. `vms`: ids of the region's live VMs, this one included.
  static Share ShareOf(std::string_view replica, std::string_view own_id, const std::vector<std::string>& vms,
                       uint32_t slots, double per_second);

  void SetShare(const Share& share, base::TimePoint now);
  /// Takes over the limit of another replica of the service until this one makes a statement.
  void Assume(double per_second);
  /// Time until this VM may send a request; zero when it may send one now, no value when that is unknown.
  std::optional<base::Duration> TimeToSend(const Load& load, bool may_borrow, base::TimePoint now) const;
  /// Records a request. `own`: this VM's requests that were outstanding before.
  void OnSend(uint32_t own, base::TimePoint now);
  /// Records that the replica has rejected a request of this VM for want of room.
  void OnRejected(base::TimePoint now) { rejected_until_ = now + kWindow; }

 private:
  Share share_;
  std::deque<base::TimePoint> borrowed_;  // the last ones, at most `share_.borrows`
  base::TimePoint rejected_until_{};      // nothing is sent before
};

}  // namespace cornelplank::serving
