#include "libs/net/internal/memory_account.h"

#include <algorithm>

namespace cornelplank::net {
namespace {

// Interval of the checks for stalled readers while calls wait for room. Short against the limit of a stall.
constexpr std::chrono::milliseconds kStallCheckInterval{100};

}  // namespace

MemoryAccount::Reader::Reader(std::shared_ptr<MemoryAccount> account, const Charge& charge,
                              std::function<void()> end)
    : account_(std::move(account)),
      charge_(charge),
      end_(std::move(end)),
      last_progress_(account_->clock_.Now()),
      position_(account_->readers_.insert(account_->readers_.end(), this)) {}

void MemoryAccount::Reader::OnProgress() {
  last_progress_ = account_->clock_.Now();
  account_->readers_.splice(account_->readers_.end(), account_->readers_, position_);
}

void MemoryAccount::Change(size_t* held, size_t bytes) {
  const size_t before = *held;
  (IsSmall(before) ? small_used_ : large_used_) -= before;
  (IsSmall(bytes) ? small_used_ : large_used_) += bytes;
  *held = bytes;
  peak_ = std::max(peak_, used());
  if (bytes < before) GrantWaiting();
}

bool MemoryAccount::HasRoom(const Charge& charge, size_t bytes) const {
  const size_t small = small_used_ - (IsSmall(charge.bytes_) ? charge.bytes_ : 0);
  const size_t large = large_used_ - (IsSmall(charge.bytes_) ? 0 : charge.bytes_);
  const size_t small_share = limit_ / 4;
  if (IsSmall(bytes)) {
    if (small + bytes <= small_share) return true;
    // Beyond their share small charges would starve a large one that waits.
    return large_waiters_.empty() && small + large + bytes <= limit_;
  }
  // A single large request always finds room, whatever the limit.
  if (large == 0) return true;
  return large + bytes <= limit_ - small_share && small + large + bytes <= limit_;
}

Task<bool> MemoryAccount::Acquire(Charge& charge, size_t bytes, base::Duration time) {
  const auto self = shared_from_this();
  if (bytes <= charge.bytes_) co_return true;
  auto& queue = IsSmall(bytes) ? small_waiters_ : large_waiters_;
  if (queue.empty() && HasRoom(charge, bytes)) {
    charge.Resize(bytes);
    co_return true;
  }
  Waiter waiter(loop_, queue, charge, bytes);
  if (!ending_stalled_) {
    ending_stalled_ = true;
    Spawn(loop_, "end_stalled", EndStalledReaders(self));
  }
  waiter.timer.expires_after(time);
  Error ignored;  // `GrantWaiting` cancels the timer
  co_await waiter.timer.async_wait(Into(ignored));
  if (waiter.granted) co_return true;
  ++refused_;
  queue.remove(&waiter);
  GrantWaiting();  // the next call may want less
  co_return false;
}

void MemoryAccount::GrantWaiting() {
  GrantQueue(small_waiters_);
  GrantQueue(large_waiters_);
}

void MemoryAccount::GrantQueue(std::list<Waiter*>& queue) {
  while (!queue.empty() && HasRoom(queue.front()->charge, queue.front()->bytes)) {
    Waiter& waiter = *queue.front();
    queue.pop_front();
    waiter.granted = true;
    waiter.charge.Resize(waiter.bytes);
    waiter.timer.cancel();
  }
}

Task<> MemoryAccount::EndStalledReaders(std::shared_ptr<MemoryAccount> account) {
  while (account->waiting() > 0) {
    account->EndStalled(account->clock_.Now());
    co_await Sleep(account->loop_, kStallCheckInterval);
  }
  account->ending_stalled_ = false;
}

void MemoryAccount::EndStalled(base::TimePoint now) {
  size_t wanted = 0;
  for (const auto* queue : {&small_waiters_, &large_waiters_}) {
    for (const Waiter* waiter : *queue) wanted += waiter->bytes;
  }
  size_t freed = 0;
  for (Reader* reader : readers_) {
    if (freed >= wanted || now - reader->last_progress_ < kStallLimit) return;
    if (reader->waiting_) continue;
    freed += reader->charge_.bytes();
    if (reader->ended_) continue;
    reader->ended_ = true;
    ++ended_stalled_;
    reader->end_();
  }
}

}  // namespace cornelplank::net
