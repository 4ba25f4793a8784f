#include "libs/serving/internal/cold_start_limiter.h"

#include <algorithm>
#include <cmath>

namespace cornelplank::serving {

base::Duration ColdStartLimiter::SendInterval(std::string_view replica, std::string_view own_id,
                                              const std::vector<std::string>& vms, double per_second) {
  if (per_second <= 0) return base::Duration::zero();
  const size_t senders = std::max<size_t>(1, static_cast<size_t>(per_second));
  const uint64_t own_weight = base::RendezvousWeight(replica, own_id);
  size_t ahead = 0;  // VMs that rank before this one
  for (const std::string& vm : vms) {
    if (vm != own_id && base::RendezvousWeight(replica, vm) > own_weight) ++ahead;
  }
  if (ahead >= senders) return base::Duration::zero();
  const double sharing = static_cast<double>(std::min(senders, vms.size()));
  const auto interval = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::max(1.0, sharing) / per_second));
  return std::max<base::Duration>(interval, kMinInterval);
}

}  // namespace cornelplank::serving
