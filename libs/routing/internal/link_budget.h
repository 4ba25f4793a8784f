#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::routing {

/// Bytes that one node may still send over one link in one direction: a token bucket over real time. It may
/// be overdrawn by requests that are accounted at the same time; the debt delays the ones after them.
class ByteBucket {
 public:
  /// `rate` in bytes per second, `burst` in bytes.
  void Configure(double rate, double burst);

  /// Takes `bytes`, even into debt.
  void Take(uint64_t bytes, base::TimePoint now);
  /// Gives back bytes that were taken and not sent.
  void Return(uint64_t bytes);
  /// Time until `bytes` could be sent without debt; zero when they can be sent now, `Duration::max()` when
  /// the link has no capacity.
  base::Duration Delay(uint64_t bytes, base::TimePoint now) const;
  double Rate() const { return rate_.load(std::memory_order_relaxed); }

 private:
  // The state is the time at which the bucket will be full again ("theoretical arrival time"), in
  // nanoseconds. One atomic word then holds both the level and the time of its last change.
  int64_t Cost(uint64_t bytes) const;

  std::atomic<double> rate_{0};
  std::atomic<int64_t> burst_ns_{0};
  std::atomic<int64_t> full_at_{0};
};

/// The node's share of the links between its own region and the others, both directions. The share is 1/n of
/// the link for n live nodes of the region, and half of that in each direction is kept for the forwards of
/// the other side: their answers go out and their requests come in over the same link.
class LinkBudget {
 public:
  static constexpr double kOwnForwards = 0.5;
  static constexpr std::chrono::milliseconds kBurst{250};

  explicit LinkBudget(size_t regions);

  /// Sets the rate of the link to `region` (megabits per second each way) for `nodes` live nodes.
  void Configure(size_t region, double mbit_s, uint32_t nodes);

  /// Accounts a forward: `request_bytes` go out and `response_bytes` are expected back.
  void Take(size_t region, uint64_t request_bytes, uint64_t response_bytes, base::TimePoint now);
  /// Corrects the estimate of the response by what was received.
  void CorrectResponse(size_t region, uint64_t expected_bytes, uint64_t received_bytes, base::TimePoint now);
  /// Returns both directions of a forward that wasn't sent.
  void Cancel(size_t region, uint64_t request_bytes, uint64_t response_bytes);

  /// Time that a forward of this size waits for the link, out and back together.
  base::Duration Delay(size_t region, uint64_t request_bytes, uint64_t response_bytes,
                       base::TimePoint now) const;

 private:
  struct Direction {
    ByteBucket out;
    ByteBucket in;
  };
  std::vector<std::unique_ptr<Direction>> links_;
};

}  // namespace cornelplank::routing
