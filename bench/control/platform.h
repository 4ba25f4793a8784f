#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "bench/control/event_loop.h"

namespace cornelplank::bench {

/// The platform's configuration log in virtual time, with watches, a limit of reads per second and outages.
/// Entries have no content: only the seq of the newest one is kept.
class FakePlatform {
 public:
  static constexpr int kReadsPerSecond = 2000;

  enum class Status {
    kOk,
    kRefused,  // above kReadsPerSecond
    kSilent    // the platform is down, so the caller gets no response
  };
  /// Called with the status and the seq of the newest entry, without any network delay.
  using Answer = std::function<void(Status, uint64_t)>;

  explicit FakePlatform(EventLoop& loop) : loop_(loop) {}

  /// Adds an entry and answers all watches.
  void Publish() {
    ++head_;
    std::vector<Answer> waiting;
    for (auto& [id, answer] : watches_) waiting.push_back(std::move(answer));
    watches_.clear();
    for (const Answer& answer : waiting) answer(Status::kOk, head_);
  }

  /// Reads the log after `seq`. Without a newer entry the answer comes after `wait`, or as soon as one is
  /// published.
  void Read(uint64_t seq, base::Duration wait, Answer answer) {
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(loop_.now().time_since_epoch()).count();
    const int calls = ++calls_[second];
    if (!up) return answer(Status::kSilent, 0);
    if (calls > kReadsPerSecond) return answer(Status::kRefused, 0);
    if (head_ > seq || wait <= base::Duration{0}) return answer(Status::kOk, head_);
    const uint64_t id = ++last_watch_id_;
    watches_[id] = std::move(answer);
    loop_.After(wait, [this, id] {
      const auto found = watches_.find(id);
      if (found == watches_.end()) return;
      const Answer expired = std::move(found->second);
      watches_.erase(found);
      expired(up ? Status::kOk : Status::kSilent, head_);
    });
  }

  /// Starts an outage; all watches end without an answer. `up = true` ends it.
  void Stop() {
    up = false;
    watches_.clear();
  }

  uint64_t head() const { return head_; }
  /// The number of calls that arrived in each second of virtual time, by seconds since the epoch.
  const std::map<int64_t, int>& calls() const { return calls_; }

  bool up = true;

 private:
  EventLoop& loop_;
  uint64_t head_ = 1;  // seq of the newest entry
  uint64_t last_watch_id_ = 0;
  std::map<uint64_t, Answer> watches_;
  std::map<int64_t, int> calls_;
};

}  // namespace cornelplank::bench
