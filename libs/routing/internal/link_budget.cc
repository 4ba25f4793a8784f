#include "libs/routing/internal/link_budget.h"

#include <algorithm>
#include <cmath>

namespace cornelplank::routing {
namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr double kNanosecondsPerSecond = 1e9;

int64_t ToNanoseconds(base::TimePoint time) { return time.time_since_epoch().count(); }

}  // namespace

void ByteBucket::Configure(double rate, double burst) {
  rate_.store(rate, std::memory_order_relaxed);
  burst_ns_.store(rate > 0 ? static_cast<int64_t>(burst / rate * kNanosecondsPerSecond) : 0,
                  std::memory_order_relaxed);
}

int64_t ByteBucket::SendTimeNs(uint64_t bytes) const {
  const double rate = Rate();
  return rate > 0 ? static_cast<int64_t>(std::min(static_cast<double>(bytes) / rate, 3600.0) *
                                         kNanosecondsPerSecond)
                  : 0;
}

void ByteBucket::Take(uint64_t bytes, base::TimePoint now) {
  const int64_t cost = SendTimeNs(bytes);
  int64_t full_at = full_at_ns_.load(std::memory_order_relaxed);
  int64_t next = 0;
  do {
    next = std::max(full_at, ToNanoseconds(now)) + cost;
  } while (!full_at_ns_.compare_exchange_weak(full_at, next, std::memory_order_relaxed));
}

void ByteBucket::Return(uint64_t bytes) {
  full_at_ns_.fetch_sub(SendTimeNs(bytes), std::memory_order_relaxed);
}

base::Duration ByteBucket::Delay(uint64_t bytes, base::TimePoint now) const {
  if (Rate() <= 0) return base::Duration::max();
  const int64_t debt = std::max<int64_t>(full_at_ns_.load(std::memory_order_relaxed) - ToNanoseconds(now), 0);
  const int64_t burst = burst_ns_.load(std::memory_order_relaxed);
  // A message larger than the bucket is sent at the link's rate, so it waits for the part beyond the burst.
  return base::Duration{std::max<int64_t>(debt + SendTimeNs(bytes) - burst, 0)};
}

LinkBudget::LinkBudget(size_t regions) {
  links_.reserve(regions);
  for (size_t i = 0; i < regions; ++i) links_.push_back(std::make_unique<LinkBuckets>());
}

void LinkBudget::Configure(size_t region, double mbit_s, uint32_t nodes) {
  if (region >= links_.size()) return;
  const double rate = mbit_s * kBytesPerMegabit * kOwnForwardShare / std::max(nodes, 1U);
  const double burst = rate * std::chrono::duration<double>(kBurst).count();
  links_[region]->out.Configure(rate, burst);
  links_[region]->in.Configure(rate, burst);
}

void LinkBudget::Take(size_t region, uint64_t request_bytes, uint64_t response_bytes, base::TimePoint now) {
  if (region >= links_.size()) return;
  links_[region]->out.Take(request_bytes, now);
  links_[region]->in.Take(response_bytes, now);
}

void LinkBudget::CorrectResponse(size_t region, uint64_t expected_bytes, uint64_t received_bytes,
                                 base::TimePoint now) {
  if (region >= links_.size()) return;
  if (received_bytes > expected_bytes) {
    links_[region]->in.Take(received_bytes - expected_bytes, now);
  } else {
    links_[region]->in.Return(expected_bytes - received_bytes);
  }
}

void LinkBudget::Cancel(size_t region, uint64_t request_bytes, uint64_t response_bytes) {
  if (region >= links_.size()) return;
  links_[region]->out.Return(request_bytes);
  links_[region]->in.Return(response_bytes);
}

base::Duration LinkBudget::Delay(size_t region, uint64_t request_bytes, uint64_t response_bytes,
                                 base::TimePoint now) const {
  if (region >= links_.size()) return base::Duration::max();
  const base::Duration out = links_[region]->out.Delay(request_bytes, now);
  const base::Duration in = links_[region]->in.Delay(response_bytes, now);
  if (out == base::Duration::max() || in == base::Duration::max()) return base::Duration::max();
  return out + in;
}

}  // namespace cornelplank::routing
