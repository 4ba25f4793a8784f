#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "apps/load/core/entry_list.h"
#include "apps/load/core/stats.h"

namespace cornelplank::load {

/// Sends the load with one thread for each request in flight.
class Runner {
 public:
  explicit Runner(LoadOptions options);

  /// Starts all threads.
  void Start();
  /// True when the duration is over and every request has ended.
  bool finished() const { return active_threads_.load() == 0; }
  /// Sends no further requests; those in flight go on.
  void StopSending();
  /// Waits for all requests in flight.
  void Join();

  const Stats& stats() const { return stats_; }
  double seconds() const;

 private:
  using Clock = std::chrono::steady_clock;

  void RunArrivals();
  void RunStream();
  void RunWorker();
  /// Waits until `at`. False when sending has ended.
  bool SleepUntil(Clock::time_point at);
  void Enqueue(uint64_t index, Clock::time_point due);
  Measurement Execute(const RequestPlan& plan, Clock::time_point due);
  /// Tries the entries in turn until one takes the request.
  Measurement ExecuteByEntryList(const RequestPlan& plan, Clock::time_point due);
  Measurement ExecuteAt(const std::string& url, const RequestPlan& plan, Clock::time_point due);
  void RunEntryRefresh();
  bool RefreshEntries();

  const LoadOptions options_;
  std::unique_ptr<http::Client> client_;
  const base::SystemClock clock_;
  EntryList entries_;
  Stats stats_;
  Clock::time_point start_;
  std::atomic<uint64_t> next_index_{0};
  std::atomic<unsigned> active_threads_{0};

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  bool arrivals_ended_ = false;
  unsigned idle_workers_ = 0;
  unsigned workers_ = 0;
  std::deque<std::pair<uint64_t, Clock::time_point>> waiting_;
  std::vector<std::thread> threads_;
};

}  // namespace cornelplank::load
