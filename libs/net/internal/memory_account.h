#pragma once

#include <functional>
#include <limits>
#include <list>
#include <memory>

#include "libs/net/internal/loop.h"

namespace cornelplank::net {

/// The bytes received from outside that a process holds, and their limit. Every buffer that peers fill holds
/// a charge. A reader that may wait acquires the room before it reads; other buffers are charged at once,
/// also beyond the limit, so that readers wait for them. Not thread-safe; used on its loop only.
class MemoryAccount : public std::enable_shared_from_this<MemoryAccount> {
 public:
  /// Charges up to this size, which every head within the default limits has, are small. They are granted
  /// before large ones, and a quarter of the limit is theirs alone.
  static constexpr size_t kMaxSmallBytes = 262144;
  /// While others wait for room, an incomplete request whose peer has sent nothing for this time is ended.
  static constexpr std::chrono::milliseconds kStallLimit{1000};

  /// Bytes that one holder has charged. Movable; releases them when it is destroyed.
  class Charge {
   public:
    Charge() = default;
    explicit Charge(std::shared_ptr<MemoryAccount> account) : account_(std::move(account)) {}
    Charge(Charge&& other) noexcept
        : account_(std::move(other.account_)), bytes_(std::exchange(other.bytes_, 0)) {}
    Charge& operator=(Charge&& other) noexcept {
      Resize(0);
      account_ = std::move(other.account_);
      bytes_ = std::exchange(other.bytes_, 0);
      return *this;
    }
    ~Charge() { Resize(0); }

    size_t bytes() const { return bytes_; }
    /// Changes the charge at once, without regard to the limit.
    void Resize(size_t bytes) {
      if (account_) account_->Change(&bytes_, bytes);
    }

   private:
    friend class MemoryAccount;
    std::shared_ptr<MemoryAccount> account_;
    size_t bytes_ = 0;
  };

  /// A holder of a charge that waits for bytes of its peer and may be ended in favour of others.
  class Reader {
   public:
    /// `end`: called at most once; must not destroy the reader.
    Reader(std::shared_ptr<MemoryAccount> account, const Charge& charge, std::function<void()> end);
    ~Reader() { account_->readers_.erase(position_); }
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;
    /// Records that bytes have arrived.
    void OnProgress();
    /// While it waits for memory itself, a reader doesn't count as stalled.
    void SetWaiting(bool waiting) { waiting_ = waiting; }

   private:
    friend class MemoryAccount;
    std::shared_ptr<MemoryAccount> account_;
    const Charge& charge_;
    std::function<void()> end_;
    base::TimePoint last_progress_;
    std::list<Reader*>::iterator position_;
    bool waiting_ = false;
    bool ended_ = false;
  };

  static std::shared_ptr<MemoryAccount> Create(asio::io_context& loop,
                                               size_t limit = std::numeric_limits<size_t>::max() / 2) {
    return std::shared_ptr<MemoryAccount>(new MemoryAccount(loop, limit));
  }

  /// Raises `charge` to `bytes`, in the order of the calls of the same size class. Returns false when there
  /// has been no room for `time`. The charge must be one of this account and outlive the call.
  Task<bool> Acquire(Charge& charge, size_t bytes, base::Duration time);

  size_t limit() const { return limit_; }
  size_t used() const { return small_used_ + large_used_; }
  /// Greatest use since the last call.
  size_t TakePeak() { return std::exchange(peak_, used()); }
  size_t waiting() const { return small_waiters_.size() + large_waiters_.size(); }
  /// Calls of `Acquire` that ended without room.
  uint64_t refused() const { return refused_; }
  /// Readers that were ended because their peers had stalled while others waited.
  uint64_t ended_stalled() const { return ended_stalled_; }

 private:
  struct Waiter {
    Waiter(asio::io_context& loop, std::list<Waiter*>& queue_of_size, Charge& waiting_charge, size_t wanted)
        : timer(loop), queue(queue_of_size), charge(waiting_charge), bytes(wanted) {
      queue.push_back(this);
    }
    // The coroutine may be destroyed while it waits.
    ~Waiter() { queue.remove(this); }
    asio::steady_timer timer;
    std::list<Waiter*>& queue;
    Charge& charge;
    size_t bytes;
    bool granted = false;
  };

  MemoryAccount(asio::io_context& loop, size_t limit) : loop_(loop), limit_(limit) {}

  static bool IsSmall(size_t bytes) { return bytes <= kMaxSmallBytes; }
  void Change(size_t* held, size_t bytes);
  bool HasRoom(const Charge& charge, size_t bytes) const;
  /// Grants the waiting calls for which there is room now.
  void GrantWaiting();
  void GrantQueue(std::list<Waiter*>& queue);
  /// Ends stalled readers as long as calls wait.
  static Task<> EndStalledReaders(std::shared_ptr<MemoryAccount> account);
  void EndStalled(base::TimePoint now);

  asio::io_context& loop_;
  base::SystemClock clock_;
  size_t limit_;
  size_t small_used_ = 0;  // by charges of up to kMaxSmallBytes
  size_t large_used_ = 0;
  size_t peak_ = 0;
  std::list<Waiter*> small_waiters_;
  std::list<Waiter*> large_waiters_;
  std::list<Reader*> readers_;  // the one without progress for longest first
  bool ending_stalled_ = false;
  uint64_t refused_ = 0;
  uint64_t ended_stalled_ = 0;
};

}  // namespace cornelplank::net
