#include "libs/serving/internal/replica_limit.h"

#include <algorithm>
#include <string>

namespace cornelplank::serving {
namespace {

// Steps of priority that count for the reserve.
constexpr int kMaxReserveSteps = 2;

}  // namespace

size_t RankOf(std::string_view replica, std::string_view own_id, const std::vector<std::string>& vms) {
  const uint64_t own_weight = base::RendezvousWeight(replica, own_id);
  return static_cast<size_t>(std::count_if(vms.begin(), vms.end(), [&](const std::string& vm) {
    return vm != own_id && base::RendezvousWeight(replica, vm) > own_weight;
  }));
}

bool StatedLimit::OnStated(std::optional<double> per_second, base::TimePoint at) {
  if (stated_at_ && at <= *stated_at_) return false;
  stated_at_ = at;
  if (per_second_ == per_second) return false;
  per_second_ = per_second;
  shared_at_ = {};
  return true;
}

double ReplicaLimit::ShareOf(std::string_view replica, std::string_view own_id,
                             const std::vector<std::string>& vms, double per_second) {
  const double rate = std::max(per_second, kMinRate);
  const auto most = static_cast<size_t>(std::max(1.0, rate * kSendersPerRate));
  const size_t senders = std::min(most, std::max<size_t>(1, vms.size()));
  return RankOf(replica, own_id, vms) < senders ? rate / static_cast<double>(senders) : 0;
}

bool ReplicaLimit::OnStated(std::optional<double> per_second, base::TimePoint at) {
  const bool began = !per_second_;
  if (!StatedLimit::OnStated(per_second, at)) return false;
  if (began) share_ = 0;
  return true;
}

double ReplicaLimit::Tokens(base::TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - filled_at_).count();
  return std::min(kBucketSize, tokens_ + share_ * std::max(0.0, seconds));
}

void ReplicaLimit::SetShare(double rate, base::TimePoint now) {
  tokens_ = share_ > 0 ? Tokens(now) : 0;
  filled_at_ = now;
  shared_at_ = now;
  share_ = rate;
}

std::optional<base::Duration> ReplicaLimit::TimeToSend(int priority, base::TimePoint now) const {
  if (share_ <= 0) return std::nullopt;
  const int steps = urgent_run_ >= kUrgentRun ? 0 : std::clamp(priority, 0, kMaxReserveSteps);
  const double missing = 1 + kReservePerPriority * steps - Tokens(now);
  if (missing <= 0) return base::Duration::zero();
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(missing / share_));
}

void ReplicaLimit::OnSend(int priority, base::TimePoint now) {
  tokens_ = std::max(0.0, Tokens(now) - 1);
  filled_at_ = now;
  urgent_run_ = priority < kMaxReserveSteps ? urgent_run_ + 1 : 0;
}

}  // namespace cornelplank::serving
