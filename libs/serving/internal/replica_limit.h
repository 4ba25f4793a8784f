#pragma once

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::serving {

/// A replica's statement of its limits, as the VMs of its region pass it on.
struct LimitStatement {
  uint32_t replica_key = 0;          // ReplicaKey of its id
  std::optional<double> per_second;  // requests from all VMs together; none: it states no such limit
  base::Duration age{0};             // since a VM received it from the replica
  std::optional<double> rejections_per_second = std::nullopt;  // the same for RejectionLimit
  bool rejections_known = true;  // false: its sender is of a release that doesn't know RejectionLimit
};

/// A limit that a replica states in its responses, to be kept by all VMs of the region together.
class StatedLimit {
 public:
  /// A replica that has not stated its limit for this long is sent requests as if it had none, within its
  /// limit: only its responses tell when the limit ends.
  static constexpr std::chrono::seconds kConfirmationTime{5};
  /// For how long VMs pass a statement on.
  static constexpr std::chrono::seconds kStatementTime{60};
  /// How long a share is used before it is determined again.
  static constexpr std::chrono::milliseconds kShareTime{250};

  /// Records a statement that was received at `at`, unless a later one is known. Returns whether the limit
  /// has changed.
  bool OnStated(std::optional<double> per_second, base::TimePoint at);
  /// The limit in force, until the replica states that it has ended; none when there is none.
  std::optional<double> PerSecond() const { return per_second_; }
  /// Whether there is a limit that the replica has stated lately.
  bool Confirmed(base::TimePoint now) const {
    return per_second_ && stated_at_ && now - *stated_at_ <= kConfirmationTime;
  }
  /// When the replica last stated whether it has a limit; none when it never has.
  std::optional<base::TimePoint> stated_at() const { return stated_at_; }
  /// Whether this VM's share has to be determined.
  bool ShareDue(base::TimePoint now) const { return now - shared_at_ > kShareTime; }

 protected:
  std::optional<double> per_second_;
  std::optional<base::TimePoint> stated_at_;
  base::TimePoint shared_at_{};  // when the share was last set
};

/// Number of the VMs in `vms` before `own_id` in the order that rendezvous hashing gives them for a replica.
size_t RankOf(std::string_view replica, std::string_view own_id, const std::vector<std::string>& vms);

/// Keeps one replica within the rate of requests that it states, together with the other VMs of the region.
/// The rate is divided without negotiation: a few VMs, chosen by rendezvous hashing over the live ones, have
/// an equal part each, and the others send nothing. There are so few of them that they stay within the
/// tolerance of the platform even if all have a full bucket. Not thread-safe; the caller passes in the time.
class ReplicaLimit : public StatedLimit {
 public:
  /// Size of a VM's bucket, in requests.
  static constexpr double kBucketSize = 1.5;
  /// Number of VMs that send, for each request a second of the limit. The platform tolerates one and a half
  /// times the limit in 4 s: 2 requests beyond the limit for each request a second of it, and
  /// kSendersPerRate * kBucketSize = 2.
  static constexpr double kSendersPerRate = 4.0 / 3;
  /// Least rate that is assumed, so that the replica's next statement is heard. The platform tolerates 5
  /// requests in 4 s beyond the limit.
  static constexpr double kMinRate = 0.2;
  /// Part of a request by which the bucket has to be fuller for each step of priority, so that more urgent
  /// requests are sent first.
  static constexpr double kReservePerPriority = 0.2;
  /// After so many requests without one of the least urgent, the next one need not leave a reserve: less
  /// urgent requests keep a part of the limit.
  static constexpr int kUrgentRun = 3;

  /// Part of the rate `per_second` that VM `own_id` may send to the replica; 0 when it may send nothing.
  /// `vms`: ids of the region's live VMs, this one included.
  static double ShareOf(std::string_view replica, std::string_view own_id,
                        const std::vector<std::string>& vms, double per_second);

  /// As in StatedLimit. The bucket is empty when a limit begins.
  bool OnStated(std::optional<double> per_second, base::TimePoint at);
  /// Sets the rate of this VM, from `ShareOf`. A VM that begins to send has to wait for its first request.
  void SetShare(double rate, base::TimePoint now);
  /// Time until this VM may send a request of `priority`, 0 being the most urgent; zero when it may send one
  /// now, no value when its share is 0.
  std::optional<base::Duration> TimeToSend(int priority, base::TimePoint now) const;
  /// Takes one request out of the bucket.
  void OnSend(int priority, base::TimePoint now);

 private:
  double Tokens(base::TimePoint now) const;

  double share_ = 0;   // requests a second of this VM
  double tokens_ = 0;  // in the bucket at `filled_at_`, in requests
  base::TimePoint filled_at_{};
  int urgent_run_ = 0;  // requests since the last one that leaves the greatest reserve
};

}  // namespace cornelplank::serving
