#pragma once

#include "libs/base/base.h"

namespace cornelplank::tenancy {

/// A rate measured over about the last second, with exponentially decreasing weight.
class RecentRate {
 public:
  void Add(double amount, base::TimePoint now);
  double PerSecond(base::TimePoint now) const;

 private:
  double sum_ = 0;  // decayed to at_
  base::TimePoint at_{};
};

/// A token bucket that starts empty. Time passes only through `Refill`.
class QuotaBucket {
 public:
  /// Longest time that one refill counts. A process that was suspended must not mint for that time: another
  /// VM may have taken over its buckets.
  static constexpr std::chrono::milliseconds kMaxRefillGap{500};

  /// `start`: time from which the bucket refills.
  QuotaBucket(double capacity, double share, base::TimePoint start)
      : capacity_(capacity), share_(share), refilled_at_(start) {}

  /// Changes the capacity and the share of it that may be in use. Tokens above that are dropped.
  void SetCapacity(double capacity, double share);
  void Refill(double per_second, base::TimePoint now);
  /// Takes the cost of one request if the balance covers it. A request above the whole capacity is granted by
  /// a full bucket and leaves a negative balance.
  bool Take(double cost);
  /// Takes up to `amount` and returns what was taken.
  double TakeUpTo(double amount);
  /// Adds tokens up to the share of the capacity.
  void Put(double amount);
  /// Time until a request of this cost is granted if nothing else is, at a refill of `per_second`.
  base::Duration TimeUntil(double cost, double per_second) const;
  double balance() const { return balance_; }
  /// Greatest balance.
  double capacity() const { return capacity_ * share_; }

 private:
  double capacity_;
  double share_;
  double balance_ = 0;
  base::TimePoint refilled_at_;
};

}  // namespace cornelplank::tenancy
