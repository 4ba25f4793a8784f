#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::routing {

/// A lock-free token bucket that limits the bytes which one node sends over one link in one direction.
/// Concurrent requests may overdraw it; the debt then delays later requests. Thread-safe.
class ByteBucket {
 public:
  /// Sets the rate in bytes per second and the burst in bytes. A rate of 0 means that nothing can be sent.
  void Configure(double rate, double burst);

  /// Takes `bytes`, also when the bucket holds fewer.
  void Take(uint64_t bytes, base::TimePoint now);
  /// Returns bytes that were taken but not sent.
  void Return(uint64_t bytes);
  /// Returns the time until `bytes` can be sent without debt: zero when they can be sent now,
  /// `Duration::max()` when the rate is 0.
  base::Duration Delay(uint64_t bytes, base::TimePoint now) const;
  /// Returns the rate in bytes per second.
  double Rate() const { return rate_.load(std::memory_order_relaxed); }

 private:
  // Returns the time in nanoseconds that `bytes` take at the rate, at most one hour.
  int64_t SendTimeNs(uint64_t bytes) const;

  std::atomic<double> rate_{0};
  std::atomic<int64_t> burst_ns_{0};
  // Time at which the bucket will be full again (the "theoretical arrival time" of GCRA), in nanoseconds of
  // the clock. This one atomic word holds both the fill level and the time of its last change.
  std::atomic<int64_t> full_at_ns_{0};
};

/// The node's share of the bandwidth between its own region and the other regions, in both directions. With n
/// live nodes in the region a node gets 1/n of each link. Half of that, in each direction, is reserved for
/// forwards from the other region, whose requests come in and whose responses go out over the same link.
class LinkBudget {
 public:
  /// Share of the node's bandwidth that its own forwards may use.
  static constexpr double kOwnForwardShare = 0.5;
  /// Capacity of a bucket as the time that it takes to send it.
  static constexpr std::chrono::milliseconds kBurst{250};

  /// Makes a budget without bandwidth for each of `regions` regions. Methods take the index of a region; for
  /// an unknown one `Delay` returns `Duration::max()` and the others do nothing.
  explicit LinkBudget(size_t regions);

  /// Sets the bandwidth of the link to `region`, in megabits per second each way, which `nodes` live nodes of
  /// the own region share.
  void Configure(size_t region, double mbit_s, uint32_t nodes);

  /// Takes the bytes of a forward: `request_bytes` are sent and `response_bytes` are expected back.
  void Take(size_t region, uint64_t request_bytes, uint64_t response_bytes, base::TimePoint now);
  /// Replaces the expected size of a response, taken by `Take`, by the size that was received.
  void CorrectResponse(size_t region, uint64_t expected_bytes, uint64_t received_bytes, base::TimePoint now);
  /// Returns the bytes of a forward that wasn't sent, in both directions.
  void Cancel(size_t region, uint64_t request_bytes, uint64_t response_bytes);

  /// Returns the time that a forward of this size waits for bandwidth, both directions together;
  /// `Duration::max()` when there is no link.
  base::Duration Delay(size_t region, uint64_t request_bytes, uint64_t response_bytes,
                       base::TimePoint now) const;

 private:
  struct LinkBuckets {
    ByteBucket out;
    ByteBucket in;
  };
  std::vector<std::unique_ptr<LinkBuckets>> links_;
};

}  // namespace cornelplank::routing
