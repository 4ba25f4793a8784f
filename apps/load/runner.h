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

/// Sends the load and measures the answers, with one thread for each request in flight.
class Runner {
 public:
  explicit Runner(LoadOptions options);

  /// Starts to send. Called once.
  void Start();
  /// True when the duration has passed, or sending was stopped, and every request has ended. Valid after
  /// Start.
  bool finished() const { return active_threads_.load() == 0; }
  /// Ends the sending early. Requests in flight go on.
  void StopSending();
  /// Waits for all requests in flight.
  void Join();

  const Stats& stats() const { return stats_; }
  /// Seconds since Start.
  double seconds() const;

 private:
  using Clock = std::chrono::steady_clock;

  /// Hands requests to the workers at the times of open-loop arrivals.
  void RunArrivals();
  /// Keeps one stream open: sends the next request when the last has ended.
  void RunStream();
  /// Executes queued requests until the arrivals have ended and the queue is empty.
  void RunWorker();
  /// Waits until `at`. Returns false as soon as StopSending is called.
  bool SleepUntil(Clock::time_point at);
  /// Queues a request for a worker; starts another worker if none is idle, or counts the request as not sent
  /// if `max_in_flight` workers run.
  void Enqueue(uint64_t index, Clock::time_point due);
  /// Sends a request and waits for its end. `due` is the start of its measured times.
  Measurement Execute(const RequestPlan& plan, Clock::time_point due);
  /// Tries the entries in turn until a connection is made.
  Measurement ExecuteByEntryList(const RequestPlan& plan, Clock::time_point due);
  Measurement ExecuteAt(const std::string& url, const RequestPlan& plan, Clock::time_point due);
  /// Reloads the entry list whenever its lifetime has passed.
  void RunEntryRefresh();
  /// Asks the candidates in turn for the entry list. Returns false when none gives a valid one.
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
  // Notified when sending is stopped, a request is queued or the arrivals have ended.
  std::condition_variable state_changed_;
  bool stopped_ = false;  // StopSending was called
  bool arrivals_ended_ = false;
  unsigned idle_workers_ = 0;
  unsigned worker_count_ = 0;
  std::deque<std::pair<uint64_t, Clock::time_point>> queued_requests_;  // index and due time
  std::vector<std::thread> threads_;
};

}  // namespace cornelplank::load
