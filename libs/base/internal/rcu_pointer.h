#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include <urcu-bp.h>

namespace cornelplank::base {

/// An immutable value that many threads read without locks and that writers replace as a whole.
/// Readers never block. `Publish` waits for the readers of the replaced value before it frees it, so it must
/// not be called while the calling thread holds a `ReadGuard`.
template <typename T>
class RcuPointer {
 public:
  /// Keeps the value that it read alive. Hold it briefly and on one thread.
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
