#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include <urcu-bp.h>

namespace cornelplank::base {

/// An immutable value that many threads read without locks and that writers replace as a whole
/// (read-copy-update). Readers never block. `Publish` waits until no reader can still use the old value and
/// then frees it, so a thread that holds a `ReadGuard` must not call it: it would wait for itself.
template <typename T>
class RcuPointer {
 public:
  /// Gives access to the value that was current when the guard was made, and keeps that value alive. Hold it
  /// briefly, since `Publish` waits for it, and use it on one thread only.
  class ReadGuard {
   public:
    explicit ReadGuard(const RcuPointer& owner) {
      urcu_bp_read_lock();
      value_ = owner.value_.load(std::memory_order_acquire);
    }
    ~ReadGuard() { urcu_bp_read_unlock(); }
    ReadGuard(const ReadGuard&) = delete;
    ReadGuard& operator=(const ReadGuard&) = delete;

    const T& operator*() const { return *value_; }
    const T* operator->() const { return value_; }
    const T* get() const { return value_; }

   private:
    const T* value_;
  };

  explicit RcuPointer(std::unique_ptr<const T> initial) : value_(initial.release()) {}
  ~RcuPointer() { delete value_.load(); }
  RcuPointer(const RcuPointer&) = delete;
  RcuPointer& operator=(const RcuPointer&) = delete;

  ReadGuard Read() const { return ReadGuard(*this); }

  /// Replaces the value. Concurrent writers are serialized.
  void Publish(std::unique_ptr<const T> next) {
    const std::lock_guard<std::mutex> lock(writer_);
    const T* old = value_.exchange(next.release(), std::memory_order_acq_rel);
    urcu_bp_synchronize_rcu();
    delete old;
  }

 private:
  std::atomic<const T*> value_;
  std::mutex writer_;
};

}  // namespace cornelplank::base
